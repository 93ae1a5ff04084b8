package engine

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// own returns the indexes of the request's frames and the number of frames of other requests.
func own(got result, id string) (indexes []int, foreign int) {
	for _, chunk := range got.chunks[:len(got.chunks)-1] {
		if chunk.ID == id {
			indexes = append(indexes, chunk.Index)
		} else {
			foreign++
		}
	}
	return indexes, foreign
}

// Guards against a crossed fault that loses no frame or crosses none.
func TestCrossedFrames(t *testing.T) {
	bubble(t, nil, func(t *testing.T, e *Engine) {
		first, second := start(t, e, prompt("a", "x", 40)), start(t, e, prompt("b", "x", 40))
		time.Sleep(5 * tokenTime)
		must.NoError(t, e.Inject(Fault{Kind: FaultCrossed, Count: 1}))
		a, foreignA := own(<-first, "a")
		b, foreignB := own(<-second, "b")
		must.Eq(t, 1, foreignA)
		must.Eq(t, 1, foreignB)
		must.Len(t, AnswerTo(prompt("a", "x", 40)).Tokens-1, a)
		must.Len(t, AnswerTo(prompt("b", "x", 40)).Tokens-1, b)
	})
}

// Guards against duplicated and late frames that don't appear, or that replace a stream's own frames.
func TestExtraFrames(t *testing.T) {
	bubble(t, nil, func(t *testing.T, e *Engine) {
		tokens := AnswerTo(prompt("a", "x", 10)).Tokens
		must.NoError(t, e.Inject(Fault{Kind: FaultDuplicated, Count: 3}))
		a, foreign := own(<-start(t, e, prompt("a", "x", 10)), "a")
		must.Eq(t, []int{0, 0, 1, 1, 2, 2, 3}, a[:7])
		must.Len(t, tokens+3, a)
		must.Eq(t, 0, foreign)
		must.NoError(t, e.Inject(Fault{Kind: FaultLate, Count: 2}))
		b, foreign := own(<-start(t, e, prompt("b", "x", 10)), "b")
		must.Len(t, tokens, b)
		must.Eq(t, 2, foreign)
	})
}

// Guards against a frozen or slow engine that goes on working at its speed, and against faults that don't end.
func TestFreezeAndSlow(t *testing.T) {
	bubble(t, nil, func(t *testing.T, e *Engine) {
		normal := (<-start(t, e, prompt("a", "x", 10))).took
		must.NoError(t, e.Inject(Fault{Kind: FaultFreeze, DurationMS: 60_000}))
		must.GreaterEq(t, time.Minute, (<-start(t, e, prompt("b", "x", 10))).took)
		must.Eq(t, normal, (<-start(t, e, prompt("c", "x", 10))).took)
		must.NoError(t, e.Inject(Fault{Kind: FaultSlow, Factor: 3}))
		must.Eq(t, 3*normal, (<-start(t, e, prompt("d", "x", 10))).took)
		e.ClearFaults()
		must.Eq(t, normal, (<-start(t, e, prompt("e", "x", 10))).took)
		must.NoError(t, e.Inject(Fault{Kind: FaultSlow, Factor: 3, DurationMS: 1}))
		must.Less(t, 3*normal, (<-start(t, e, prompt("f", "x", 10))).took)
		must.Eq(t, normal, (<-start(t, e, prompt("g", "x", 10))).took)
		for _, fault := range []Fault{{}, {Kind: FaultFreeze}, {Kind: FaultSlow}, {Kind: FaultLate}} {
			must.Error(t, e.Inject(fault))
		}
	})
}

// Guards against a poisoned request that spares the other streams, or an engine that keeps state over a crash.
func TestPoisonedRequest(t *testing.T) {
	change := func(c *Config) { c.PoisonMarker, c.Slots = "BOOM", 3 }
	bubble(t, change, func(t *testing.T, e *Engine) {
		var others []<-chan result
		for _, id := range []string{"a", "b"} {
			others = append(others, start(t, e, prompt(id, "x", 100)))
		}
		time.Sleep(10 * tokenTime)
		must.ErrorIs(t, (<-start(t, e, prompt("p", "a BOOM b", 10))).err, errCrashed)
		for _, done := range others {
			must.ErrorIs(t, (<-done).err, errCrashed)
		}
		must.True(t, e.Crashed())
		_, err := e.Admit(context.Background(), Origin{}, prompt("c", "x", 1))
		must.ErrorIs(t, err, errCrashed)
		for _, record := range e.Records(0).Records {
			must.Eq(t, EndCrashed, record.End)
		}
		e.Restart()
		must.Eq(t, 3, e.queue.free)
		must.NoError(t, (<-start(t, e, prompt("d", "x", 1))).err)
	})
}

// Guards against a slot that a run from before a restart gives back to the new life.
func TestRestartWithOpenStreams(t *testing.T) {
	change := func(c *Config) { c.Slots = 1 }
	bubble(t, change, func(t *testing.T, e *Engine) {
		open := start(t, e, prompt("a", "x", 100))
		time.Sleep(10 * tokenTime)
		e.Restart()
		must.ErrorIs(t, (<-open).err, errCrashed)
		must.Eq(t, 1, e.queue.free)
		must.MapEmpty(t, e.runs)
	})
}
