package tokenpool

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "20261204")
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line has set it.
func setDefault(name, value string) {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	if !set && flag.Lookup(name) != nil {
		_ = flag.Set(name, value)
	}
}

// fakeLedger is a ledger with one budget. It does not recognise repeated operations.
type fakeLedger struct {
	mu       sync.Mutex
	toppedUp budget.Tokens
	settled  budget.Tokens
	granted  budget.Tokens
	calls    int
	billed   map[string]bool
	err      error
}

func (l *fakeLedger) Apply(_ context.Context, _ string, ops []budget.Op) ([]budget.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.err != nil {
		return nil, l.err
	}
	results := make([]budget.Result, len(ops))
	for i, op := range ops {
		results[i] = l.apply(op)
	}
	return results, nil
}

func (l *fakeLedger) apply(op budget.Op) budget.Result {
	result := budget.Result{Code: budget.CodeOK}
	switch op.Kind {
	case budget.OpGrant:
		rest := l.toppedUp - l.settled - l.granted
		if rest < op.Need {
			return budget.Result{Code: budget.CodeExhausted}
		}
		result.Granted = min(op.Want, max(op.Need, rest/2))
		l.granted += result.Granted
	case budget.OpSettle:
		for _, b := range op.Bills {
			if l.billed[b.Key] {
				result.Duplicates = append(result.Duplicates, b.Key)
				continue
			}
			l.billed[b.Key] = true
			l.granted -= b.Tokens
			l.settled += b.Tokens
		}
	case budget.OpReturn:
		l.granted -= op.Tokens
	}
	return result
}

func (l *fakeLedger) Read(context.Context, string) ([]budget.Status, error) { return nil, nil }

// ledgerCounters is a copy of the ledger's counters.
type ledgerCounters struct {
	settled budget.Tokens
	calls   int
}

func (l *fakeLedger) counters() ledgerCounters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ledgerCounters{settled: l.settled, calls: l.calls}
}
