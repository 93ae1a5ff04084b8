package tokenpool

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// maxOps bounds the operations of one call to the ledger. It is small against the number of operations per
	// instance that the ledger remembers, so that a repeated call is recognised.
	maxOps = 32
	// maxBills bounds the bills of one operation.
	maxBills = 256
	// clockMargin is subtracted from the flush time that the ledger is told, for differences between clocks.
	clockMargin = 30 * time.Second
)

// pendingOp is an operation that the ledger has not confirmed.
type pendingOp struct {
	op      budget.Op
	account *account
	bills   []*bill
	// flush is the journal entry of a settle operation.
	flush journal.Entry
	move  *move
	// urgent is set if somebody waits for the result.
	urgent bool
	// probe marks a grant operation that only asks for the holders.
	probe bool
	// calls are recalls that wait for a return.
	calls []uint64
}

// flush is the exchange with the ledger for one organisation. The operations of a call stay the same until its
// result is known, because a call that failed may have taken effect.
type flush struct {
	organisation string
	// billed lists the accounts with unflushed bills; bills is the number of bills and firstBill the time of the
	// oldest.
	billed    []*account
	bills     int
	firstBill time.Time

	// settling is the number of settle operations that the ledger has not confirmed. Further ones wait, so that
	// they reach the ledger in order.
	settling int
	// recording is the number of settle operations that a witness has not recorded yet.
	recording int

	queue      []*pendingOp
	sent       []*pendingOp
	inProgress bool
	retryAt    time.Time
	lastError  error
	// spans are the requests that may still be billed, the oldest first.
	spans []*span
	busy  bool
}

func (c *stateMachine) flushOf(organisation string) *flush {
	f, ok := c.flushes[organisation]
	if !ok {
		f = &flush{organisation: organisation}
		c.flushes[organisation] = f
	}
	return f
}

func (f *flush) begin(at time.Time) *span {
	s := &span{began: at}
	f.spans = append(f.spans, s)
	return s
}

// flushedUntil returns the time before which every request is billed or cancelled, once the given bills are. If a
// witness lacks entries since behind, requests that ended later, or end with these bills, still count as open: its copy
// may have their bills as open, and the closing of this instance may know them only from there. The ledger keeps the
// records of bills until their holder has flushed later.
func (f *flush) flushedUntil(now time.Time, bills []*bill, behind time.Time) time.Time {
	lagging := !behind.IsZero()
	f.spans = slices.DeleteFunc(f.spans, func(s *span) bool { return s.ended() && (!lagging || s.endedAt.Before(behind)) })
	inOp := make(map[*span]bool, len(bills))
	if !lagging {
		for _, b := range bills {
			inOp[b.span] = true
		}
	}
	until := now
	for _, s := range f.spans {
		if !inOp[s] && s.began.Before(until) {
			until = s.began
		}
	}
	return until.Add(-clockMargin)
}

// behind returns the time before which every witness has stored every entry, and zero if all have all.
func (c *stateMachine) behind() time.Time {
	since, ok := c.log.LaggingSince()
	if !ok {
		return time.Time{}
	}
	return since
}

func (f *flush) pending() bool {
	return f.inProgress || f.settling > 0 || len(f.queue) > 0 || len(f.sent) > 0 || len(f.billed) > 0
}

func (f *flush) urgent() bool {
	return slices.ContainsFunc(f.queue, func(p *pendingOp) bool { return p.urgent })
}

// platformUnreachable reports whether the platform can't be reached at present.
func (f *flush) platformUnreachable() bool { return f.lastError != nil }

func (c *stateMachine) enqueue(p *pendingOp) {
	if p.op.ID == "" {
		p.op.ID = c.opID(p.account.id.Organisation, string(p.op.Kind))
	}
	if p.op.Holder == "" {
		p.op.Holder = c.instance
	}
	p.op.Budget = p.account.id
	f := c.flushOf(p.account.id.Organisation)
	f.queue = append(f.queue, p)
}

// flush sends what is due for the organisation if no call is in progress.
func (c *stateMachine) flush(now time.Time, organisation string) {
	f := c.flushOf(organisation)
	if f.pending() && !f.busy {
		f.busy = true
		c.busy = append(c.busy, f)
	}
	if c.closed || f.inProgress || now.Before(f.retryAt) {
		return
	}
	if len(f.sent) == 0 {
		f.sent = c.collect(now, f)
	}
	if len(f.sent) == 0 {
		return
	}
	f.inProgress = true
	ops := make([]budget.Op, len(f.sent))
	for i, p := range f.sent {
		ops[i] = p.op
	}
	c.out.applies = append(c.out.applies, applyCall{organisation: organisation, ops: ops})
}

// collect returns the operations of the next call: transfers before the bills that they may pay for, and bills
// and returns before grants.
func (c *stateMachine) collect(now time.Time, f *flush) []*pendingOp {
	if f.bills > 0 && c.settleDue(now, f) {
		c.enqueueBills(now, f)
	}
	if len(f.queue) == 0 || f.recording > 0 && !f.urgent() {
		// What nobody waits for is sent together with the bills that are being recorded.
		return nil
	}
	slices.SortStableFunc(f.queue, func(a, b *pendingOp) int { return cmp.Compare(order(a.op.Kind), order(b.op.Kind)) })
	n := min(len(f.queue), maxOps)
	sent := slices.Clone(f.queue[:n])
	f.queue = slices.Clone(f.queue[n:])
	return sent
}

// settleDue reports whether bills are to be sent now: at once without witnesses, else after an interval or together
// with other operations.
func (c *stateMachine) settleDue(now time.Time, f *flush) bool {
	due := !c.log.RequiresWitnessAck() || c.draining || len(f.queue) > 0 || f.bills >= c.settings.FlushBills ||
		now.Sub(f.firstBill) >= c.settings.FlushInterval
	return due && f.settling == 0
}

func (c *stateMachine) enqueueBills(now time.Time, f *flush) {
	for _, a := range f.billed {
		n := min(len(a.unflushed), maxBills)
		bills := a.unflushed[:n:n]
		op := budget.Op{Kind: budget.OpSettle, Bills: make([]budget.Bill, n)}
		for i, b := range bills {
			op.Bills[i] = b.record()
		}
		op.FlushedMS = f.flushedUntil(now, bills, c.behind()).UnixMilli()
		c.journalFlush(now, f, &pendingOp{op: op, account: a, bills: bills})
		a.unflushed = a.unflushed[n:]
		f.bills -= n
	}
	f.billed = slices.DeleteFunc(f.billed, func(a *account) bool { return len(a.unflushed) == 0 })
	f.firstBill = now
}

// journalFlush records which operation settles the bills, and then queues the operation.
func (c *stateMachine) journalFlush(now time.Time, f *flush, p *pendingOp) {
	f.settling++
	p.op.ID = c.opID(f.organisation, string(p.op.Kind))
	p.flush = c.log.Add(now, journal.Entry{
		Kind: journal.Flush, Budget: p.account.id, Op: p.op.ID, First: p.bills[0].seq, Last: p.bills[len(p.bills)-1].seq,
	}, true)
	c.flushing[p.op.ID] = p.flush
	if !c.log.RequiresWitnessAck() {
		c.enqueue(p)
		return
	}
	f.recording++
	c.awaiting[p.flush.Seq] = ack{plain: true, then: func(now time.Time) {
		f.recording--
		c.enqueue(p)
		c.flush(now, f.organisation)
	}}
}

func order(k budget.OpKind) int {
	switch k {
	case budget.OpTransfer:
		return 0
	case budget.OpSettle:
		return 1
	case budget.OpReturn:
		return 2
	default:
		return 3
	}
}

// applied takes the result of a call to the ledger.
func (c *stateMachine) applied(now time.Time, organisation string, results []budget.Result, err error) {
	f := c.flushOf(organisation)
	f.inProgress = false
	if c.closed {
		return
	}
	if err == nil && len(results) != len(f.sent) {
		err = errResults
	}
	f.lastError = err
	if err != nil {
		f.retryAt = now.Add(c.settings.RetryInterval)
		return
	}
	sent := f.sent
	f.sent = nil
	for i, p := range sent {
		if results[i].Code == budget.CodeHolderClosed && p.op.Kind != budget.OpTransfer {
			c.close()
		}
		if c.closed {
			return
		}
		c.confirm(now, p, results[i])
	}
	c.flush(now, organisation)
}

// errResults means that a call did not return one result per operation.
var errResults = errors.New("purse: the ledger returned another number of results than operations")

func (c *stateMachine) confirm(now time.Time, p *pendingOp, result budget.Result) {
	if result.Preference != "" {
		p.account.preference, p.account.unallocated = result.Preference, result.Unallocated
	}
	switch p.op.Kind {
	case budget.OpSettle:
		c.settled(now, p, result)
	case budget.OpGrant:
		c.granted(now, p, result)
	case budget.OpReturn:
		c.returned(p, result)
	case budget.OpTransfer:
		c.moved(now, p, result)
	}
	if !c.closed {
		c.serve(now, p.account)
	}
}

// isAway reports whether the error tells that the platform is not reachable by any path.
func isAway(err error) bool { return errors.Is(err, platform.ErrUnavailable) }
