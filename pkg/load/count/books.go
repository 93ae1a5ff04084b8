package count

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// releaseSlack is how long a router may take to notice that a caller has gone.
const releaseSlack = 2 * time.Second

type budgetName struct{ organisation, budget string }

func (c *counter) books() {
	c.overspend()
	c.billedTwice()
	for _, r := range c.e.Requests {
		if r.Kind == observation.Chat && r.Done() && !c.billed(r) {
			c.counts.DoneUnbilled++
			c.example("done_unbilled", "%s", describe(r))
		}
	}
}

func (c *counter) billed(r *observation.Request) bool {
	hash := observation.BillKey(r.Organisation, r.Key)
	for _, b := range c.e.Budgets {
		if b.Organisation == r.Organisation && b.Bills[hash] {
			return true
		}
	}
	return false
}

// overspend compares the topped-up tokens with the books and with what callers got.
func (c *counter) overspend() {
	got := map[budgetName]int64{}
	for _, r := range c.e.Requests {
		if r.Kind == observation.Chat && r.Done() {
			got[budgetName{r.Organisation, r.Budget}] += r.WholeCharge
		}
	}
	for _, b := range c.e.Budgets {
		spent := max(b.Settled+b.Granted, got[budgetName{b.Organisation, b.Name}])
		if spent > b.ToppedUp {
			c.counts.OverspendTokens += spent - b.ToppedUp
			c.example("overspend_tokens", "%s/%s: topped up %d, settled %d, granted %d, delivered to callers %d", b.Organisation, b.Name,
				b.ToppedUp, b.Settled, b.Granted, got[budgetName{b.Organisation, b.Name}])
		}
	}
}

// charge is the largest amount that the request's bill may have.
func charge(r *observation.Request) int64 {
	if r.Done() && len(r.Attempts) == 1 {
		return r.WholeCharge
	}
	return r.MaxCharge
}

// billedTwice compares the growth of each stored version with the bills that appeared in it. A request that is billed
// a second time makes a budget grow without a new bill, or by more than the new bills can be.
func (c *counter) billedTwice() {
	seen := map[uint64]budgetName{}
	for _, s := range c.e.Settlements {
		name := budgetName{s.Organisation, s.Budget}
		allowed, ours := int64(0), true
		for _, hash := range s.Bills {
			r := c.byHash[hash]
			if r == nil {
				ours = false
				continue
			}
			if other, ok := seen[hash]; ok && other != name {
				c.counts.BilledTwice++
				c.example("billed_twice", "in budgets %s and %s: %s", other.budget, name.budget, describe(r))
			}
			seen[hash] = name
			allowed += charge(r)
		}
		if ours && s.Tokens > allowed {
			c.counts.BilledTwice++
			c.example("billed_twice", "%s/%s grew by %d tokens with %d new bills of at most %d tokens", s.Organisation, s.Budget, s.Tokens, len(s.Bills), allowed)
		}
	}
}

// paymentReasons are the reasons that mean that a router could not pay for a request.
var paymentReasons = map[string]bool{
	"budget_exhausted": true, "budget_unknown": true, "grant_not_obtainable_now": true, "platform_unavailable": true,
	"no_witness_reachable": true,
}

func (c *counter) refusals() {
	byBudget := map[budgetName][]*observation.Request{}
	for _, r := range c.e.Requests {
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
			if left := c.left(name, requests, r); left >= r.UpperBound {
				c.counts.FalseRefusals++
				c.example("false_refusals", "needed %d, at least %d were left: %s", r.UpperBound, left, describe(r))
			}
		}
	}
}

// left returns the least number of tokens that the budget had left when the request was last refused: topped-up
// tokens without what was billed and without the bounds of all requests in progress.
func (c *counter) left(name budgetName, requests []*observation.Request, refused *observation.Request) int64 {
	var last observation.Attempt
	for _, a := range refused.Attempts {
		if paymentReasons[a.Reason] {
			last = a
		}
	}
	left := c.toppedUp(name, last.Start) - c.foreign(name)
	for _, r := range requests {
		if r == refused || len(r.Attempts) == 0 || r.Attempts[0].Start.After(last.End) {
			continue
		}
		end := r.End
		if !r.Done() {
			end = end.Add(releaseSlack)
		}
		switch {
		case end.After(last.Start):
			left -= r.UpperBound
		case c.billed(r):
			left -= charge(r)
		}
	}
	return left
}

// toppedUp returns the topped-up tokens that the platform had stored at a time.
func (c *counter) toppedUp(name budgetName, at time.Time) int64 {
	total := int64(0)
	for _, t := range c.e.TopUps {
		if (budgetName{t.Organisation, t.Budget}) == name && !t.At.After(at) {
			total = t.Total
		}
	}
	return total
}

// foreign returns what was billed to requests that are not of this run.
func (c *counter) foreign(name budgetName) int64 {
	total := int64(0)
	for _, s := range c.e.Settlements {
		for _, hash := range s.Bills {
			if (budgetName{s.Organisation, s.Budget}) == name && c.byHash[hash] == nil {
				total += s.Tokens
				break
			}
		}
	}
	return total
}
