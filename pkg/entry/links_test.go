package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/reach"
)

// Guards against taking a VM's link that callers fill for lost links to the endpoints: no other router helps then.
func TestTimeoutsOnAFullLinkAreNoEvidenceOfLostLinks(t *testing.T) {
	now := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	timedOut := reach.Attempt{Started: now.Add(-300 * time.Millisecond), Ended: now}
	const bytesPerSecond = 1 << 20
	meter := newLinkMeter(bytesPerSecond, now.Add(-time.Second))
	must.True(t, isLinkEvidence(timedOut, nil))
	must.True(t, isLinkEvidence(timedOut, meter), must.Sprint("an idle link"))
	meter.record(now, bytesPerSecond)
	must.False(t, isLinkEvidence(timedOut, meter))
	refused := timedOut
	refused.Refused = true
	must.True(t, isLinkEvidence(refused, meter))
}
