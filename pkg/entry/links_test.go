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
	silent := func(time.Time) bool { return false }
	must.True(t, isLinkEvidence(timedOut, nil, silent))
	must.True(t, isLinkEvidence(timedOut, meter, silent), must.Sprint("an idle link"))
	meter.record(now, bytesPerSecond)
	must.False(t, isLinkEvidence(timedOut, meter, silent))
	refused := timedOut
	refused.Refused = true
	must.True(t, isLinkEvidence(refused, meter, silent))
}

// Guards against a VM that takes itself for cut off while the queue of a full link drains: callers' bytes no longer fill the link,
// new connections still time out, and answers of endpoints arrive. It would reject all requests, whose bodies keep the link full.
func TestTimeoutsWhileAnswersArriveAreNoEvidenceOfLostLinks(t *testing.T) {
	now := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	timedOut := reach.Attempt{Started: now.Add(-300 * time.Millisecond), Ended: now}
	receivedAt := func(at time.Time) func(time.Time) bool {
		return func(since time.Time) bool { return !at.Before(since) }
	}
	must.False(t, isLinkEvidence(timedOut, nil, receivedAt(now.Add(-100*time.Millisecond))))
	must.True(t, isLinkEvidence(timedOut, nil, receivedAt(now.Add(-400*time.Millisecond))), must.Sprint("the last bytes came before the attempt"))
	refused := timedOut
	refused.Refused = true
	must.True(t, isLinkEvidence(refused, nil, receivedAt(now)), must.Sprint("open connections may outlive the links"))
}
