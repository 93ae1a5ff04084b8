package forward

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against logs and metrics that don't tell in which way an endpoint's events are not in order.
func TestIrregularityTellsWhatIsWrong(t *testing.T) {
	for name, test := range map[string]struct {
		after int64
		text  string
		want  irregularity
	}{
		"whole":                       {noEvent, eventText(1, 4), ""},
		"counted from 0":              {noEvent, eventText(0, 4), ""},
		"first event missing":         {noEvent, eventText(2, 4), irregularFirst},
		"event missing":               {noEvent, eventText(1, 2) + eventText(4, 5), irregularGap},
		"event twice":                 {noEvent, eventText(1, 2) + eventText(2, 3), irregularRepeat},
		"id goes back":                {noEvent, eventText(1, 3) + eventText(2, 4), irregularBackward},
		"begins again":                {noEvent, eventText(1, 3) + eventText(1, 4), irregularBackward},
		"two ids":                     {noEvent, eventText(1, 1) + "id: 2\nid: 3\ndata: x\n\n", irregularIDs},
		"taken up":                    {12, eventText(13, 15), ""},
		"taken up from the beginning": {12, eventText(1, 15), ""},
		"taken up too late":           {12, eventText(14, 15), irregularFirst},
		"gap in what the caller has":  {12, eventText(1, 3) + eventText(5, 15), irregularGap},
	} {
		stream := newEventStream(test.after)
		_, _ = stream.add([]byte(test.text)) // Only the finding counts here.
		must.EqOp(t, test.want, stream.irregular, must.Sprint(name))
	}
}
