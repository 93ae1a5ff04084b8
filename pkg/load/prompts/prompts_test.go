package prompts

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const lines = `built in 0.1 s
 1.0 r1 {"fields":{"aim_ms":2000,"pause_aim_ms":500,"cached":0,"endpoint":"e","first_ms":600,"part_ends":[13000],"parts":["p"],"prompt_tokens":17000,"request":"1","route":"long","sent":true,"sent_ms":0,"total_ms":1000},"timestamp":"2026-06-08T20:00:01Z","message":"request_done"}
 1.0 r2 {"fields":{"aim_ms":500,"pause_aim_ms":500,"cached":0,"endpoint":"e","first_ms":550,"pause_ms":600,"pause_ended_ms":650,"prompt_tokens":100,"request":"2","route":"short","sent":true,"sent_ms":0,"total_ms":900},"timestamp":"2026-06-08T20:00:01Z","message":"request_done"}
 2.5 r1 {"fields":{"aim_ms":2000,"pause_aim_ms":500,"cached":13000,"endpoint":"e","first_ms":200,"part_ends":[13000],"parts":["p"],"prompt_tokens":17000,"request":"3","route":"long","sent":true,"sent_ms":0,"total_ms":500},"timestamp":"2026-06-08T20:00:02.5Z","message":"request_done"}
 2.5 r1 {"fields":{"endpoint":"","prompt_tokens":100,"request":"4","route":"short","sent":false,"total_ms":1},"timestamp":"2026-06-08T20:00:02.5Z","message":"request_not_run"}
`

// Guards against lines of requests that were not sent, a part that counts as cached before it was read or as uncached after, and a late
// request whose cause isn't found.
func TestAnalyse(t *testing.T) {
	requests, err := Read(strings.NewReader(lines))
	must.NoError(t, err)
	must.Len(t, 3, requests)
	must.EqOp(t, "r1", requests[0].Router)
	list := []prefill{{&requests[0], 17000}, {&requests[1], 100}}
	k := Kind{Groups: make([]Group, len(binEnds)+1)}
	k.add(list, 1, 30, 4000)
	must.EqOp(t, 1, k.Late)
	must.EqOp(t, 1, k.LateLong)
	must.EqOp(t, 1, k.PausedLong)
	must.EqOp(t, 1, k.Groups[len(binEnds)].Requests)
	r := Analyse(requests, 4000)
	must.Eq(t, []float64{4000.0 / 200}, r.TokensPerMS)
	_, err = Read(strings.NewReader(`{"fields":{"prompt_tokens":"x"}}`))
	must.ErrorContains(t, err, "line 1")
}
