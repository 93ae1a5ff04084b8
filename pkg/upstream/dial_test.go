package upstream

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// failsAt returns when Linux closes an idle connection whose peer sent its last packet at 0 and is silent from silentAt to backAt,
// or 0 if it doesn't. With TCP_USER_TIMEOUT set, a probe that is due closes the connection if the last packet is older than the
// timeout and a probe before it had no answer.
func failsAt(unacked, silentAt, backAt time.Duration) time.Duration {
	last, unanswered := time.Duration(0), false
	const step = 10 * time.Millisecond
	due := keepAliveIdle
	for now := step; now < time.Minute; now += step {
		silent := now >= silentAt && now < backAt
		if now < due {
			continue
		}
		if unanswered && now-last >= unacked {
			return now
		}
		if silent {
			unanswered, due = true, now+keepAliveInterval
			continue
		}
		last, unanswered, due = now, false, now+keepAliveIdle
	}
	return 0
}

// Guards against breaking off answers of an endpoint that was silent for a second or two, whenever that began, and against
// connections to unreachable endpoints that hang for long.
func TestConnectionsSurviveAShortSilence(t *testing.T) {
	for silentAt := time.Duration(0); silentAt < 3*time.Second; silentAt += 50 * time.Millisecond {
		for _, silence := range []time.Duration{500 * time.Millisecond, 1100 * time.Millisecond, toleratedSilence} {
			must.EqOp(t, 0, failsAt(EndpointUnackedTimeout, silentAt, silentAt+silence), must.Sprintf("silent for %s from %s on", silence, silentAt))
		}
		must.Between(t, silentAt, failsAt(EndpointUnackedTimeout, silentAt, time.Hour), silentAt+5*time.Second)
	}
}
