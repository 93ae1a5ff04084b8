package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// account is this instance's part of one budget.
type account struct {
	id budget.ID
	// granted is the grant that the ledger records for this instance, according to the results received so far.
	// Except while an operation is in progress, granted + inbound = free + reserved + billed + inTransit.
	granted budget.Tokens
	// free tokens can be reserved.
	free budget.Tokens
	// reserved tokens belong to open reservations.
	reserved budget.Tokens
	// billed tokens belong to bills that the ledger has not settled yet.
	billed budget.Tokens
	// inTransit tokens belong to returns, and to transfers to other routers, that the ledger has not confirmed.
	inTransit budget.Tokens
	// inbound tokens were received by transfers that the ledger has not confirmed. They may be spent.
	inbound budget.Tokens

	preference budget.Preference
	// unallocated is the part of the budget that was not granted to any router, according to the last result.
	unallocated budget.Tokens
	demand      demand
	lastUse     time.Time
	waiting     []*waiter
	// inTickList is set while the account is in stateMachine.tickList.
	inTickList bool
	// grantPending is set while a grant operation is queued or its result is outstanding.
	grantPending bool
	// nextRefill is the earliest time of the next grant operation for expected demand. nextUrgentRefill is the one
	// for waiting requests.
	nextRefill, nextUrgentRefill time.Time
	// scarceUntil is the time until which tokens are requested only for waiting requests.
	scarceUntil   time.Time
	recall        *recallRound
	transferRound transferRound
	// unconfirmedTransfers is the number of transfers that the ledger has not confirmed.
	unconfirmedTransfers int
	// needsReconcile is set if the ledger may have applied a transfer or grant whose answer was lost. nextProbe is the
	// time of the next comparison with the ledger, and probeCount the number of comparisons made.
	needsReconcile bool
	nextProbe      time.Time
	probeCount     int
	// unflushed lists the bills that are not part of an operation yet.
	unflushed []*bill
}

// waiter is a request that waits for tokens.
type waiter struct {
	call      uint64
	request   budget.Request
	account   *account
	startedAt time.Time
	deadline  time.Time
}

// reservation is an open reservation.
type reservation struct {
	id      uint64
	seq     uint64
	account *account
	request budget.Request
	tokens  budget.Tokens
	span    *span
	// call is the Reserve call that waits for the reservation to be recorded; 0 if none.
	call     uint64
	deadline time.Time
}

// billKey identifies a bill by organisation and idempotency key.
type billKey struct {
	organisation, key string
}

// bill is a charge that the ledger has not settled yet.
type bill struct {
	key         billKey
	seq         uint64
	reservation uint64
	account     *account
	tokens      budget.Tokens
	span        *span
	createdAt   time.Time
	// durable is set once a witness or the ledger has recorded the bill.
	durable bool
	// calls lists the Settle calls that wait for the bill to become durable.
	calls []uint64
}

func (b *bill) ledgerBill() budget.Bill {
	return budget.Bill{Budget: b.account.id, Key: b.key.key, Tokens: b.tokens}
}

// span is the time from the start of a request or transfer until the ledger has settled it or it is cancelled.
type span struct {
	startedAt time.Time
	// endedAt is zero while the span is open.
	endedAt time.Time
}

func (s *span) end(now time.Time) { s.endedAt = now }

func (s *span) hasEnded() bool { return !s.endedAt.IsZero() }

// heldTokens returns the number of tokens in the account.
func (a *account) heldTokens() budget.Tokens { return a.free + a.reserved + a.billed + a.inTransit }

// spareTokens returns the free tokens beyond those that are expected to be needed soon.
func (a *account) spareTokens(expected budget.Tokens) budget.Tokens { return max(0, a.free-expected) }

// isUnused reports whether the account can be deleted: it has no tokens, waiting requests or unconfirmed operations.
func (a *account) isUnused() bool {
	return a.heldTokens() == 0 && a.inbound == 0 && len(a.waiting) == 0 && !a.grantPending && a.recall == nil &&
		!a.needsReconcile && a.unconfirmedTransfers == 0 && a.transferRound.outstanding == 0
}
