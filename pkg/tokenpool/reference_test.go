package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// told is a bill that a caller was told to be durable.
type told struct {
	holder string
	budget budget.ID
	tokens budget.Tokens
	at     time.Time
}

// reference is a ledger that never forgets, and what callers were told.
type reference struct {
	w         *world
	toppedUp  map[budget.ID]budget.Tokens
	bills     map[billKey]budget.Tokens
	transfers map[string]bool
	closed    map[string]bool
	told      map[billKey]told
	refusals  map[outcome.Reason]int
	served    int
	changed   int
	given     int
	// lost counts the bills that were told and went down with the only witness that had them.
	lost int
	// answered holds the told bills whose messages to a witness that answers have all been delivered and answered.
	answered map[witnessedBill]bool
}

// witnessedBill is a bill at a witness.
type witnessedBill struct {
	key    billKey
	router string
}

func newReference(w *world) *reference {
	return &reference{
		w: w, toppedUp: map[budget.ID]budget.Tokens{}, bills: map[billKey]budget.Tokens{}, transfers: map[string]bool{},
		closed: map[string]bool{}, told: map[billKey]told{}, refusals: map[outcome.Reason]int{},
		answered: map[witnessedBill]bool{},
	}
}

func (r *reference) statuses() []budget.Status {
	var out []budget.Status
	for _, id := range testBudgets {
		out = append(out, r.w.shard.Read(id.Organisation)...)
	}
	return out
}

func (r *reference) settledSum() budget.Tokens {
	var sum budget.Tokens
	for _, s := range r.statuses() {
		sum += s.Settled
	}
	return sum
}

// applied checks that an operation settles exactly the bills that no operation has settled before.
func (r *reference) applied(op budget.Op, result budget.Result, settled budget.Tokens) {
	var want budget.Tokens
	if result.Code == budget.CodeOK {
		for _, b := range op.Bills {
			key := billKey{b.Budget.Organisation, b.Key}
			if _, ok := r.bills[key]; !ok && !r.closed[op.Holder] {
				r.bills[key] = b.Tokens
				want += b.Tokens
			}
		}
		switch op.Kind {
		case budget.OpTransfer:
			r.transfers[op.ID] = true
		case budget.OpCloseHolder:
			for _, t := range op.Transfers {
				r.transfers[t.ID] = true
			}
			r.closed[op.Holder] = true
		}
	}
	if want != settled {
		r.w.fail("%s %s of %s settled %d tokens, want %d: %+v", op.Kind, op.ID, op.Holder, settled, want, op.Bills)
	}
	if result.Code == budget.CodeInvalid {
		r.w.fail("%s %s of %s is invalid: %s", op.Kind, op.ID, op.Holder, result.Message)
	}
}

func (r *reference) machines() []*stateMachine {
	var out []*stateMachine
	for _, n := range r.w.former {
		out = append(out, n.machines...)
	}
	for _, vm := range r.w.vms {
		out = append(out, r.w.nodes[vm].machines...)
	}
	return out
}

// check checks the invariants after a step.
func (r *reference) check() {
	exposed := map[budget.ID]budget.Tokens{}
	for key, t := range r.told {
		if _, ok := r.bills[key]; ok {
			continue
		}
		if r.closed[t.holder] {
			r.w.fail("bill %v was told durable by %s, which is closed without it", key, t.holder)
		}
		exposed[t.budget] += t.tokens
	}
	for _, c := range r.machines() {
		if r.closed[c.instance] || c.closed {
			continue
		}
		for _, res := range c.reservations {
			exposed[res.account.id] += res.tokens
		}
		for key, b := range c.bills {
			if _, ok := r.bills[key]; !ok && r.told[key].holder != c.instance {
				exposed[b.account.id] += b.tokens
			}
		}
		for _, a := range c.active {
			if min(a.free, a.reserved, a.billed, a.inTransit, a.inbound) < 0 {
				r.w.fail("%s has negative books of %s: %+v", c.instance, a.id, a)
			}
			if a.granted+a.inbound != a.held() {
				r.w.fail("%s holds %d tokens of %s, but was granted %d + %d", c.instance, a.held(), a.id, a.granted, a.inbound)
			}
		}
	}
	records := map[string]instance.Record{}
	for _, record := range r.w.store.records() {
		records[record.Instance] = record
	}
	for _, s := range r.statuses() {
		var granted budget.Tokens
		for _, g := range s.Grants {
			granted += g.Tokens
			if _, ok := records[g.Instance]; !ok {
				r.w.fail("%s holds %d tokens of %s without a record", g.Instance, g.Tokens, s.ID)
			}
		}
		if s.Settled+granted > s.ToppedUp || s.ToppedUp != r.toppedUp[s.ID] {
			r.w.fail("books of %s: %+v, topped up %d", s.ID, s, r.toppedUp[s.ID])
		}
		if s.Settled+exposed[s.ID] > s.ToppedUp {
			r.w.fail("%s can be overspent: settled %d + exposed %d > topped up %d", s.ID, s.Settled, exposed[s.ID], s.ToppedUp)
		}
	}
}
