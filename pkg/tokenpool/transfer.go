package tokenpool

import (
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// transferFanout is the maximum number of routers that are asked for tokens at the same time.
const transferFanout = 3

// transferCall is a request to a router for tokens while the platform can't be reached. It is not repeated if the
// answer is lost: the transferred tokens are found by reconcile once the ledger can be reached.
type transferCall struct {
	budget     budget.ID
	peer       string
	need, want budget.Tokens
}

// TransferAnswer is the answer of the router From to a request for tokens. ID identifies the transfer; no tokens were
// transferred if Tokens is 0.
type TransferAnswer struct {
	ID     string
	From   string
	Tokens budget.Tokens
}

// transferRound is a round of requests for tokens to other routers.
type transferRound struct {
	askedPeers  map[string]bool
	outstanding int
	nextAt      time.Time
}

// transfer is a transfer of tokens that the ledger has not confirmed. outgoing is set at the sending router, where call
// is the TransferOut call until it is answered.
type transfer struct {
	id       string
	seq      uint64
	account  *account
	peer     string
	outgoing bool
	tokens   budget.Tokens
	call     uint64
	span     *span
}

func (t *transfer) journalEntry() journal.Entry {
	kind := journal.TransferIn
	if t.outgoing {
		kind = journal.TransferOut
	}
	return journal.Entry{
		Seq: t.seq, Kind: kind, Budget: t.account.id, Tokens: t.tokens, Op: t.id, Peer: t.peer,
	}
}

// askPeers asks other routers for tokens if requests wait and the platform can't be reached.
func (m *stateMachine) askPeers(now time.Time, a *account) {
	t := &a.transferRound
	if len(a.waiting) == 0 || !m.ledgerQueueFor(a.id.Organisation).platformUnreachable() || t.outstanding > 0 || now.Before(t.nextAt) {
		return
	}
	need := a.waiting[0].request.UpperBound - a.free
	want := max(need, m.expectedNeed(now, a)/2)
	if t.askedPeers == nil {
		t.askedPeers = map[string]bool{}
	}
	for _, peer := range rendezvous.Rank(a.id.Organisation, m.peers) {
		if t.askedPeers[peer] {
			continue
		}
		t.askedPeers[peer] = true
		t.outstanding++
		m.out.transfers = append(m.out.transfers, transferCall{budget: a.id, peer: peer, need: need, want: want})
		if t.outstanding == transferFanout {
			return
		}
	}
	if t.outstanding == 0 {
		t.askedPeers = nil
		t.nextAt = now.Add(m.settings.TransferInterval)
	}
}

// handleTransferAnswer handles the answer of another router. The tokens can be spent once a witness has recorded the
// transfer.
func (m *stateMachine) handleTransferAnswer(now time.Time, call transferCall, answer TransferAnswer, err error) {
	a, ok := m.accounts[call.budget]
	if !ok || m.closed {
		return
	}
	a.transferRound.outstanding--
	if err != nil {
		m.scheduleReconcile(now, a)
	}
	if err == nil && answer.Tokens > 0 && m.transfers[answer.ID] == nil {
		t := &transfer{id: answer.ID, account: a, peer: answer.From, tokens: answer.Tokens}
		m.journalTransfer(now, t, func(now time.Time) { m.receiveTransfer(now, t) })
	}
	m.serveWaiting(now, a)
}

// journalTransfer records a transfer in the journal and calls onRecorded once a witness has recorded it, or at once
// without witnesses.
func (m *stateMachine) journalTransfer(now time.Time, t *transfer, onRecorded func(now time.Time)) {
	m.transfers[t.id] = t
	t.account.unconfirmedTransfers++
	t.seq = m.log.Add(now, t.journalEntry(), true).Seq
	if m.log.RequiresWitnessAck() {
		m.awaitingAck[t.seq] = ackHandler{run: onRecorded, runWithoutWitnesses: true}
		return
	}
	onRecorded(now)
}

func (m *stateMachine) receiveTransfer(now time.Time, t *transfer) {
	t.account.free += t.tokens
	t.account.inbound += t.tokens
	m.enqueueTransfer(now, t)
	m.serveWaiting(now, t.account)
}

func (m *stateMachine) enqueueTransfer(now time.Time, t *transfer) {
	op := budget.Op{ID: t.id, Kind: budget.OpTransfer, Holder: m.instance, To: t.peer, Tokens: t.tokens}
	if !t.outgoing {
		op.Holder, op.To = t.peer, m.instance
	}
	m.enqueue(&pendingOp{op: op, account: t.account, transfer: t, urgent: true})
	m.flush(now, t.account.id.Organisation)
}

// transferOut handles a request for tokens from another router. Only tokens of a grant that the ledger has confirmed
// are transferred, so that the ledger can apply a chain of transfers in any order.
func (m *stateMachine) transferOut(now time.Time, call uint64, to string, id budget.ID, need, want budget.Tokens) {
	a, ok := m.accounts[id]
	if !ok || m.closed || m.draining || !m.log.RequiresWitnessAck() || to == m.instance {
		m.answerTransfer(call, TransferAnswer{})
		return
	}
	keep := a.demand.expectedTokens(now, m.settings.DemandWindow, time.Second)
	tokens := min(want, max(need, a.spareTokens(keep)), a.free-a.inbound)
	if tokens <= 0 || len(a.waiting) > 0 {
		m.answerTransfer(call, TransferAnswer{})
		return
	}
	m.lastTransferNumber++
	t := &transfer{
		// Each transfer has its own issuer, because it may reach the ledger much later than others.
		id:      fmt.Sprintf("%s/t%d/1", m.instance, m.lastTransferNumber),
		account: a, peer: to, outgoing: true, tokens: tokens, call: call,
		span: m.ledgerQueueFor(id.Organisation).openSpan(now),
	}
	a.free -= tokens
	a.inTransit += tokens
	m.journalTransfer(now, t, func(now time.Time) {
		call := t.call
		t.call = 0
		m.answerTransfer(call, TransferAnswer{ID: t.id, From: m.instance, Tokens: t.tokens})
		m.enqueueTransfer(now, t)
	})
}

func (m *stateMachine) answerTransfer(call uint64, answer TransferAnswer) {
	m.out.completions = append(m.out.completions, completion{call: call, transferAnswer: answer})
}

// handleTransferResult handles the result of a transfer operation.
func (m *stateMachine) handleTransferResult(now time.Time, p *pendingOp, result budget.Result) {
	t, a := p.transfer, p.account
	switch {
	case result.Code != budget.CodeOK && result.Code != budget.CodeHolderClosed:
		// Both routers have agreed on the transfer, so it is retried until the ledger applies it.
		m.ledgerQueueFor(a.id.Organisation).retryAt = now.Add(m.settings.RetryInterval)
		m.enqueue(&pendingOp{op: p.op, account: a, transfer: t})
		return
	case !t.outgoing:
		// If the sender was closed, its closing has applied the transfer, because its witnesses had recorded it.
		a.inbound -= t.tokens
		a.granted += t.tokens
	case result.Code == budget.CodeHolderClosed:
		// The receiver was closed and its closing did not include the transfer, so it has not spent the tokens.
		a.inTransit -= t.tokens
		a.free += t.tokens
	default:
		a.inTransit -= t.tokens
		a.granted -= t.tokens
	}
	a.unconfirmedTransfers--
	if t.span != nil {
		t.span.end(now)
	}
	delete(m.transfers, t.id)
	m.log.MarkSettled(now, a.id.Organisation, t.seq)
}

// endPeerCalls fails the calls of other routers that wait for a transfer to be recorded or for a return.
func (m *stateMachine) endPeerCalls() {
	for _, t := range m.transfers {
		if t.call != 0 {
			m.out.completions = append(m.out.completions, completion{call: t.call, failure: unansweredFailure()})
			t.call = 0
		}
	}
	for _, q := range m.ledgerQueues {
		for _, p := range append(q.queue, q.sentOps...) {
			for _, call := range p.calls {
				m.out.completions = append(m.out.completions, completion{call: call, failure: unansweredFailure()})
			}
		}
	}
}
