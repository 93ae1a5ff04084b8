package count

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// releaseDelay is how long a router may take to detect that a caller closed the connection.
const releaseDelay = 2 * time.Second

type budgetName struct{ organisation, budget string }

// countBilling counts overspent tokens and requests that were billed twice or not at all.
func (c *counter) countBilling() {
	c.countOverspend()
	c.countBilledTwice()
	for _, r := range c.observed.Requests {
		if r.Kind == observation.Chat && r.Done() && !c.isBilled(r) {
			c.counts.DoneUnbilled++
			c.addExample("done_unbilled", "%s", describe(r))
		}
	}
}

// isBilled reports whether any budget of the request's organisation has a bill for it.
func (c *counter) isBilled(r *observation.Request) bool {
	hash := observation.BillKey(r.Organisation, r.Key)
	for _, b := range c.observed.Budgets {
		if b.Organisation == r.Organisation && b.Bills[hash] {
			return true
		}
	}
	return false
}

// countOverspend compares the topped-up tokens of each budget with those settled and granted in the ledger, and with
// the charge of the whole answers that callers received.
func (c *counter) countOverspend() {
	delivered := map[budgetName]int64{}
	for _, r := range c.observed.Requests {
		if r.Kind == observation.Chat && r.Done() {
			delivered[budgetName{r.Organisation, r.Budget}] += r.WholeCharge
		}
	}
	for _, b := range c.observed.Budgets {
		spent := max(b.Settled+b.Granted, delivered[budgetName{b.Organisation, b.Name}])
		if spent > b.ToppedUp {
			c.counts.OverspendTokens += spent - b.ToppedUp
			c.addExample("overspend_tokens", "%s/%s: topped up %d, settled %d, granted %d, delivered to callers %d", b.Organisation, b.Name,
				b.ToppedUp, b.Settled, b.Granted, delivered[budgetName{b.Organisation, b.Name}])
		}
	}
}

// maxBill returns the largest number of tokens that the request's bill may have.
func maxBill(r *observation.Request) int64 {
	if r.Done() && len(r.Attempts) == 1 {
		return r.WholeCharge
	}
	return r.MaxCharge
}

// countBilledTwice compares the growth of each stored version with the bills that the version added. If a request is
// billed a second time, the settled tokens grow without a new bill, or by more than the new bills allow.
func (c *counter) countBilledTwice() {
	billedTo := map[uint64]budgetName{}
	for _, s := range c.observed.Settlements {
		name := budgetName{s.Organisation, s.Budget}
		allowed, onlyThisRun := int64(0), true
		for _, hash := range s.Bills {
			r := c.requestsByHash[hash]
			if r == nil {
				onlyThisRun = false
				continue
			}
			if other, ok := billedTo[hash]; ok && other != name {
				c.counts.BilledTwice++
				c.addExample("billed_twice", "in budgets %s and %s: %s", other.budget, name.budget, describe(r))
			}
			billedTo[hash] = name
			allowed += maxBill(r)
		}
		if onlyThisRun && s.Tokens > allowed {
			c.counts.BilledTwice++
			c.addExample("billed_twice", "%s/%s grew by %d tokens with %d new bills of at most %d tokens", s.Organisation, s.Budget, s.Tokens, len(s.Bills), allowed)
		}
	}
}

// paymentReasons are the reasons of refusals by a router that could not pay for the request.
var paymentReasons = map[string]bool{
	"budget_exhausted": true, "budget_unknown": true, "grant_not_obtainable_now": true, "platform_unavailable": true,
	"no_witness_reachable": true,
}

// countRefusals counts refusals for payment reasons, and those that the budget could have paid.
func (c *counter) countRefusals() {
	byBudget := map[budgetName][]*observation.Request{}
	for _, r := range c.observed.Requests {
		if r.Kind == observation.Chat {
			name := budgetName{r.Organisation, r.Budget}
			byBudget[name] = append(byBudget[name], r)
		}
	}
	for name, requests := range byBudget {
		for _, r := range requests {
			if r.Done() || !paymentReasons[r.Reason] {
				continue
			}
			c.counts.RefusedBudget++
			if remaining := c.minRemaining(name, requests, r); remaining >= r.UpperBound {
				c.counts.FalseRefusals++
				c.addExample("false_refusals", "needed %d, at least %d were left: %s", r.UpperBound, remaining, describe(r))
			}
		}
	}
}

// minRemaining returns the smallest number of tokens that the budget can have had left when the request was last
// refused: the topped-up tokens minus all bills and minus the upper bounds of all requests in progress.
func (c *counter) minRemaining(name budgetName, requests []*observation.Request, refused *observation.Request) int64 {
	var lastRefusal observation.Attempt
	for _, a := range refused.Attempts {
		if paymentReasons[a.Reason] {
			lastRefusal = a
		}
	}
	remaining := c.toppedUpAt(name, lastRefusal.Start) - c.billedToOthers(name)
	for _, r := range requests {
		if r == refused || len(r.Attempts) == 0 || r.Attempts[0].Start.After(lastRefusal.End) {
			continue
		}
		end := r.End
		if !r.Done() {
			end = end.Add(releaseDelay)
		}
		switch {
		case end.After(lastRefusal.Start):
			remaining -= r.UpperBound
		case c.isBilled(r):
			remaining -= maxBill(r)
		}
	}
	return remaining
}

// toppedUpAt returns the topped-up tokens of the budget that the platform had stored at the given time.
func (c *counter) toppedUpAt(name budgetName, at time.Time) int64 {
	total := int64(0)
	for _, t := range c.observed.TopUps {
		if (budgetName{t.Organisation, t.Budget}) == name && !t.At.After(at) {
			total = t.Total
		}
	}
	return total
}

// billedToOthers returns the tokens of all stored versions with a bill of a request that is not part of this run.
func (c *counter) billedToOthers(name budgetName) int64 {
	total := int64(0)
	for _, s := range c.observed.Settlements {
		for _, hash := range s.Bills {
			if (budgetName{s.Organisation, s.Budget}) == name && c.requestsByHash[hash] == nil {
				total += s.Tokens
				break
			}
		}
	}
	return total
}
