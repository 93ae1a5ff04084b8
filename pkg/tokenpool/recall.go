package tokenpool

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// minPendingRecalls and maxPendingRecalls bound the number of holders that are asked at the same time.
const (
	minPendingRecalls = 4
	maxPendingRecalls = 16
)

// recallCall is a request to a holder to return idle tokens to the ledger.
type recallCall struct {
	round  *recallRound
	budget budget.ID
	holder string
	need   budget.Tokens
}

// RecallAnswer is the answer of a holder to a recall.
type RecallAnswer struct {
	// Returned is the number of tokens that the holder has returned to the ledger.
	Returned budget.Tokens
	// Reserved is the number of tokens at the holder that may still become free.
	Reserved budget.Tokens
	// NotHolder is set if the callee no longer runs the named instance.
	NotHolder bool
}

// recallRound is a round of recalls for the first waiting request. The largest holders are asked first. The round ends
// when all holders have been asked or when the ledger has granted the need.
type recallRound struct {
	// askedHolders contains each holder that was asked; the value is true while its answer is outstanding.
	askedHolders map[string]bool
	outstanding  int
	// needCovered is set once the needed tokens have been returned, even if answers are outstanding.
	needCovered bool
	returned    budget.Tokens
	reserved    budget.Tokens
	// unansweredCount is the number of holders that did not answer or no longer run the named instance.
	unansweredCount int
}

// askHolders recalls tokens from holders that have not been asked in this round. If all have been asked and all have
// answered, it refuses the first waiting request unless enough tokens may still become free.
func (m *stateMachine) askHolders(now time.Time, a *account, result budget.Result) {
	if len(a.waiting) == 0 {
		a.recall = nil
		return
	}
	need := a.waiting[0].request.UpperBound - a.free
	if a.recall == nil {
		a.recall = &recallRound{askedHolders: map[string]bool{}}
	}
	r := a.recall
	r.returned, r.needCovered = 0, false
	var sum budget.Tokens
	for _, h := range m.recallCandidates(r, result.Holders) {
		if r.outstanding >= maxPendingRecalls || r.outstanding >= minPendingRecalls && sum >= 2*need {
			break
		}
		sum += h.Tokens
		r.askedHolders[h.Instance] = true
		r.outstanding++
		m.out.recalls = append(m.out.recalls, recallCall{round: r, budget: a.id, holder: h.Instance, need: need})
	}
	if r.outstanding > 0 {
		return
	}
	a.recall = nil
	if r.unansweredCount == 0 {
		m.refuseFirstWaiter(a, need, result.Unallocated+r.reserved+a.reserved+a.inTransit)
	}
}

// recallCandidates returns the holders that can be asked, the largest grant first.
func (m *stateMachine) recallCandidates(r *recallRound, holders []budget.HolderGrant) []budget.HolderGrant {
	out := slices.DeleteFunc(slices.Clone(holders), func(h budget.HolderGrant) bool {
		_, asked := r.askedHolders[h.Instance]
		return h.Instance == m.instance || asked
	})
	slices.SortFunc(out, func(a, b budget.HolderGrant) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

// handleRecallAnswer handles the answer of a holder. The next grant operation waits for all outstanding answers, unless
// enough tokens have already been returned.
func (m *stateMachine) handleRecallAnswer(now time.Time, call recallCall, answer RecallAnswer, err error) {
	a, ok := m.accounts[call.budget]
	if !ok || a.recall != call.round || !a.recall.askedHolders[call.holder] || m.closed {
		return
	}
	r := a.recall
	r.askedHolders[call.holder] = false
	r.outstanding--
	if err != nil || answer.NotHolder {
		r.unansweredCount++
	}
	r.returned += answer.Returned
	r.reserved += answer.Reserved
	r.needCovered = r.needCovered || r.returned >= call.need
	if r.outstanding == 0 || r.needCovered {
		a.nextUrgentRefill = now
		m.serveWaiting(now, a)
	}
}

// handleRecall handles a recall from another router: it returns idle tokens to the ledger. Free tokens that are too few
// for the requests waiting here are returned too, because otherwise two routers could block each other.
func (m *stateMachine) handleRecall(now time.Time, call uint64, holder string, id budget.ID, need budget.Tokens) {
	a, ok := m.accounts[id]
	if holder != m.instance || m.closed {
		m.answerRecall(call, RecallAnswer{NotHolder: true})
		return
	}
	if !ok {
		m.answerRecall(call, RecallAnswer{})
		return
	}
	keep := a.demand.expectedTokens(now, m.settings.DemandWindow, time.Second)
	m.markScarce(now, a)
	tokens := min(a.free, max(need, a.spareTokens(keep)))
	if tokens == 0 {
		m.answerRecall(call, RecallAnswer{Reserved: a.reserved + a.inTransit})
		return
	}
	m.returnTokens(now, a, tokens, call)
}

func (m *stateMachine) answerRecall(call uint64, answer RecallAnswer) {
	m.out.completions = append(m.out.completions, completion{call: call, recallAnswer: answer})
}

// unansweredFailure is the failure of a recall or transfer that could not be answered, or not in time.
func unansweredFailure() *outcome.Failure {
	return outcome.NotRunf(outcome.ReasonGrantUnavailable, retryAfter, "the call was not answered in time")
}
