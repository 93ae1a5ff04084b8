package forward

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against refusing a sound stream whose lines end with CR LF, as event streams may.
func TestEventStreamPassesLinesWithCarriageReturns(t *testing.T) {
	text := strings.ReplaceAll(eventText(1, 3), "\n", "\r\n")
	stream := newEventStream(noEvent)
	got, err := stream.add([]byte(text))
	must.NoError(t, err)
	must.EqOp(t, text, string(got))
	must.True(t, stream.endsWhole(true))
}
