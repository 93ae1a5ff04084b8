package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// account is this router's part of one budget.
type account struct {
	id budget.ID
	// granted is the grant that the ledger records for this instance, as far as results tell. Except while an
	// operation is in progress, granted + inbound = free + reserved + billed + inTransit.
	granted budget.Tokens
	// free tokens can be reserved.
	free budget.Tokens
	// reserved tokens belong to open reservations.
	reserved budget.Tokens
	// billed tokens belong to bills that the ledger does not have yet.
	billed budget.Tokens
	// inTransit tokens are part of returns and transfers to others that the ledger has not confirmed.
	inTransit budget.Tokens
	// inbound tokens came by transfers that the ledger has not confirmed. They may be spent.
	inbound budget.Tokens

	preference budget.Preference
	// unallocated is the rest of the budget that was not granted at the last answer of the ledger.
	unallocated budget.Tokens
	demand      demand
	lastUse     time.Time
	waiting     []*waiter
	// hot is set while the account is in the list of accounts that every tick looks at.
	hot bool
	// refilling is set while a grant operation is queued or its result is not known.
	refilling bool
	// nextRefill is the earliest time of the next grant operation for demand that is only expected, and nextNeed
	// that for a waiting request.
	nextRefill, nextNeed time.Time
	// scarceUntil is the time until which only waiting requests are refilled.
	scarceUntil time.Time
	recall      *recall
	transfers   transferRound
	// moving is the number of transfers that the ledger has not confirmed.
	moving int
	// reconcile is set if a transfer to this instance may have reached the ledger without its knowledge. nextProbe
	// and probes are the time of the next comparison with the ledger and the number of those done.
	reconcile bool
	nextProbe time.Time
	probes    int
	// unflushed bills are not part of an operation yet.
	unflushed []*bill
}

// waiter is a request that waits for tokens.
type waiter struct {
	call     uint64
	request  budget.Request
	account  *account
	began    time.Time
	deadline time.Time
}

// reservation is an open reservation.
type reservation struct {
	id      uint64
	seq     uint64
	account *account
	request budget.Request
	tokens  budget.Tokens
	span    *span
	// call is the caller of Reserve that waits for the reservation to be recorded; 0 if none.
	call     uint64
	deadline time.Time
}

// billKey identifies a bill.
type billKey struct {
	organisation, key string
}

// bill is a charge that the ledger does not have yet.
type bill struct {
	key         billKey
	seq         uint64
	reservation uint64
	account     *account
	tokens      budget.Tokens
	span        *span
	at          time.Time
	// durable is set once a witness or the ledger has the bill.
	durable bool
	// calls are the callers of Settle that wait for the bill to be durable.
	calls []uint64
}

func (b *bill) record() budget.Bill {
	return budget.Bill{Budget: b.account.id, Key: b.key.key, Tokens: b.tokens}
}

// span is the time from the beginning of a request until the ledger has its bill or it is cancelled.
type span struct {
	began time.Time
	// endedAt is zero while the request is open.
	endedAt time.Time
}

func (s *span) end(now time.Time) { s.endedAt = now }

func (s *span) ended() bool { return !s.endedAt.IsZero() }

// held returns the tokens that the account accounts for.
func (a *account) held() budget.Tokens { return a.free + a.reserved + a.billed + a.inTransit }

// spare returns the free tokens that are not expected to be needed soon.
func (a *account) spare(expected budget.Tokens) budget.Tokens { return max(0, a.free-expected) }

// unused reports whether nothing of the account is left to keep.
func (a *account) unused() bool {
	return a.held() == 0 && a.inbound == 0 && len(a.waiting) == 0 && !a.refilling && a.recall == nil &&
		!a.reconcile && a.moving == 0 && a.transfers.outstanding == 0
}
