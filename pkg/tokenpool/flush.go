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
	// maxOpsPerCall bounds the operations of one call to the ledger. It is much smaller than the number of operations
	// per instance that the ledger keeps, so that the ledger recognises a repeated call.
	maxOpsPerCall = 32
	// maxBillsPerOp bounds the bills of one settle operation.
	maxBillsPerOp = 256
	// clockMargin is subtracted from the flush time sent to the ledger, to allow for clock differences.
	clockMargin = 30 * time.Second
)

// pendingOp is an operation that the ledger has not confirmed.
type pendingOp struct {
	op      budget.Op
	account *account
	bills   []*bill
	// flushEntry is the journal entry of a settle operation.
	flushEntry journal.Entry
	transfer   *transfer
	// urgent is set if a caller or another router waits for the result.
	urgent bool
	// probe marks a grant operation that only reads the holders and their grants.
	probe bool
	// calls lists the recall calls that wait for a return operation.
	calls []uint64
}

// ledgerQueue holds the operations for the ledger of one organisation. The operations of a call stay the same until its
// result arrives, because a call that failed may have taken effect.
type ledgerQueue struct {
	organisation string
	// unflushedAccounts lists the accounts with unflushed bills, unflushedBills is the number of these bills, and
	// oldestBillAt is the time of the oldest.
	unflushedAccounts []*account
	unflushedBills    int
	oldestBillAt      time.Time

	// unconfirmedSettles is the number of settle operations that the ledger has not confirmed. Further bills wait, so
	// that settle operations reach the ledger in order.
	unconfirmedSettles int
	// unrecordedSettles is the number of settle operations that no witness has recorded yet.
	unrecordedSettles int

	queue      []*pendingOp
	sentOps    []*pendingOp
	inProgress bool
	retryAt    time.Time
	lastError  error
	// spans lists the requests and transfers that are not settled or cancelled, oldest first. Ended spans are removed
	// by flushedUntil.
	spans         []*span
	inPendingList bool
}

func (m *stateMachine) ledgerQueueFor(organisation string) *ledgerQueue {
	q, ok := m.ledgerQueues[organisation]
	if !ok {
		q = &ledgerQueue{organisation: organisation}
		m.ledgerQueues[organisation] = q
	}
	return q
}

func (q *ledgerQueue) openSpan(at time.Time) *span {
	s := &span{startedAt: at}
	q.spans = append(q.spans, s)
	return s
}

// flushedUntil returns the time, less clockMargin, before which every request is settled or cancelled once the given
// bills are settled. The ledger keeps its records of bills until their holder reports a later flush time.
//
// laggingSince is the time since which a witness has been missing entries, or zero. Requests that ended after it, or
// end with the given bills, then still count as open: the copy of that witness may list their bills as open, and it may
// be the only copy left when this instance is closed.
func (q *ledgerQueue) flushedUntil(now time.Time, bills []*bill, laggingSince time.Time) time.Time {
	lagging := !laggingSince.IsZero()
	q.spans = slices.DeleteFunc(q.spans, func(s *span) bool { return s.hasEnded() && (!lagging || s.endedAt.Before(laggingSince)) })
	inOp := make(map[*span]bool, len(bills))
	if !lagging {
		for _, b := range bills {
			inOp[b.span] = true
		}
	}
	until := now
	for _, s := range q.spans {
		if !inOp[s] && s.startedAt.Before(until) {
			until = s.startedAt
		}
	}
	return until.Add(-clockMargin)
}

// laggingSince returns the time before which every witness has stored every entry, or zero if no entry is missing.
func (m *stateMachine) laggingSince() time.Time {
	since, ok := m.log.LaggingSince()
	if !ok {
		return time.Time{}
	}
	return since
}

func (q *ledgerQueue) hasPending() bool {
	return q.inProgress || q.unconfirmedSettles > 0 || len(q.queue) > 0 || len(q.sentOps) > 0 || len(q.unflushedAccounts) > 0
}

func (q *ledgerQueue) hasUrgent() bool {
	return slices.ContainsFunc(q.queue, func(p *pendingOp) bool { return p.urgent })
}

// platformUnreachable reports whether the platform can't be reached now.
func (q *ledgerQueue) platformUnreachable() bool { return q.lastError != nil }

func (m *stateMachine) enqueue(p *pendingOp) {
	if p.op.ID == "" {
		p.op.ID = m.nextOpID(p.account.id.Organisation, string(p.op.Kind))
	}
	if p.op.Holder == "" {
		p.op.Holder = m.instance
	}
	p.op.Budget = p.account.id
	q := m.ledgerQueueFor(p.account.id.Organisation)
	q.queue = append(q.queue, p)
}

// flush starts the next call to the ledger for the organisation if operations are due and no call is in progress.
func (m *stateMachine) flush(now time.Time, organisation string) {
	q := m.ledgerQueueFor(organisation)
	if q.hasPending() && !q.inPendingList {
		q.inPendingList = true
		m.pendingQueues = append(m.pendingQueues, q)
	}
	if m.closed || q.inProgress || now.Before(q.retryAt) {
		return
	}
	if len(q.sentOps) == 0 {
		q.sentOps = m.nextOps(now, q)
	}
	if len(q.sentOps) == 0 {
		return
	}
	q.inProgress = true
	ops := make([]budget.Op, len(q.sentOps))
	for i, p := range q.sentOps {
		ops[i] = p.op
	}
	m.out.applies = append(m.out.applies, applyCall{organisation: organisation, ops: ops})
}

// nextOps removes the operations of the next call from the queue: transfers before the bills that they may pay for, and
// bills and returns before grants.
func (m *stateMachine) nextOps(now time.Time, q *ledgerQueue) []*pendingOp {
	if q.unflushedBills > 0 && m.isSettleDue(now, q) {
		m.enqueueBills(now, q)
	}
	if len(q.queue) == 0 || q.unrecordedSettles > 0 && !q.hasUrgent() {
		// Operations that are not urgent are sent together with the bills that are being recorded.
		return nil
	}
	slices.SortStableFunc(q.queue, func(a, b *pendingOp) int { return cmp.Compare(opOrder(a.op.Kind), opOrder(b.op.Kind)) })
	n := min(len(q.queue), maxOpsPerCall)
	sent := slices.Clone(q.queue[:n])
	q.queue = slices.Clone(q.queue[n:])
	return sent
}

// isSettleDue reports whether bills are sent now: at once without witnesses or while draining, otherwise after
// FlushInterval, at FlushBills, or together with other operations. Earlier settle operations must be confirmed first.
func (m *stateMachine) isSettleDue(now time.Time, q *ledgerQueue) bool {
	due := !m.log.RequiresWitnessAck() || m.draining || len(q.queue) > 0 || q.unflushedBills >= m.settings.FlushBills ||
		now.Sub(q.oldestBillAt) >= m.settings.FlushInterval
	return due && q.unconfirmedSettles == 0
}

// enqueueBills creates settle operations for the unflushed bills, at most one per account.
func (m *stateMachine) enqueueBills(now time.Time, q *ledgerQueue) {
	for _, a := range q.unflushedAccounts {
		n := min(len(a.unflushed), maxBillsPerOp)
		bills := a.unflushed[:n:n]
		op := budget.Op{Kind: budget.OpSettle, Bills: make([]budget.Bill, n)}
		for i, b := range bills {
			op.Bills[i] = b.ledgerBill()
		}
		op.FlushedMS = q.flushedUntil(now, bills, m.laggingSince()).UnixMilli()
		m.journalSettleOp(now, q, &pendingOp{op: op, account: a, bills: bills})
		a.unflushed = a.unflushed[n:]
		q.unflushedBills -= n
	}
	q.unflushedAccounts = slices.DeleteFunc(q.unflushedAccounts, func(a *account) bool { return len(a.unflushed) == 0 })
	q.oldestBillAt = now
}

// journalSettleOp records in the journal which operation settles the bills, and queues the operation once a witness has
// recorded that entry.
func (m *stateMachine) journalSettleOp(now time.Time, q *ledgerQueue, p *pendingOp) {
	q.unconfirmedSettles++
	p.op.ID = m.nextOpID(q.organisation, string(p.op.Kind))
	p.flushEntry = m.log.Add(now, journal.Entry{
		Kind: journal.Flush, Budget: p.account.id, Op: p.op.ID, First: p.bills[0].seq, Last: p.bills[len(p.bills)-1].seq,
	}, true)
	m.settleEntries[p.op.ID] = p.flushEntry
	if !m.log.RequiresWitnessAck() {
		m.enqueue(p)
		return
	}
	q.unrecordedSettles++
	m.awaitingAck[p.flushEntry.Seq] = ackHandler{runWithoutWitnesses: true, run: func(now time.Time) {
		q.unrecordedSettles--
		m.enqueue(p)
		m.flush(now, q.organisation)
	}}
}

// opOrder returns the position of operations of a kind within a call.
func opOrder(k budget.OpKind) int {
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

// handleLedgerResults handles the outcome of a call to the ledger. A failed call is repeated after RetryInterval.
func (m *stateMachine) handleLedgerResults(now time.Time, organisation string, results []budget.Result, err error) {
	q := m.ledgerQueueFor(organisation)
	q.inProgress = false
	if m.closed {
		return
	}
	if err == nil && len(results) != len(q.sentOps) {
		err = errResultCount
	}
	q.lastError = err
	if err != nil {
		q.retryAt = now.Add(m.settings.RetryInterval)
		return
	}
	sent := q.sentOps
	q.sentOps = nil
	for i, p := range sent {
		if results[i].Code == budget.CodeHolderClosed && p.op.Kind != budget.OpTransfer {
			m.close()
		}
		if m.closed {
			return
		}
		m.handleResult(now, p, results[i])
	}
	m.flush(now, organisation)
}

// errResultCount means that a call did not return one result per operation.
var errResultCount = errors.New("tokenpool: number of results differs from number of operations")

func (m *stateMachine) handleResult(now time.Time, p *pendingOp, result budget.Result) {
	if result.Preference != "" {
		p.account.preference, p.account.unallocated = result.Preference, result.Unallocated
	}
	switch p.op.Kind {
	case budget.OpSettle:
		m.handleSettleResult(now, p, result)
	case budget.OpGrant:
		m.handleGrantResult(now, p, result)
	case budget.OpReturn:
		m.handleReturnResult(p, result)
	case budget.OpTransfer:
		m.handleTransferResult(now, p, result)
	}
	if !m.closed {
		m.serveWaiting(now, p.account)
	}
}

// isPlatformUnavailable reports whether the error means that the platform can't be reached by any path.
func isPlatformUnavailable(err error) bool { return errors.Is(err, platform.ErrUnavailable) }
