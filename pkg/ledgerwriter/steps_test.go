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

// step runs one step of the program. Each holder does at most one thing in a step, all at the same time.
func (m *machine) step(kind int) {
	switch kind {
	case 0:
		time.Sleep(time.Duration(1+m.random(25)) * time.Minute)
		return
	case 1:
		m.setFaults(func(write bool) fault { return faultDown })
		go func() {
			time.Sleep(time.Duration(1+m.random(20)) * time.Second)
			m.setFaults(nil)
		}()
	case 2, 3:
		m.setFaults(m.flaky)
	default:
		m.setFaults(nil)
	}
	var wg sync.WaitGroup
	if kind == 5 {
		m.agreeOnTransfer()
	}
	ended := m.random(3 * len(m.holders))
	for i, h := range m.holders {
		action := m.random(7)
		if i == ended {
			m.holders[i] = m.newHolder()
			if action == 0 && len(h.bills) == 0 {
				wg.Go(func() { m.releaseHolder(h) })
			} else {
				wg.Go(func() { m.closeHolder(h) })
			}
		} else {
			wg.Go(func() { m.act(h, action) })
		}
	}
	wg.Go(func() { m.topUp(accounts[m.random(len(accounts))], int64(m.random(100))) })
	wg.Go(m.resend)
	wg.Go(m.resend)
	wg.Wait()
	// Duplicates may still be under way; what they do must not change the books.
	time.Sleep(30 * time.Second)
	m.reconcile()
	m.checkModel()
}

func (m *machine) setFaults(f func(bool) fault) {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	m.store.fault = f
}

// flaky is called with the store's lock held.
func (m *machine) flaky(write bool) fault {
	n := m.random(10)
	switch {
	case n < 2 && write:
		return faultLostAfter
	case n == 2 && write:
		return faultLostBefore
	case n == 3:
		return faultThrottled
	case n == 4:
		return faultDown
	default:
		return faultNone
	}
}

func (m *machine) act(h *holder, action int) {
	id := accounts[m.random(len(accounts))]
	switch action {
	case 0, 1:
		m.grant(h, id)
	case 2, 3:
		m.spend(h, id)
	case 4:
		m.spend(h, id)
		m.flush(h)
	case 5:
		m.giveBack(h, id)
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
	m.model.held[id][h.name] += r.Granted
}

// spend bills requests in the holder's memory. Keys come from the last few minutes, so that attempts at several
// holders carry the same key.
func (m *machine) spend(h *holder, id budget.ID) {
	for range 3 {
		tokens := int64(1 + m.random(20))
		if h.granted[id] < tokens {
			return
		}
		h.granted[id] -= tokens
		key := fmt.Sprintf("%d-%d", time.Now().Unix()/int64((2*time.Minute).Seconds()), m.random(4))
		m.mu.Lock()
		m.attempted[id.Organisation+key] = true
		m.mu.Unlock()
		h.bills = append(h.bills, budget.Bill{Budget: id, Key: key, Tokens: tokens})
		h.since = append(h.since, time.Now())
	}
}

// flush settles the holder's bills of each organisation, after the transfers that they may depend on. At times it
// sends only the oldest bills.
func (m *machine) flush(h *holder) {
	for _, organisation := range []string{"velocar", "svaz"} {
		op := h.op(budget.OpSettle, budget.ID{Organisation: organisation})
		flushed := time.Now()
		var rest []budget.Bill
		var since []time.Time
		limit := 1 + m.random(10)
		for i, b := range h.bills {
			if b.Budget.Organisation == organisation && len(op.Bills) < limit {
				op.Bills = append(op.Bills, b)
				continue
			}
			if b.Budget.Organisation == organisation && h.since[i].Before(flushed) {
				flushed = h.since[i]
			}
			rest, since = append(rest, b), append(since, h.since[i])
		}
		op.FlushedMS = flushed.UnixMilli()
		m.applyTransfers()
		r := m.apply(op)
		if r.Code != budget.CodeOK {
			m.fail("settlement of %s: %s %s", h.name, r.Code, r.Message)
			return
		}
		h.bills, h.since = rest, since
		m.charge(h, op.Bills, r.Duplicates)
	}
}

// charge adds the result of a settlement to the model. Tokens of duplicates go back to the holder.
func (m *machine) charge(h *holder, bills []budget.Bill, duplicates []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := slices.Clone(duplicates)
	// The positions of duplicates are not in the result; equal keys in one settlement are charged first.
	for i := len(bills) - 1; i >= 0; i-- {
		b := bills[i]
		if n := slices.Index(left, b.Key); n >= 0 {
			left = slices.Delete(left, n, n+1)
			h.granted[b.Budget] += b.Tokens
			continue
		}
		m.model.charged[b.Budget.Organisation+b.Key]++
		m.model.settled[b.Budget] += b.Tokens
		m.model.held[b.Budget][h.name] -= b.Tokens
	}
}

func (m *machine) giveBack(h *holder, id budget.ID) {
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
	m.model.held[id][h.name] -= op.Tokens
}

// claim takes a call and dispatches it, or releases the claim without dispatch.
func (m *machine) claim(h *holder) {
	key := fmt.Sprintf("call-%d", time.Now().Unix()/int64(time.Hour.Seconds()))
	op := h.op(budget.OpClaim, accounts[0])
	op.Claim = &budget.ClaimRecord{Key: key, ID: op.ID, Owner: h.name}
	if m.apply(op).Code != budget.CodeOK {
		return
	}
	next := h.op(budget.OpClaimRelease, accounts[0])
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

// agreeOnTransfer moves tokens between two holders, which use them before the ledger knows.
func (m *machine) agreeOnTransfer() {
	from, to := m.holders[0], m.holders[1]
	id := accounts[0]
	op := from.op(budget.OpTransfer, id)
	op.To, op.Tokens = to.name, from.granted[id]/2
	from.granted[id] -= op.Tokens
	to.granted[id] += op.Tokens
	m.pending = append(m.pending, op)
	m.model.held[id][from.name] -= op.Tokens
	m.model.held[id][to.name] += op.Tokens
	m.spend(to, id)
	m.applyTransfers()
}

// applyTransfers records the agreed transfers in their order.
func (m *machine) applyTransfers() {
	m.mu.Lock()
	pending := m.pending
	m.pending = nil
	m.mu.Unlock()
	for _, op := range pending {
		m.apply(op)
	}
}

// closeHolder closes a holder by two routers at once, with the bills that its journal holds, and then lets the
// holder act again as if it had been frozen.
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
	for _, id := range accounts {
		m.model.held[id][h.name] = 0
	}
	m.closedBills = h.bills
	m.mu.Unlock()
	late := h.op(budget.OpSettle, accounts[0])
	late.Bills = []budget.Bill{{Budget: accounts[0], Key: "late-" + h.name, Tokens: 1}}
	for _, op := range []budget.Op{late, h.op(budget.OpGrant, accounts[0])} {
		op.Need = 1
		if r := m.apply(op); r.Code != budget.CodeHolderClosed {
			m.fail("closed holder %s: %s %s", h.name, op.Kind, r.Code)
		}
	}
}

// reconcile adds the bills of a closed holder to the model, when the results of all other settlements are known:
// those whose key nobody else has billed.
func (m *machine) reconcile() {
	for _, b := range m.closedBills {
		key := b.Budget.Organisation + b.Key
		if m.model.charged[key] == 0 {
			m.model.charged[key]++
			m.model.settled[b.Budget] += b.Tokens
		}
	}
	m.closedBills = nil
}

// releaseHolder lets two operators release the grants of a holder that is known to have spent nothing more.
func (m *machine) releaseHolder(h *holder) {
	for _, id := range accounts {
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
		m.model.held[id][h.name] = 0
		m.mu.Unlock()
	}
}

// settleAll flushes all holders; then each attempted key must have exactly one bill.
func (m *machine) settleAll() {
	m.setFaults(nil)
	for _, h := range m.holders {
		for len(h.bills) > 0 && m.failure == "" {
			m.flush(h)
		}
	}
	time.Sleep(30 * time.Second)
	m.checkModel()
	for key := range m.attempted {
		if m.model.charged[key] != 1 {
			m.fail("key %s was billed %d times", key, m.model.charged[key])
		}
	}
}
