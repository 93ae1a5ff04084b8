package forward

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against passing on events that an endpoint sends out of order, and against refusing an answer that is in order.
func TestEventStreamStopsBeforeAnEventOutOfOrder(t *testing.T) {
	for name, test := range map[string]struct {
		after int64
		text  string
		want  string
		err   error
	}{
		"whole":                       {noEvent, eventText(1, 4), eventText(1, 4), nil},
		"counted from 0":              {noEvent, eventText(0, 4), eventText(0, 4), nil},
		"first event missing":         {noEvent, eventText(2, 4), "", errOutOfSequence},
		"event missing":               {noEvent, eventText(1, 2) + eventText(4, 5), eventText(1, 2), errOutOfSequence},
		"event twice":                 {noEvent, eventText(1, 2) + eventText(2, 3), eventText(1, 2), errOutOfSequence},
		"id goes back":                {noEvent, eventText(1, 3) + eventText(2, 4), eventText(1, 3), errOutOfSequence},
		"begins again":                {noEvent, eventText(1, 3) + eventText(1, 4), eventText(1, 3), errOutOfSequence},
		"two ids":                     {noEvent, eventText(1, 1) + "id: 2\nid: 3\ndata: x\n\n", eventText(1, 1), errNotAnEvent},
		"negative id":                 {noEvent, "id: -1\ndata: x\n\n", "", errNotAnEvent},
		"taken up":                    {12, eventText(13, 15), eventText(13, 15), nil},
		"taken up from the beginning": {12, eventText(1, 15), eventText(13, 15), nil},
		"taken up too late":           {12, eventText(14, 15), "", errOutOfSequence},
		"gap in what the caller has":  {12, eventText(1, 3) + eventText(5, 15), "", errOutOfSequence},
	} {
		stream := newEventStream(test.after)
		got, err := stream.add([]byte(test.text))
		must.EqOp(t, test.want, string(got), must.Sprint(name))
		if test.err == nil {
			must.NoError(t, err, must.Sprint(name))
			continue
		}
		must.ErrorIs(t, err, test.err, must.Sprint(name))
	}
}

// Guards against any order of events, over several answers cut into pieces anywhere, that gives the caller a gap or an event twice.
func TestEventStreamPassesOnlyTheNextEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		after := rapid.Int64Range(noEvent, 5).Draw(t, "after")
		stream := newEventStream(after)
		var got strings.Builder
		for range rapid.IntRange(1, 4).Draw(t, "answers") {
			var answer strings.Builder
			for _, id := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 8).Draw(t, "ids") {
				answer.WriteString(eventText(id, id))
			}
			text := answer.String()
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(t, "piece")
				events, err := stream.add([]byte(text[:n]))
				got.Write(events)
				if text = text[n:]; err != nil {
					break
				}
			}
			stream.resume()
		}
		first := int(after) + 1
		if after == noEvent && strings.HasPrefix(got.String(), "id: 1\n") {
			first = 1
		}
		must.EqOp(t, eventText(first, int(stream.lastID)), got.String())
	})
}
