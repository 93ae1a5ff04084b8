package purse

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// account is this router's part of one budget. The grant that the ledger records for this router equals
// free + reserved + billed + away, less transfers from other routers that the ledger does not have yet.
type account struct {
	id budget.ID
	// free tokens can be reserved.
	free budget.Tokens
	// reserved tokens belong to open reservations.
	reserved budget.Tokens
	// billed tokens belong to bills that the ledger does not have yet.
	billed budget.Tokens
	// away tokens are part of returns whose result is not known.
	away budget.Tokens

	preference budget.Preference
	demand     demand
	lastUse    time.Time
	waiting    []*waiter
	// refilling is set while a grant operation is queued or its result is not known.
	refilling bool
	// nextRefill is the earliest time of the next grant operation, after one that brought too little.
	nextRefill time.Time
	// unflushed bills are not part of an operation yet.
	unflushed []*bill
	// firstBill is the time at which the oldest unflushed bill was added.
	firstBill time.Time
}

// waiter is a request that waits for tokens.
type waiter struct {
	call     uint64
	request  budget.Request
	deadline time.Time
}

// reservation is an open reservation.
type reservation struct {
	id      uint64
	account *account
	request budget.Request
	tokens  budget.Tokens
	// call is the caller of Reserve that waits for the reservation to be recorded; 0 if none.
	call uint64
}

// billKey identifies a bill.
type billKey struct {
	organisation, key string
}

// bill is a charge that the ledger does not have yet.
type bill struct {
	key     billKey
	account *account
	tokens  budget.Tokens
	// durable is set once a witness or the ledger has the bill.
	durable bool
	// calls are the callers of Settle that wait for the bill to be durable.
	calls []uint64
}

func (b *bill) record() budget.Bill {
	return budget.Bill{Budget: b.account.id, Key: b.key.key, Tokens: b.tokens}
}
