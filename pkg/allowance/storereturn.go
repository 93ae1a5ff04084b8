package allowance

import "time"

// StoreReturned makes the accounts whose calls to the store failed call it again at once, those in progress
// too when they fail, and ends refusals that were for the store's sake. It is called when another call of the router
// shows that the store answers.
func (acc *Accounts) StoreReturned() {
	acc.owner.Post(func(t *accountTable) {
		t.recordStoreAnswer()
		t.returnedAt = time.Now()
		for name, a := range t.accounts {
			if a.refusalVerdict == Unavailable {
				a.refuseUntil, a.refusalDuration = time.Time{}, 0
			}
			acc.advance(t, name, a)
		}
	})
}
