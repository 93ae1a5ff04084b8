package ledgerwriter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
)

// machine runs holders, operators and writers against a store with faults and compares the stored budgets with a
// reference model. The model adds up the results of the operations, so it does not depend on their order.
type machine struct {
	store    *fakeStore
	writers  []*Writer
	rng      *rand.Rand
	mu       sync.Mutex
	model    model
	holders  []*holder
	answered []answeredOp
	// pendingTransfers are agreed between two holders but not yet recorded in the ledger.
	pendingTransfers []budget.Op
	nextID           int
	// attemptedKeys holds the keys of all requests that ran.
	attemptedKeys map[string]bool
	// closedHolderBills are the bills of the holder that was closed in this step.
	closedHolderBills []budget.Bill
	failure           string
}

// model is the expected content of the ledger when all operations are answered.
type model struct {
	toppedUp, settled map[budget.ID]int64
	granted           map[budget.ID]map[string]int64
	// charged counts the bills per key, dispatched the dispatches per claimed call.
	charged, dispatched map[string]int
}

// holder is a router that holds grants: the tokens that it may spend and the bills that it has not settled yet.
type holder struct {
	name     string
	sequence int
	granted  map[budget.ID]int64
	bills    []budget.Bill
	billedAt []time.Time // by index of bills
}

type answeredOp struct {
	op     budget.Op
	result budget.Result
}

var budgets = []budget.ID{mainBudget, {Organisation: "velocar", Budget: "night"}, {Organisation: "svaz", Budget: "main"}}

func newMachine(seed uint64) *machine {
	m := &machine{store: newStore(), rng: rand.New(rand.NewPCG(seed, 1)), attemptedKeys: map[string]bool{}}
	m.store.latency = 5 * time.Millisecond
	m.store.checkStored = m.checkStored
	m.model = model{
		toppedUp: map[budget.ID]int64{}, settled: map[budget.ID]int64{}, granted: map[budget.ID]map[string]int64{},
		charged: map[string]int{}, dispatched: map[string]int{},
	}
	for range 3 {
		w := New(Options{Store: m.store, Rate: func() float64 { return 100 }, Burst: 10})
		// Small sizes make bases of several objects and frequent replacements.
		w.sizes = sizeLimits{maxInlineHead: 400, chunkSize: 300, minDeltaSize: 300, maxDeltaSize: 600, maxHeadSize: 2000}
		m.writers = append(m.writers, w)
	}
	for range 4 {
		m.holders = append(m.holders, m.newHolder())
	}
	for _, id := range budgets {
		m.model.granted[id] = map[string]int64{}
		m.apply(budget.Op{ID: m.id("op"), Kind: budget.OpCreate, Budget: id})
		m.topUp(id, 1000)
	}
	return m
}

func (m *machine) close() {
	for _, w := range m.writers {
		w.Close()
	}
}

func (m *machine) id(prefix string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	return fmt.Sprintf("%s/%d", prefix, m.nextID)
}

func (m *machine) newHolder() *holder {
	return &holder{name: "router" + m.id("h")[2:], granted: map[budget.ID]int64{}}
}

func (m *machine) fail(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

func (m *machine) random(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

// apply sends one operation through random writers until its result is known. In one of four attempts it sends a
// duplicate through another call at the same time.
func (m *machine) apply(op budget.Op) budget.Result {
	for range 500 {
		if m.random(4) == 0 {
			w := m.writers[m.random(len(m.writers))]
			go func() { _, _ = w.Apply(context.Background(), 0, []budget.Op{op}) }()
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		results, err := m.writers[m.random(len(m.writers))].Apply(ctx, 0, []budget.Op{op})
		cancel()
		if err == nil {
			m.mu.Lock()
			m.answered = append(m.answered, answeredOp{op, results[0]})
			m.mu.Unlock()
			return results[0]
		}
		time.Sleep(time.Duration(10+m.random(200)) * time.Millisecond)
	}
	m.fail("%s %s: no result after 500 attempts", op.Kind, op.ID)
	return budget.Result{}
}

// resendOld sends an answered operation again. It must give the same result or be refused.
func (m *machine) resendOld() {
	m.mu.Lock()
	old := m.answered[m.rng.IntN(len(m.answered))]
	w := m.writers[m.rng.IntN(len(m.writers))]
	m.mu.Unlock()
	results, err := w.Apply(context.Background(), 0, []budget.Op{old.op})
	if err != nil {
		return
	}
	r := results[0]
	if r.Code == budget.CodeStale || r.Code == budget.CodeHolderClosed || old.op.Kind == budget.OpTransfer {
		return
	}
	if r.Code != old.result.Code || r.Granted != old.result.Granted {
		m.fail("duplicate of %s %s gave %s %d instead of %s %d", old.op.Kind, old.op.ID, r.Code, r.Granted,
			old.result.Code, old.result.Granted)
	}
}

// checkStored checks that no stored version of the shard has settled and granted more than was topped up.
func (m *machine) checkStored(s *ledger.Shard) {
	for _, id := range budgets {
		for _, b := range s.Read(id.Organisation) {
			if totalTokens(b) > b.ToppedUp {
				m.fail("%s: settled %d and grants %v exceed %d", b.ID, b.Settled, b.Grants, b.ToppedUp)
			}
		}
	}
}

func totalTokens(b budget.Status) int64 {
	n := b.Settled
	for _, g := range b.Grants {
		n += g.Tokens
	}
	return n
}

// checkModel compares the stored budgets with the model. It must be called only when all operations are answered.
func (m *machine) checkModel() {
	s := m.store.shard(0)
	statuses := map[budget.ID]budget.Status{}
	for _, id := range budgets {
		for _, b := range s.Read(id.Organisation) {
			statuses[b.ID] = b
		}
	}
	for _, id := range budgets {
		b := statuses[id]
		if b.ToppedUp != m.model.toppedUp[id] || b.Settled != m.model.settled[id] {
			m.fail("%s: settled/topped up: stored %d/%d, model %d/%d", id, b.Settled, b.ToppedUp, m.model.settled[id], m.model.toppedUp[id])
		}
		var held int64
		for _, g := range b.Grants {
			held += g.Tokens
			if g.Tokens != m.model.granted[id][g.Instance] {
				m.fail("%s: holder %s has %d, model %d", id, g.Instance, g.Tokens, m.model.granted[id][g.Instance])
			}
		}
		var want int64
		for _, n := range m.model.granted[id] {
			want += n
		}
		if held != want {
			m.fail("%s: grants %d, model %d", id, held, want)
		}
	}
	for key, n := range m.model.charged {
		if n > 1 {
			m.fail("key %s was billed %d times", key, n)
		}
	}
	for key, n := range m.model.dispatched {
		if n > 1 {
			m.fail("call %s was dispatched %d times", key, n)
		}
	}
}

// checkObjects checks that the store holds only objects that the shard's head refers to. Each writer deletes its unused
// objects after its next write, so each makes one more.
func (m *machine) checkObjects() {
	for i, w := range m.writers {
		op := m.newHolder().op(budget.OpReturn, mainBudget)
		if _, err := w.Apply(context.Background(), 0, []budget.Op{op}); err != nil {
			m.fail("writer %d: %v", i, err)
		}
	}
	time.Sleep(time.Minute)
	head, err := ledger.DecodeHead(m.store.object(ledger.Key(0)))
	n := len(m.store.keys())
	if err != nil || n != 1+len(head.Chunks) {
		m.fail("%d objects are stored, the head refers to %d (%v)", n, len(head.Chunks), err)
	}
}

// Guards against a ledger that violates I1, I2 or I5 under any mix of operations, faults, duplicates, closed holders and
// outages.
func TestWritersMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, stepKinds-1), 5, 30).Draw(rt, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) {
			m := newMachine(seed)
			defer m.close()
			for _, s := range steps {
				m.step(s)
				if failure = m.failure; failure != "" {
					return
				}
			}
			m.settleAll()
			m.checkObjects()
			failure = m.failure
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
