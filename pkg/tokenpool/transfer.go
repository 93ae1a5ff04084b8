package tokenpool

import (
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// transferFanout is the number of routers that are asked for tokens at the same time.
const transferFanout = 3

// transferCall asks a router for tokens while the platform is not reachable. An answer that is lost is never
// asked for again: what it gave is found when the ledger is reachable, see reconciled.
type transferCall struct {
	budget     budget.ID
	peer       string
	need, want budget.Tokens
}

// TransferAnswer gives tokens to the router that asked.
type TransferAnswer struct {
	ID     string
	From   string
	Tokens budget.Tokens
}

// transferRound is the state of asking other routers for tokens.
type transferRound struct {
	asked       map[string]bool
	outstanding int
	nextAt      time.Time
}

// move is a transfer that the ledger has not confirmed.
type move struct {
	id      string
	seq     uint64
	account *account
	peer    string
	out     bool
	tokens  budget.Tokens
	call    uint64
	span    *span
}

func (m *move) entry() journal.Entry {
	kind := journal.TransferIn
	if m.out {
		kind = journal.TransferOut
	}
	return journal.Entry{
		Seq: m.seq, Kind: kind, Budget: m.account.id, Tokens: m.tokens, Op: m.id, Peer: m.peer,
	}
}

// askPeers asks other routers for tokens if requests wait and the platform is not reachable.
func (c *stateMachine) askPeers(now time.Time, a *account) {
	t := &a.transfers
	if len(a.waiting) == 0 || !c.flushOf(a.id.Organisation).platformUnreachable() || t.outstanding > 0 || now.Before(t.nextAt) {
		return
	}
	need := a.waiting[0].request.UpperBound - a.free
	want := max(need, c.expected(now, a)/2)
	if t.asked == nil {
		t.asked = map[string]bool{}
	}
	for _, peer := range rendezvous.Rank(a.id.Organisation, c.peers) {
		if t.asked[peer] {
			continue
		}
		t.asked[peer] = true
		t.outstanding++
		c.out.transfers = append(c.out.transfers, transferCall{budget: a.id, peer: peer, need: need, want: want})
		if t.outstanding == transferFanout {
			return
		}
	}
	if t.outstanding == 0 {
		t.asked = nil
		t.nextAt = now.Add(c.settings.TransferInterval)
	}
}

// givenBy takes the answer of another router. The tokens can be spent once a witness knows the transfer.
func (c *stateMachine) givenBy(now time.Time, call transferCall, answer TransferAnswer, err error) {
	a, ok := c.accounts[call.budget]
	if !ok || c.closed {
		return
	}
	a.transfers.outstanding--
	if err != nil {
		c.suspectGrant(now, a)
	}
	if err == nil && answer.Tokens > 0 && c.moves[answer.ID] == nil {
		m := &move{id: answer.ID, account: a, peer: answer.From, tokens: answer.Tokens}
		c.journalMove(now, m, func(now time.Time) { c.receive(now, m) })
	}
	c.serve(now, a)
}

// journalMove records a transfer at a witness and then goes on.
func (c *stateMachine) journalMove(now time.Time, m *move, then func(now time.Time)) {
	c.moves[m.id] = m
	m.account.moving++
	m.seq = c.log.Add(now, m.entry(), true).Seq
	if c.log.RequiresWitnessAck() {
		c.awaiting[m.seq] = ack{then: then, plain: true}
		return
	}
	then(now)
}

func (c *stateMachine) receive(now time.Time, m *move) {
	m.account.free += m.tokens
	m.account.inbound += m.tokens
	c.enqueueMove(now, m)
	c.serve(now, m.account)
}

func (c *stateMachine) enqueueMove(now time.Time, m *move) {
	op := budget.Op{ID: m.id, Kind: budget.OpTransfer, Holder: c.instance, To: m.peer, Tokens: m.tokens}
	if !m.out {
		op.Holder, op.To = m.peer, c.instance
	}
	c.enqueue(&pendingOp{op: op, account: m.account, move: m, urgent: true})
	c.flush(now, m.account.id.Organisation)
}

// give answers a router that asks for tokens. Only tokens of a grant that the ledger has confirmed are given, so
// that a chain of transfers can be applied in any order.
func (c *stateMachine) give(now time.Time, call uint64, to string, id budget.ID, need, want budget.Tokens) {
	a, ok := c.accounts[id]
	if !ok || c.closed || c.draining || !c.log.RequiresWitnessAck() || to == c.instance {
		c.answerTransfer(call, TransferAnswer{})
		return
	}
	keep := a.demand.over(now, c.settings.DemandWindow, time.Second)
	tokens := min(want, max(need, a.spare(keep)), a.free-a.inbound)
	if tokens <= 0 || len(a.waiting) > 0 {
		c.answerTransfer(call, TransferAnswer{})
		return
	}
	c.lastMove++
	m := &move{
		// Each transfer has an issuer of its own: it may reach the ledger much later than others.
		id:      fmt.Sprintf("%s/t%d/1", c.instance, c.lastMove),
		account: a, peer: to, out: true, tokens: tokens, call: call,
		span: c.flushOf(id.Organisation).begin(now),
	}
	a.free -= tokens
	a.inTransit += tokens
	c.journalMove(now, m, func(now time.Time) {
		call := m.call
		m.call = 0
		c.answerTransfer(call, TransferAnswer{ID: m.id, From: c.instance, Tokens: m.tokens})
		c.enqueueMove(now, m)
	})
}

func (c *stateMachine) answerTransfer(call uint64, answer TransferAnswer) {
	c.out.completions = append(c.out.completions, completion{call: call, given: answer})
}

// moved takes the ledger's answer to a transfer.
func (c *stateMachine) moved(now time.Time, p *pendingOp, result budget.Result) {
	m, a := p.move, p.account
	switch {
	case result.Code != budget.CodeOK && result.Code != budget.CodeHolderClosed:
		// The transfer was agreed on, so it is tried until it can be applied.
		c.flushOf(a.id.Organisation).retryAt = now.Add(c.settings.RetryInterval)
		c.enqueue(&pendingOp{op: p.op, account: a, move: m})
		return
	case !m.out:
		// A closed giver has completed the transfer when it was closed, because its witnesses knew it.
		a.inbound -= m.tokens
		a.granted += m.tokens
	case result.Code == budget.CodeHolderClosed:
		// A closed receiver that did not bring the transfer when it was closed has not spent it.
		a.inTransit -= m.tokens
		a.free += m.tokens
	default:
		a.inTransit -= m.tokens
		a.granted -= m.tokens
	}
	a.moving--
	if m.span != nil {
		m.span.end(now)
	}
	delete(c.moves, m.id)
	c.log.MarkSettled(now, a.id.Organisation, m.seq)
}

// closeMoves ends the calls that wait for a transfer to be recorded.
func (c *stateMachine) closeMoves() {
	for _, m := range c.moves {
		if m.call != 0 {
			c.out.completions = append(c.out.completions, completion{call: m.call, failure: unanswered()})
			m.call = 0
		}
	}
	for _, f := range c.flushes {
		for _, p := range append(f.queue, f.sent...) {
			for _, call := range p.calls {
				c.out.completions = append(c.out.completions, completion{call: call, failure: unanswered()})
			}
		}
	}
}
