package forward

import (
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
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
		"taken up from the beginning": {12, eventText(1, 15), "", errOutOfSequence},
		"taken up from event 0":       {12, eventText(0, 15), "", errOutOfSequence},
		"taken up one event early":    {12, eventText(12, 15), "", errOutOfSequence},
		"comment before early event":  {12, ": ping\n\n" + eventText(1, 15), ": ping\n\n", errOutOfSequence},
		"taken up too late":           {12, eventText(14, 15), "", errOutOfSequence},
		"taken up after event 0":      {0, eventText(1, 3), eventText(1, 3), nil},
		"event 0 again":               {0, eventText(0, 3), "", errOutOfSequence},
		"event 1 again":               {1, eventText(1, 3), "", errOutOfSequence},
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
		var want strings.Builder
		for range rapid.IntRange(1, 4).Draw(t, "answers") {
			ids := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 8).Draw(t, "ids")
			if rapid.Bool().Draw(t, "begins with the event that is due") {
				ids = append([]int{int(stream.lastID) + 1}, ids...)
			}
			var answer strings.Builder
			last, inOrder := int(stream.lastID), true
			for _, id := range ids {
				answer.WriteString(eventText(id, id))
				if inOrder = inOrder && (id == last+1 || last == noEvent && id == 1); inOrder {
					want.WriteString(eventText(id, id))
					last = id
				}
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
			must.EqOp(t, want.String(), got.String())
		}
		first := int(after) + 1
		if after == noEvent && strings.HasPrefix(got.String(), "id: 1\n") {
			first = 1
		}
		must.EqOp(t, eventText(first, int(stream.lastID)), got.String())
	})
}

// Guards against a log that doesn't tell an answer that began too early from one that went on and then had a gap.
func TestIrregularStreamIsLoggedWithItsBeginning(t *testing.T) {
	for name, test := range map[string]struct {
		after          int64
		text           string
		began, lastSaw int64
	}{
		"begins at the first event": {12, eventText(1, 15), 1, 12},
		"gap":                       {12, eventText(13, 14) + eventText(16, 17), 13, 14},
		"begins too late":           {12, eventText(14, 15), 14, 12},
		"no event":                  {12, "data: x\n\n", noEvent, 12},
		"new stream":                {noEvent, eventText(2, 3), 2, noEvent},
	} {
		lines := memory.New()
		e := testExchange(catalog.Route{Streaming: true})
		e.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
		stream := newEventStream(test.after)
		_, err := stream.add([]byte(test.text))
		e.reportIrregular(stream, err)
		must.Len(t, 1, lines.Entries, must.Sprint(name))
		fields := lines.Entries[0].Fields
		must.Eq(t, []any{test.after, test.began, test.lastSaw}, []any{fields["asked_after"], fields["began_with"], fields["last_event"]}, must.Sprint(name))
	}
}
