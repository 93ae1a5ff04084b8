package tokenpool

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

var benchStart = time.Unix(1_800_000_000, 0)

// benchMachine is a state machine whose witnesses acknowledge every entry and whose ledger grants every request.
type benchMachine struct {
	*stateMachine
	now              time.Time
	bytes            int
	openReservations []budget.Reservation
	lastCall         uint64
	copies           map[string]*journal.Copies
}

func newBenchMachine(witnesses ...string) *benchMachine {
	b := &benchMachine{now: benchStart, copies: map[string]*journal.Copies{}}
	var refs []journal.Ref
	for _, router := range witnesses {
		refs = append(refs, journal.Ref{Router: router})
		b.copies[router] = journal.NewCopies(router)
	}
	b.stateMachine = newStateMachine("router-0001.1", refs, Settings{})
	return b
}

func (b *benchMachine) runEffects() {
	for {
		out := b.takeEffects(b.now)
		if len(out.applies)+len(out.appends)+len(out.completions) == 0 {
			return
		}
		for _, a := range out.appends {
			b.bytes += proto.Size(a.Request())
			b.handleAppendAnswer(b.now, a, b.copies[a.Witness].Append(a), nil)
		}
		for _, call := range out.applies {
			results := make([]budget.Result, len(call.ops))
			for i, op := range call.ops {
				results[i] = budget.Result{Code: budget.CodeOK, Granted: op.Want}
			}
			b.handleLedgerResults(b.now, call.organisation, results, nil)
		}
		for _, done := range out.completions {
			if done.reservation.ID != 0 {
				b.openReservations = append(b.openReservations, done.reservation)
			}
		}
	}
}

func (b *benchMachine) reserveNext(i int) {
	b.lastCall++
	b.reserve(b.now, b.lastCall, budget.Request{
		Budget:         budget.ID{Organisation: fmt.Sprintf("organisation-%05d", i%1000), Budget: fmt.Sprintf("budget-%06d", i)},
		IdempotencyKey: fmt.Sprintf("3f0b6c1e-9a52-4d7e-8c11-%012d", b.lastCall), UpperBound: 1000,
	})
}

func (b *benchMachine) settleAll() {
	for _, r := range b.openReservations {
		b.lastCall++
		b.settle(b.now, b.lastCall, r.ID, 600)
	}
	b.openReservations = b.openReservations[:0]
	b.runEffects()
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkActiveBudgets reports the memory of a token pool per active budget, and the CPU time that an active budget
// without requests costs per second.
func BenchmarkActiveBudgets(b *testing.B) {
	for _, budgets := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			before := heapBytes()
			machine := newBenchMachine("router-0002")
			for i := range budgets {
				machine.reserveNext(i)
			}
			machine.runEffects()
			machine.settleAll()
			machine.now = machine.now.Add(2 * time.Second)
			machine.tick(machine.now)
			machine.runEffects()
			perBudget := float64(heapBytes()-before) / float64(budgets)
			b.ResetTimer()
			for b.Loop() {
				for range time.Second / tickInterval {
					machine.now = machine.now.Add(tickInterval / 1000)
					machine.tick(machine.now)
					machine.takeEffects(machine.now)
				}
				machine.scanAccounts(machine.now)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(budgets), "ns/budget/s")
			b.ReportMetric(perBudget, "B/budget")
			runtime.KeepAlive(machine)
		})
	}
}

// BenchmarkRequests reports the CPU time and the journal bytes of a request, by the number of requests that share
// an append, with two witnesses.
func BenchmarkRequests(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			machine := newBenchMachine("router-0002", "router-0003")
			requests := 0
			for b.Loop() {
				for i := range batch {
					machine.reserveNext(i % 10)
				}
				machine.runEffects()
				machine.settleAll()
				machine.now = machine.now.Add(10 * time.Millisecond)
				machine.tick(machine.now)
				machine.runEffects()
				requests += batch
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(requests), "ns/request")
			b.ReportMetric(float64(machine.bytes)/float64(requests), "journal-B/request")
		})
	}
}
