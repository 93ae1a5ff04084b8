package forward

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// signingDialect is a Dialect whose endpoints sign their successes and say what they haven't run.
type signingDialect struct{ plainDialect }

func (signingDialect) NotRun(status int, h http.Header) bool {
	return h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
}

func (signingDialect) CheckSuccess(h http.Header) error {
	if h.Get("Signature") == "" || h.Get("Content-Encoding") != "" {
		return ErrNotOwn
	}
	return nil
}

// Guards against an answer that is passed on as a success or as a promise by its status alone.
func TestJudge(t *testing.T) {
	signed, unsigned := http.Header{"Signature": {"s"}}, http.Header{}
	encoded, notRun := http.Header{"Signature": {"s"}, "Content-Encoding": {"gzip"}}, http.Header{"Not-Run": {"1"}}
	for _, c := range []struct {
		name      string
		streaming bool
		status    int
		header    http.Header
		want      verdict
	}{
		{"success", false, 200, signed, verdictWhole},
		{"success of another kind", false, 201, signed, verdictWhole},
		{"stream", true, 200, signed, verdictStream},
		{"stream of another kind", true, 206, signed, verdictStream},
		{"unsigned", false, 200, unsigned, verdictInvalid},
		{"unsigned stream", true, 200, unsigned, verdictInvalid},
		{"unsigned success of another kind", true, 204, unsigned, verdictInvalid},
		{"encoded", false, 200, encoded, verdictInvalid},
		{"encoded stream", true, 200, encoded, verdictInvalid},
		{"own failure", false, 500, signed, verdictWhole},
		{"unsigned failure", true, 504, unsigned, verdictWhole},
		{"not found", false, 404, unsigned, verdictWhole},
		{"redirect", false, 302, unsigned, verdictWhole},
		{"rejected", false, 503, notRun, verdictNotRun},
		{"rejected stream", true, 429, notRun, verdictNotRun},
		{"bad request that didn't run", false, 400, notRun, verdictNotRun},
		{"another endpoint", false, 421, unsigned, verdictNotRun},
		{"failed as unavailable", false, 503, signed, verdictWithheld},
		{"failed as busy", true, 429, unsigned, verdictWithheld},
		{"failed as timed out", false, 408, unsigned, verdictWithheld},
	} {
		got, err := judge(signingDialect{}, c.streaming, c.status, c.header)
		must.EqOp(t, c.want, got, must.Sprint(c.name))
		must.EqOp(t, c.want == verdictInvalid || c.want == verdictWithheld, err != nil, must.Sprint(c.name))
	}
}
