package admit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// BenchmarkAdmission measures the CPU time to admit and end one request, and the memory per queued request, while each
// of n organisations has one request queued. A pool's queue holds 1,024 requests of a target kind.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			request := func(i int) Request {
				return Request{Organisation: fmt.Sprintf("organisation-%05d", i), Class: "briefing", Pool: "p", Target: config.TargetWhole, Tokens: 400}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			machine := NewStateMachine(Options{})
			machine.SetCapacity(now, "p", 1)
			for i := range n + 1 {
				machine.Offer(now, request(i))
			}
			running := machine.TakeVerdicts()
			runtime.GC()
			runtime.ReadMemStats(&after)
			i := n
			for b.Loop() {
				i++
				machine.Offer(now, request(i%(n+1)))
				id := running[0].ID
				machine.Done(now, id, Usage{FirstToken: time.Second, Total: time.Second, OutputTokens: 10})
				running = machine.TakeVerdicts()
				if len(running) != 1 || running[0].Failure != nil {
					b.Fatalf("%d verdicts", len(running))
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/waiting")
		})
	}
}
