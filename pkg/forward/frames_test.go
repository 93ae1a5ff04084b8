package forward

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// Guards against a gap, a repetition or a torn event when a stream breaks anywhere, any number of times, and goes on
// elsewhere from its last whole event or from an earlier one.
func TestFramesSurviveBreaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "events")
		f := newFrames()
		var got strings.Builder
		for range rapid.IntRange(0, 4).Draw(t, "breaks") {
			feed(t, f, &got, events(max(1, int(f.last)+1-rapid.IntRange(0, 2).Draw(t, "overlap")), n), true)
			f.restart()
		}
		feed(t, f, &got, events(max(1, int(f.last)+1), n), false)
		must.EqOp(t, events(1, n), got.String())
		must.EqOp(t, n, f.count)
	})
}

// feed adds the text in pieces, and stops somewhere if cut is set.
func feed(t *rapid.T, f *frames, got *strings.Builder, text string, cut bool) {
	if cut {
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "cut")]
	}
	for len(text) > 0 {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		whole, err := f.add([]byte(text[:n]))
		must.NoError(t, err)
		got.Write(whole)
		text = text[n:]
	}
}

// Guards against joining a stream that goes on with a gap.
func TestFramesRejectGap(t *testing.T) {
	f := newFrames()
	_, err := f.add([]byte(events(1, 3)))
	must.NoError(t, err)
	f.restart()
	whole, err := f.add([]byte(events(5, 6)))
	must.ErrorIs(t, err, errFrames)
	must.EqOp(t, "", string(whole))
}

// Guards against memory that grows with an event that never ends.
func TestFramesBoundEvent(t *testing.T) {
	f := newFrames()
	_, err := f.add([]byte(strings.Repeat("x", maxFrameBytes+1)))
	must.ErrorIs(t, err, errFrames)
}
