package engine

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// tokenFrames returns the token indexes of the frames that belong to the request, and the number of frames of other
// requests. It leaves out the last frame, which carries no token.
func tokenFrames(got result, id string) (indexes []int, foreign int) {
	for _, chunk := range got.chunks[:len(got.chunks)-1] {
		if chunk.ID == id {
			indexes = append(indexes, chunk.Index)
		} else {
			foreign++
		}
	}
	return indexes, foreign
}

// Guards against a FaultCrossed that leaves either stream without a frame of the other or with all frames of its own.
func TestCrossedFrames(t *testing.T) {
	withEngine(t, nil, func(t *testing.T, e *Engine) {
		first, second := startRequest(t, e, newRequest("a", "x", 40)), startRequest(t, e, newRequest("b", "x", 40))
		time.Sleep(5 * tokenTime)
		must.NoError(t, e.Inject(Fault{Kind: FaultCrossed, Count: 1}))
		a, foreignA := tokenFrames(<-first, "a")
		b, foreignB := tokenFrames(<-second, "b")
		must.Eq(t, 1, foreignA)
		must.Eq(t, 1, foreignB)
		must.Len(t, AnswerTo(newRequest("a", "x", 40)).Tokens-1, a)
		must.Len(t, AnswerTo(newRequest("b", "x", 40)).Tokens-1, b)
	})
}

// Guards against a FaultDuplicated or FaultLate that adds no frames or replaces frames of the stream's own request.
func TestExtraFrames(t *testing.T) {
	withEngine(t, nil, func(t *testing.T, e *Engine) {
		tokens := AnswerTo(newRequest("a", "x", 10)).Tokens
		must.NoError(t, e.Inject(Fault{Kind: FaultDuplicated, Count: 3}))
		a, foreign := tokenFrames(<-startRequest(t, e, newRequest("a", "x", 10)), "a")
		must.Eq(t, []int{0, 0, 1, 1, 2, 2, 3}, a[:7])
		must.Len(t, tokens+3, a)
		must.Eq(t, 0, foreign)
		must.NoError(t, e.Inject(Fault{Kind: FaultLate, Count: 2}))
		b, foreign := tokenFrames(<-startRequest(t, e, newRequest("b", "x", 10)), "b")
		must.Len(t, tokens, b)
		must.Eq(t, 2, foreign)
	})
}

// Guards against a freeze or slow fault without effect, and against one that doesn't end.
func TestFreezeAndSlow(t *testing.T) {
	withEngine(t, nil, func(t *testing.T, e *Engine) {
		normal := (<-startRequest(t, e, newRequest("a", "x", 10))).duration
		must.NoError(t, e.Inject(Fault{Kind: FaultFreeze, DurationMS: 60_000}))
		must.GreaterEq(t, time.Minute, (<-startRequest(t, e, newRequest("b", "x", 10))).duration)
		must.Eq(t, normal, (<-startRequest(t, e, newRequest("c", "x", 10))).duration)
		must.NoError(t, e.Inject(Fault{Kind: FaultSlow, Factor: 3}))
		must.Eq(t, 3*normal, (<-startRequest(t, e, newRequest("d", "x", 10))).duration)
		e.ClearFaults()
		must.Eq(t, normal, (<-startRequest(t, e, newRequest("e", "x", 10))).duration)
		must.NoError(t, e.Inject(Fault{Kind: FaultSlow, Factor: 3, DurationMS: 1}))
		must.Less(t, 3*normal, (<-startRequest(t, e, newRequest("f", "x", 10))).duration)
		must.Eq(t, normal, (<-startRequest(t, e, newRequest("g", "x", 10))).duration)
		for _, fault := range []Fault{{}, {Kind: FaultFreeze}, {Kind: FaultSlow}, {Kind: FaultLate}} {
			must.Error(t, e.Inject(fault))
		}
	})
}

// Guards against a poison request that doesn't end the other streams, and against state that survives Restart.
func TestPoisonedRequest(t *testing.T) {
	configure := func(c *Config) { c.PoisonMarker, c.Slots = "BOOM", 3 }
	withEngine(t, configure, func(t *testing.T, e *Engine) {
		var others []<-chan result
		for _, id := range []string{"a", "b"} {
			others = append(others, startRequest(t, e, newRequest(id, "x", 100)))
		}
		time.Sleep(10 * tokenTime)
		must.ErrorIs(t, (<-startRequest(t, e, newRequest("p", "a BOOM b", 10))).err, errCrashed)
		for _, done := range others {
			must.ErrorIs(t, (<-done).err, errCrashed)
		}
		must.True(t, e.Crashed())
		_, err := e.Admit(context.Background(), Origin{}, newRequest("c", "x", 1))
		must.ErrorIs(t, err, errCrashed)
		for _, record := range e.Records(0).Records {
			must.Eq(t, EndCrashed, record.End)
		}
		e.Restart()
		must.Eq(t, 3, e.queue.freeSlots)
		must.NoError(t, (<-startRequest(t, e, newRequest("d", "x", 1))).err)
	})
}

// Guards against a run from before a restart that releases its slot into the queue of the new process.
func TestRestartWithOpenStreams(t *testing.T) {
	configure := func(c *Config) { c.Slots = 1 }
	withEngine(t, configure, func(t *testing.T, e *Engine) {
		open := startRequest(t, e, newRequest("a", "x", 100))
		time.Sleep(10 * tokenTime)
		e.Restart()
		must.ErrorIs(t, (<-open).err, errCrashed)
		must.Eq(t, 1, e.queue.freeSlots)
		must.MapEmpty(t, e.runs)
	})
}
