package forward

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// Guards against missing, repeated or truncated events when a stream breaks at any byte, several times, and is resumed at another endpoint
// after its last complete event, and against joining it with an answer that begins earlier.
func TestEventStreamResumesAfterBreaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "events")
		stream := newEventStream(noEvent)
		var got strings.Builder
		for range rapid.IntRange(0, 4).Draw(t, "breaks") {
			due := max(1, int(stream.lastID)+1)
			if first := max(1, due-rapid.IntRange(0, 2).Draw(t, "overlap")); first < due {
				events, err := stream.add([]byte(eventText(first, n)))
				must.ErrorIs(t, err, errOutOfSequence)
				must.EqOp(t, "", string(events))
			} else {
				addPieces(t, stream, &got, eventText(due, n), true)
			}
			stream.resume()
		}
		addPieces(t, stream, &got, eventText(max(1, int(stream.lastID)+1), n), false)
		must.EqOp(t, eventText(1, n), got.String())
		must.EqOp(t, n, stream.count)
	})
}

// addPieces adds the text in pieces of random length. If truncate is set, it adds only a random prefix of the text.
func addPieces(t *rapid.T, stream *eventStream, got *strings.Builder, text string, truncate bool) {
	if truncate {
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "cut")]
	}
	for len(text) > 0 {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		complete, err := stream.add([]byte(text[:n]))
		must.NoError(t, err)
		got.Write(complete)
		text = text[n:]
	}
}

// Guards against relaying a resumed stream that has a gap after the last event that the caller has.
func TestEventStreamRejectsGap(t *testing.T) {
	stream := newEventStream(noEvent)
	_, err := stream.add([]byte(eventText(1, 3)))
	must.NoError(t, err)
	stream.resume()
	complete, err := stream.add([]byte(eventText(5, 6)))
	must.ErrorIs(t, err, errOutOfSequence)
	must.EqOp(t, "", string(complete))
}

// Guards against unbounded memory use by an event that never ends.
func TestEventStreamLimitsEventSize(t *testing.T) {
	stream := newEventStream(noEvent)
	_, err := stream.add([]byte(strings.Repeat("x", maxEventBytes+1)))
	must.ErrorIs(t, err, errNotAnEvent)
}

// Guards against relaying bytes that are not events, and against memory that grows with an event that never ends.
func TestEventStreamRejectsGarbage(t *testing.T) {
	for name, chunk := range map[string]string{
		"no id": "data: x\n\n", "empty": "\n\n", "binary": strings.Repeat("\x00", 1000) + "\n\n", "no end": strings.Repeat("a", 1000), "id without end": "id: 4",
	} {
		stream := newEventStream(noEvent)
		got, err := stream.add([]byte(eventText(1, 3)))
		must.NoError(t, err)
		must.EqOp(t, eventText(1, 3), string(got))
		chunks := 0
		for ; err == nil && chunks <= maxEventBytes; chunks++ {
			got, err = stream.add([]byte(chunk))
			must.EqOp(t, "", string(got), must.Sprint(name))
			must.LessEq(t, maxEventBytes+len(chunk), len(stream.partial))
		}
		must.ErrorIs(t, err, errNotAnEvent, must.Sprint(name))
		must.EqOp(t, 3, stream.count)
	}
}

// Guards against breaking off a stream in which an endpoint sends comments, and against counting them as output.
func TestEventStreamPassesComments(t *testing.T) {
	stream := newEventStream(noEvent)
	text := ": ping\n\n" + eventText(1, 2) + ": ping\n: pong\n\n" + eventText(3, 3)
	got, err := stream.add([]byte(text))
	must.NoError(t, err)
	must.EqOp(t, text, string(got))
	must.EqOp(t, 3, stream.count)
}

// Guards against a stream that is taken for complete although it ended inside an event, at whichever byte, or although the next
// endpoint ended its response before the event that had been cut.
func TestEventStreamEndsWholeOnlyBetweenEvents(t *testing.T) {
	whole := eventText(1, 3)
	for cut := range len(whole) + 1 {
		for _, framed := range []bool{false, true} {
			for _, hasEvents := range []bool{false, true} {
				label := must.Sprintf("cut at %d, framed %v, has events %v", cut, framed, hasEvents)
				after := int64(noEvent)
				if hasEvents {
					after = 0
				}
				stream := newEventStream(after)
				_, err := stream.add([]byte(whole[:cut]))
				must.NoError(t, err, label)
				between := cut == 0 || strings.HasSuffix(whole[:cut], "\n\n")
				must.EqOp(t, between && (cut > 0 || framed || hasEvents), stream.endsWhole(framed), label)
				stream.resume()
				must.EqOp(t, between && (cut > 0 || framed || hasEvents), stream.endsWhole(framed), label)
				_, err = stream.add([]byte(eventText(max(1, int(stream.lastID)+1), 3)))
				must.NoError(t, err, label)
				must.True(t, stream.endsWhole(framed), label)
			}
		}
	}
}
