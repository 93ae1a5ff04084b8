package contact

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against taking single lost answers or a slow store for a silence, and against missing one.
func TestHistory(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	h := &History{}
	must.True(t, h.Lost(at(100)), must.Sprint("before the first answer"))
	must.False(t, h.Lost(at(150)), must.Sprint("it is known already"))
	must.True(t, h.Answered(at(1_000)))
	must.Eq(t, Silence{Began: at(100), Ended: at(1_000)}, h.Last())
	must.False(t, h.Answered(at(1_200)))

	// A slow store or one that loses answers: each lost call began before another one was answered.
	for i := range 20 {
		must.False(t, h.Lost(at(1_000+100*i)))
		must.False(t, h.Answered(at(1_300+100*i)))
	}
	must.False(t, h.IsSilent())

	must.True(t, h.Lost(at(3_500)))
	must.True(t, h.IsSilent())
	must.True(t, h.Answered(at(8_000)))
	must.Eq(t, Silence{Began: at(3_200), Ended: at(8_000)}, h.Last(), must.Sprint("it began after the last answer"))
	must.EqOp(t, 4_800*time.Millisecond, h.Last().Length())
	must.False(t, h.Lost(at(7_900)), must.Sprint("a call of the silence that times out after its end"))
}
