package tokenpool

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// minRecalls and maxRecalls bound the holders that are asked at the same time.
const (
	minRecalls = 4
	maxRecalls = 16
)

// recallCall asks a holder to return idle tokens.
type recallCall struct {
	round  *recall
	budget budget.ID
	holder string
	need   budget.Tokens
}

// RecallAnswer tells what a holder has left after a recall.
type RecallAnswer struct {
	// Returned tokens are back at the ledger.
	Returned budget.Tokens
	// Reserved tokens may become free.
	Reserved budget.Tokens
	// NotHolder means that the callee does not spend as the named holder any more.
	NotHolder bool
}

// recall is a round of recalls for the first waiting request. It asks the largest holders first and ends when all
// have been asked, or when the ledger has granted the need.
type recall struct {
	// asked maps the holders to whether their answer is outstanding.
	asked       map[string]bool
	outstanding int
	// enough is set once the need has come back, although answers are outstanding.
	enough   bool
	returned budget.Tokens
	reserved budget.Tokens
	// silent counts the holders that did not answer.
	silent int
}

// startRecall asks further holders. If all have been asked, it refuses the first waiting request unless tokens may
// still become free.
func (c *stateMachine) startRecall(now time.Time, a *account, result budget.Result) {
	if len(a.waiting) == 0 {
		a.recall = nil
		return
	}
	need := a.waiting[0].request.UpperBound - a.free
	if a.recall == nil {
		a.recall = &recall{asked: map[string]bool{}}
	}
	r := a.recall
	r.returned, r.enough = 0, false
	var sum budget.Tokens
	for _, h := range c.candidates(r, result.Holders) {
		if r.outstanding >= maxRecalls || r.outstanding >= minRecalls && sum >= 2*need {
			break
		}
		sum += h.Tokens
		r.asked[h.Instance] = true
		r.outstanding++
		c.out.recalls = append(c.out.recalls, recallCall{round: r, budget: a.id, holder: h.Instance, need: need})
	}
	if r.outstanding > 0 {
		return
	}
	a.recall = nil
	if r.silent == 0 {
		c.refuseFirst(a, need, result.Unallocated+r.reserved+a.reserved+a.inTransit)
	}
}

func (c *stateMachine) candidates(r *recall, holders []budget.HolderGrant) []budget.HolderGrant {
	out := slices.DeleteFunc(slices.Clone(holders), func(h budget.HolderGrant) bool {
		_, asked := r.asked[h.Instance]
		return h.Instance == c.instance || asked
	})
	slices.SortFunc(out, func(a, b budget.HolderGrant) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

// recalledBy takes the answer of a holder. The next grant operation waits for all answers, unless enough tokens
// have come back already.
func (c *stateMachine) recalledBy(now time.Time, call recallCall, answer RecallAnswer, err error) {
	a, ok := c.accounts[call.budget]
	if !ok || a.recall != call.round || !a.recall.asked[call.holder] || c.closed {
		return
	}
	r := a.recall
	r.asked[call.holder] = false
	r.outstanding--
	if err != nil || answer.NotHolder {
		r.silent++
	}
	r.returned += answer.Returned
	r.reserved += answer.Reserved
	r.enough = r.enough || r.returned >= call.need
	if r.outstanding == 0 || r.enough {
		a.nextNeed = now
		c.serve(now, a)
	}
}

// recalled answers another router that needs tokens: idle tokens go back to the ledger. Requests that wait here do
// not keep tokens that are too few for them, so that two routers can't block each other.
func (c *stateMachine) recalled(now time.Time, call uint64, holder string, id budget.ID, need budget.Tokens) {
	a, ok := c.accounts[id]
	if holder != c.instance || c.closed {
		c.answerRecall(call, RecallAnswer{NotHolder: true})
		return
	}
	if !ok {
		c.answerRecall(call, RecallAnswer{})
		return
	}
	keep := a.demand.over(now, c.settings.DemandWindow, time.Second)
	c.scarce(now, a)
	tokens := min(a.free, max(need, a.spare(keep)))
	if tokens == 0 {
		c.answerRecall(call, RecallAnswer{Reserved: a.reserved + a.inTransit})
		return
	}
	c.giveBack(now, a, tokens, call)
}

func (c *stateMachine) answerRecall(call uint64, answer RecallAnswer) {
	c.out.completions = append(c.out.completions, completion{call: call, recalled: answer})
}

// unanswered is the failure of a recall or transfer that the instance can't answer, or not in time.
func unanswered() *outcome.Failure {
	return outcome.NotRunf(outcome.ReasonGrantUnavailable, retryAdvice, "the call was not answered in time")
}
