package ledgerwriter

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// stepKinds is the number of kinds of steps.
const stepKinds = 6

// step runs one step of the generated sequence. Each holder runs at most one action in a step, all concurrently.
func (m *machine) step(kind int) {
	switch kind {
	case 0:
		time.Sleep(time.Duration(1+m.random(25)) * time.Minute)
		return
	case 1:
		m.setFaults(func(write bool) fault { return faultUnavailable })
		go func() {
			time.Sleep(time.Duration(1+m.random(20)) * time.Second)
			m.setFaults(nil)
		}()
	case 2, 3:
		m.setFaults(m.randomFault)
	default:
		m.setFaults(nil)
	}
	var wg sync.WaitGroup
	if kind == 5 {
		m.agreeOnTransfer()
	}
	endedIndex := m.random(3 * len(m.holders))
	for i, h := range m.holders {
		action := m.random(7)
		if i == endedIndex {
			m.holders[i] = m.newHolder()
			if action == 0 && len(h.bills) == 0 {
				wg.Go(func() { m.releaseHolder(h) })
			} else {
				wg.Go(func() { m.closeHolder(h) })
			}
		} else {
			wg.Go(func() { m.runAction(h, action) })
		}
	}
	wg.Go(func() { m.topUp(budgets[m.random(len(budgets))], int64(m.random(100))) })
	wg.Go(m.resendOld)
	wg.Go(m.resendOld)
	wg.Wait()
	// Duplicates may still be in flight; they must not change the stored budgets.
	time.Sleep(30 * time.Second)
	m.reconcile()
	m.checkModel()
}

func (m *machine) setFaults(f func(bool) fault) {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	m.store.nextFault = f
}

// randomFault returns the fault of a call. The sequence of faults is determined by the seed of m. It is called with the
// store's mu held.
func (m *machine) randomFault(write bool) fault {
	n := m.random(10)
	switch {
	case n < 2 && write:
		return faultLostAfter
	case n == 2 && write:
		return faultLostBefore
	case n == 3:
		return faultThrottled
	case n == 4:
		return faultUnavailable
	default:
		return faultNone
	}
}

func (m *machine) runAction(h *holder, action int) {
	id := budgets[m.random(len(budgets))]
	switch action {
	case 0, 1:
		m.grant(h, id)
	case 2, 3:
		m.spend(h, id)
	case 4:
		m.spend(h, id)
		m.flush(h)
	case 5:
		m.returnTokens(h, id)
	default:
		m.claim(h)
	}
}

func (h *holder) op(kind budget.OpKind, id budget.ID) budget.Op {
	h.sequence++
	return budget.Op{ID: fmt.Sprintf("%s/%d", h.name, h.sequence), Kind: kind, Budget: id, Holder: h.name}
}

func (m *machine) topUp(id budget.ID, tokens int64) {
	op := budget.Op{ID: m.id("op"), Kind: budget.OpTopUp, Budget: id, Tokens: tokens}
	if r := m.apply(op); r.Code == budget.CodeOK {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.model.toppedUp[id] += tokens
	}
}

func (m *machine) grant(h *holder, id budget.ID) {
	op := h.op(budget.OpGrant, id)
	op.Need, op.Want = int64(m.random(100)), int64(m.random(300))
	r := m.apply(op)
	h.granted[id] += r.Granted
	m.mu.Lock()
	defer m.mu.Unlock()
	m.model.granted[id][h.name] += r.Granted
}

// spend adds bills to the holder without settling them. Keys are drawn from a few per two minutes, so that several
// holders bill attempts with the same key.
func (m *machine) spend(h *holder, id budget.ID) {
	for range 3 {
		tokens := int64(1 + m.random(20))
		if h.granted[id] < tokens {
			return
		}
		h.granted[id] -= tokens
		key := fmt.Sprintf("%d-%d", time.Now().Unix()/int64((2*time.Minute).Seconds()), m.random(4))
		m.mu.Lock()
		m.attemptedKeys[id.Organisation+key] = true
		m.mu.Unlock()
		h.bills = append(h.bills, budget.Bill{Budget: id, Key: key, Tokens: tokens})
		h.billedAt = append(h.billedAt, time.Now())
	}
}

// flush settles the holder's bills of each organisation, after the transfers that they may depend on. A random limit
// makes some settlements include only the oldest bills.
func (m *machine) flush(h *holder) {
	for _, organisation := range []string{"velocar", "svaz"} {
		op := h.op(budget.OpSettle, budget.ID{Organisation: organisation})
		flushedUpTo := time.Now()
		var rest []budget.Bill
		var billedAt []time.Time
		limit := 1 + m.random(10)
		for i, b := range h.bills {
			if b.Budget.Organisation == organisation && len(op.Bills) < limit {
				op.Bills = append(op.Bills, b)
				continue
			}
			if b.Budget.Organisation == organisation && h.billedAt[i].Before(flushedUpTo) {
				flushedUpTo = h.billedAt[i]
			}
			rest, billedAt = append(rest, b), append(billedAt, h.billedAt[i])
		}
		op.FlushedMS = flushedUpTo.UnixMilli()
		m.applyTransfers()
		r := m.apply(op)
		if r.Code != budget.CodeOK {
			m.fail("settlement of %s: %s %s", h.name, r.Code, r.Message)
			return
		}
		h.bills, h.billedAt = rest, billedAt
		m.recordSettlement(h, op.Bills, r.Duplicates)
	}
}

// recordSettlement adds the result of a settlement to the model. Tokens of duplicates return to the holder.
func (m *machine) recordSettlement(h *holder, bills []budget.Bill, duplicates []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	unmatched := slices.Clone(duplicates)
	// The result does not give the positions of duplicates; of equal keys in one settlement the first is charged.
	for i := len(bills) - 1; i >= 0; i-- {
		b := bills[i]
		if n := slices.Index(unmatched, b.Key); n >= 0 {
			unmatched = slices.Delete(unmatched, n, n+1)
			h.granted[b.Budget] += b.Tokens
			continue
		}
		m.model.charged[b.Budget.Organisation+b.Key]++
		m.model.settled[b.Budget] += b.Tokens
		m.model.granted[b.Budget][h.name] -= b.Tokens
	}
}

func (m *machine) returnTokens(h *holder, id budget.ID) {
	m.applyTransfers()
	op := h.op(budget.OpReturn, id)
	op.Tokens = h.granted[id] / 2
	h.granted[id] -= op.Tokens
	if r := m.apply(op); r.Code != budget.CodeOK {
		m.fail("return of %s: %s %s", h.name, r.Code, r.Message)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.model.granted[id][h.name] -= op.Tokens
}

// claim claims a call, and then dispatches it or releases the claim without dispatch.
func (m *machine) claim(h *holder) {
	key := fmt.Sprintf("call-%d", time.Now().Unix()/int64(time.Hour.Seconds()))
	op := h.op(budget.OpClaim, budgets[0])
	op.Claim = &budget.ClaimRecord{Key: key, ID: op.ID, Owner: h.name}
	if m.apply(op).Code != budget.CodeOK {
		return
	}
	next := h.op(budget.OpClaimRelease, budgets[0])
	next.Claim = op.Claim
	if m.random(2) == 0 {
		m.mu.Lock()
		m.model.dispatched[key]++
		m.mu.Unlock()
		next.Kind = budget.OpClaimResult
		next.Claim = &budget.ClaimRecord{Key: key, ID: op.ID, Owner: h.name, Result: &budget.StoredResult{Status: 200}}
	}
	if r := m.apply(next); r.Code != budget.CodeOK {
		m.fail("%s of %s: %s %s", next.Kind, h.name, r.Code, r.Message)
	}
}

// agreeOnTransfer moves tokens between two holders; the recipient spends some before the transfer is recorded.
func (m *machine) agreeOnTransfer() {
	from, to := m.holders[0], m.holders[1]
	id := budgets[0]
	op := from.op(budget.OpTransfer, id)
	op.To, op.Tokens = to.name, from.granted[id]/2
	from.granted[id] -= op.Tokens
	to.granted[id] += op.Tokens
	m.pendingTransfers = append(m.pendingTransfers, op)
	m.model.granted[id][from.name] -= op.Tokens
	m.model.granted[id][to.name] += op.Tokens
	m.spend(to, id)
	m.applyTransfers()
}

// applyTransfers records the pending transfers in order.
func (m *machine) applyTransfers() {
	m.mu.Lock()
	pending := m.pendingTransfers
	m.pendingTransfers = nil
	m.mu.Unlock()
	for _, op := range pending {
		m.apply(op)
	}
}

// closeHolder lets two routers close a holder at the same time, with the bills from its journal. Then the holder sends
// operations again, like a process that resumes after a pause: all must be refused.
func (m *machine) closeHolder(h *holder) {
	op := budget.Op{ID: m.id("closer"), Kind: budget.OpCloseHolder, Holder: h.name, Bills: h.bills}
	var wg sync.WaitGroup
	results := make([]budget.Result, 2)
	for i := range results {
		wg.Go(func() {
			op := op
			op.ID = fmt.Sprintf("closer%d-%s", i, op.ID)
			results[i] = m.apply(op)
		})
	}
	wg.Wait()
	for _, r := range results {
		if r.Code != budget.CodeOK {
			m.fail("close of %s: %s %s", h.name, r.Code, r.Message)
			return
		}
	}
	m.mu.Lock()
	for _, id := range budgets {
		m.model.granted[id][h.name] = 0
	}
	m.closedHolderBills = h.bills
	m.mu.Unlock()
	settleAfterClose := h.op(budget.OpSettle, budgets[0])
	settleAfterClose.Bills = []budget.Bill{{Budget: budgets[0], Key: "late-" + h.name, Tokens: 1}}
	for _, op := range []budget.Op{settleAfterClose, h.op(budget.OpGrant, budgets[0])} {
		op.Need = 1
		if r := m.apply(op); r.Code != budget.CodeHolderClosed {
			m.fail("closed holder %s: %s %s", h.name, op.Kind, r.Code)
		}
	}
}

// reconcile adds the bills of a closed holder to the model, except those whose key another holder billed. It must be
// called when the results of all other settlements are known.
func (m *machine) reconcile() {
	for _, b := range m.closedHolderBills {
		key := b.Budget.Organisation + b.Key
		if m.model.charged[key] == 0 {
			m.model.charged[key]++
			m.model.settled[b.Budget] += b.Tokens
		}
	}
	m.closedHolderBills = nil
}

// releaseHolder lets two operators release the grants of a holder that has no unsettled bills.
func (m *machine) releaseHolder(h *holder) {
	for _, id := range budgets {
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				op := budget.Op{ID: m.id("op"), Kind: budget.OpRelease, Budget: id, Holder: h.name}
				if r := m.apply(op); r.Code != budget.CodeOK {
					m.fail("release of %s: %s", h.name, r.Code)
				}
			})
		}
		wg.Wait()
		m.mu.Lock()
		m.model.granted[id][h.name] = 0
		m.mu.Unlock()
	}
}

// settleAll settles the bills of all holders and checks that each attempted key was billed exactly once.
func (m *machine) settleAll() {
	m.setFaults(nil)
	for _, h := range m.holders {
		for len(h.bills) > 0 && m.failure == "" {
			m.flush(h)
		}
	}
	time.Sleep(30 * time.Second)
	m.checkModel()
	for key := range m.attemptedKeys {
		if m.model.charged[key] != 1 {
			m.fail("key %s was billed %d times", key, m.model.charged[key])
		}
	}
}
