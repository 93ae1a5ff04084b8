package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// acknowledgedBill is a bill that was reported to a caller as durable.
type acknowledgedBill struct {
	holder string
	budget budget.ID
	tokens budget.Tokens
	at     time.Time
}

// referenceLedger records what the ledger has applied and what was reported to callers. It never deletes records.
type referenceLedger struct {
	fleet           *fleet
	toppedUp        map[budget.ID]budget.Tokens
	bills           map[billKey]budget.Tokens
	transfers       map[string]bool
	closed          map[string]bool
	acknowledged    map[billKey]acknowledgedBill
	refusals        map[outcome.Reason]int
	settledCount    int
	witnessChanges  int
	returnedRecalls int
	// lostBills counts acknowledged bills that were lost with the only witness that had them.
	lostBills int
	// deliveredToWitness holds the acknowledged bills that a witness must have, because it has answered all messages
	// sent to it.
	deliveredToWitness map[witnessedBill]bool
}

// witnessedBill identifies a bill and a witness.
type witnessedBill struct {
	key    billKey
	router string
}

func newReferenceLedger(f *fleet) *referenceLedger {
	return &referenceLedger{
		fleet: f, toppedUp: map[budget.ID]budget.Tokens{}, bills: map[billKey]budget.Tokens{}, transfers: map[string]bool{},
		closed: map[string]bool{}, acknowledged: map[billKey]acknowledgedBill{}, refusals: map[outcome.Reason]int{},
		deliveredToWitness: map[witnessedBill]bool{},
	}
}

func (r *referenceLedger) statuses() []budget.Status {
	var out []budget.Status
	for _, id := range testBudgets {
		out = append(out, r.fleet.shard.Read(id.Organisation)...)
	}
	return out
}

func (r *referenceLedger) totalSettled() budget.Tokens {
	var sum budget.Tokens
	for _, s := range r.statuses() {
		sum += s.Settled
	}
	return sum
}

// checkApplied checks that an operation settles exactly those of its bills that no earlier operation has settled.
func (r *referenceLedger) checkApplied(op budget.Op, result budget.Result, settled budget.Tokens) {
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
		r.fleet.fail("%s %s of %s settled %d tokens, want %d: %+v", op.Kind, op.ID, op.Holder, settled, want, op.Bills)
	}
	if result.Code == budget.CodeInvalid {
		r.fleet.fail("%s %s of %s is invalid: %s", op.Kind, op.ID, op.Holder, result.Message)
	}
}

func (r *referenceLedger) machines() []*stateMachine {
	var out []*stateMachine
	for _, n := range r.fleet.crashedNodes {
		out = append(out, n.machines...)
	}
	for _, vm := range r.fleet.vms {
		out = append(out, r.fleet.nodes[vm].machines...)
	}
	return out
}

// check checks the invariants: what routers hold matches the ledger, and acknowledged bills and open reservations are
// covered by the budgets.
func (r *referenceLedger) check() {
	unsettled := map[budget.ID]budget.Tokens{}
	for key, t := range r.acknowledged {
		if _, ok := r.bills[key]; ok {
			continue
		}
		if r.closed[t.holder] {
			r.fleet.fail("bill %v was acknowledged by %s, which was closed without settling it", key, t.holder)
		}
		unsettled[t.budget] += t.tokens
	}
	for _, machine := range r.machines() {
		if r.closed[machine.instance] || machine.closed {
			continue
		}
		for _, res := range machine.reservations {
			unsettled[res.account.id] += res.tokens
		}
		for key, b := range machine.bills {
			if _, ok := r.bills[key]; !ok && r.acknowledged[key].holder != machine.instance {
				unsettled[b.account.id] += b.tokens
			}
		}
		for _, a := range machine.active {
			if min(a.free, a.reserved, a.billed, a.inTransit, a.inbound) < 0 {
				r.fleet.fail("%s has a negative token count for %s: %+v", machine.instance, a.id, a)
			}
			if a.granted+a.inbound != a.heldTokens() {
				r.fleet.fail("%s holds %d tokens of %s, but was granted %d + %d", machine.instance, a.heldTokens(), a.id, a.granted, a.inbound)
			}
		}
	}
	records := map[string]instance.Record{}
	for _, record := range r.fleet.store.records() {
		records[record.Instance] = record
	}
	for _, s := range r.statuses() {
		var granted budget.Tokens
		for _, g := range s.Grants {
			granted += g.Tokens
			if _, ok := records[g.Instance]; !ok {
				r.fleet.fail("%s holds %d tokens of %s without an instance record", g.Instance, g.Tokens, s.ID)
			}
		}
		if s.Settled+granted > s.ToppedUp || s.ToppedUp != r.toppedUp[s.ID] {
			r.fleet.fail("wrong ledger state of %s: %+v, topped up %d", s.ID, s, r.toppedUp[s.ID])
		}
		if s.Settled+unsettled[s.ID] > s.ToppedUp {
			r.fleet.fail("%s can be overspent: settled %d + unsettled %d > topped up %d", s.ID, s.Settled, unsettled[s.ID], s.ToppedUp)
		}
	}
}
