package bench

import (
	"io"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a missed goal that does not make the command fail.
func TestWriteGoalsReportsMissedGoals(t *testing.T) {
	passing := Result{Throughput: Throughput{PerSecond: 5000}, AddedP50: 1, AddedP99: 5, Streams: Streams{BytesEach: 64 << 10}}
	must.True(t, passing.WriteGoals(io.Discard))
	for _, degrade := range []func(*Result){
		func(r *Result) { r.Throughput.PerSecond = 4999 },
		func(r *Result) { r.AddedP50 = 1.1 },
		func(r *Result) { r.AddedP99 = 5.1 },
		func(r *Result) { r.Streams.BytesEach = 64<<10 + 103 },
	} {
		r := passing
		degrade(&r)
		must.False(t, r.WriteGoals(io.Discard))
	}
}
