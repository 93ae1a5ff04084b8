package outcome

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an HTTP status that contradicts the outcome in the body.
func TestStatusAgreesWithOutcome(t *testing.T) {
	for _, reason := range []Reason{ReasonCrashesEndpoints, ReasonInProgress, ReasonEndpointFailed, ReasonEndpointTimeout} {
		must.Eq(t, 503, NotRunf(reason, 0, "x").Status())
		must.GreaterEq(t, 502, Unknownf(reason, 0, "x").Status())
		must.NotEq(t, 503, Unknownf(reason, 0, "x").Status())
	}
	for reason := range statusByReason {
		must.False(t, PromisesNotRun(Unknownf(reason, 0, "x").Status()), must.Sprint(reason))
	}
	must.Eq(t, 502, Unknownf(ReasonClaimUnavailable, 0, "x").Status())
	must.Eq(t, 402, NotRunf(ReasonBudgetExhausted, 0, "x").Status())
	must.Eq(t, 503, NotRunf(ReasonGrantUnavailable, 0, "x").Status())
}
