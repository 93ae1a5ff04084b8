package allowance

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/task"
)

const (
	// tickInterval is the period of draws ahead of need and of returns.
	tickInterval = 500 * time.Millisecond
	// pollInterval is the period at which ReturnAll checks whether the returns have finished.
	pollInterval = 20 * time.Millisecond
)

// Store is the part of the platform's store that Accounts uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error)
}

// Peers asks other routers for tokens.
type Peers interface {
	// RequestTokens asks the other allocators for tokens. It calls late with tokens that arrive after it has returned.
	RequestTokens(ctx context.Context, allocators []string, organisation string, shortage Shortage, late func(tokens int64)) RequestResult
	// Inform tells the other allocators what routers have drawn. It doesn't wait for them.
	Inform(allocators []string, organisation string, draws Draws)
	// Routers returns the names of the other routers.
	Routers() []string
	// Helper returns a router that reaches the store, or an empty string and looks for one.
	Helper(organisation string) string
	// Recall asks another router for the recent draws that it knows, by organisation.
	Recall(ctx context.Context, router string) (map[string]Draws, error)
}

// RequestResult is the sum of the answers of other routers to a request for tokens.
type RequestResult struct {
	Tokens int64
	// Complete reports whether all allocators that were asked have answered.
	Complete bool
	// Exhausted reports whether an allocator found too little of the budget left in the store.
	Exhausted bool
}

// Shortage is the number of an organisation's tokens that a router is short of.
type Shortage struct {
	// Next is the shortage of the next request, and Total that of all waiting ones.
	Next, Total int64
	// Ahead is the number of tokens asked for beyond Total, which are welcome but not needed.
	Ahead int64
	// NoDraw means that too little is left in the store, so that the allocators can only transfer tokens that they hold.
	NoDraw bool
}

// reducedBy returns the shortage that remains after tokens were received.
func (s Shortage) reducedBy(tokens int64) Shortage {
	s.Total -= tokens
	s.Next = min(s.Next, s.Total)
	return s
}

// Accounts holds the budgets of all organisations at this router. It is safe for concurrent use.
type Accounts struct {
	Options
	owner     *task.Owner[accountTable]
	startedAt time.Time
}

type accountTable struct {
	accounts map[string]*account
	// records holds the last known stored record of each organisation.
	records    map[string]storedRecord
	writeCount int
	// retryDelay is the time between calls while the store does not answer, 0 while it does. probeInProgress reports
	// whether one account's draw is testing the store meanwhile.
	retryDelay      time.Duration
	probeInProgress bool
	// returnedAt is the time at which another call of the router showed that the store answers again.
	returnedAt time.Time
	// era is the store's newest known era, and eraKnown is set once the store has answered.
	era      uint64
	eraKnown bool
	// recall is what this router has asked others after its start.
	recall *recall
	// closing is set when the router stops: free tokens are returned and none are drawn.
	closing bool
}

func (t *accountTable) account(name string) *account {
	a := t.accounts[name]
	if a == nil {
		a = &account{pendingDraws: map[string]pendingDraw{}}
		t.accounts[name] = a
	}
	return a
}

// Options configures Accounts.
type Options struct {
	Store Store
	Peers Peers
	// VM is the router's name; Instance is unique for each start of it.
	VM, Instance string
	Log          log.Interface
	// Allocators returns the names of the routers from which the others get an organisation's tokens; this router may be
	// one of them. The first one, the primary allocator, draws ahead of need; the next ones replace it if it fails.
	Allocators func(organisation string) []string
	// Prepaid returns an organisation's budget, 0 if it is not known.
	Prepaid func(organisation string) int64
}

// NewAccounts returns Accounts whose methods block until Run is called.
func NewAccounts(o Options) *Accounts {
	now := time.Now()
	table := &accountTable{accounts: map[string]*account{}, records: map[string]storedRecord{}, recall: newRecall(now)}
	return &Accounts{Options: o, startedAt: now, owner: task.New(table)}
}

// Run serves the accounts until ctx ends.
func (acc *Accounts) Run(ctx context.Context) {
	go acc.tick(ctx)
	go acc.recallDraws(ctx)
	acc.owner.Run(ctx)
}

func (acc *Accounts) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			acc.owner.Post(func(t *accountTable) {
				for name, a := range t.accounts {
					acc.startReturn(t, name, a)
					acc.advance(t, name, a)
				}
			})
		}
	}
}

// isPrimary reports whether this router is the organisation's primary allocator.
func (acc *Accounts) isPrimary(organisation string) bool {
	allocators := acc.Allocators(organisation)
	return len(allocators) > 0 && allocators[0] == acc.VM
}

// advance starts the next call for the account, if it needs one.
func (acc *Accounts) advance(t *accountTable, name string, a *account) {
	now, primary := time.Now(), acc.isPrimary(name)
	switch {
	case t.closing:
		acc.startReturn(t, name, a)
	case a.shouldDraw(now, primary):
		if t.retryDelay > 0 && t.probeInProgress {
			// Only one draw at a time tests whether the store answers again.
			a.retryAt = now.Add(t.retryDelay)
			acc.advance(t, name, a)
			return
		}
		t.probeInProgress = t.retryDelay > 0
		a.storeCallInProgress, a.storeCallAt = true, now
		go acc.draw(name, t.records[name])
		if len(a.waiters) > 0 {
			acc.requestLater(name, a)
		}
	case a.shouldRequestFromPeers(now, primary):
		acc.requestFromPeers(name, a, Unavailable)
	case a.storeCallInProgress && len(a.waiters) > 0:
		// Many routers may draw at the same time, so that the draw takes long while others already have tokens.
		acc.requestLater(name, a)
	}
}

// Reserve reserves tokens of the organisation's budget, of which prepaid is the total. It waits for the store or other
// routers if needed. If ctx ends first, it returns Unavailable.
func (acc *Accounts) Reserve(ctx context.Context, organisation string, prepaid, tokens int64) Verdict {
	return acc.reserve(ctx, organisation, prepaid, tokens, false)
}

// reserve implements Reserve. With drawDirectly, this router draws missing tokens itself instead of asking the
// allocators first.
func (acc *Accounts) reserve(ctx context.Context, organisation string, prepaid, tokens int64, drawDirectly bool) Verdict {
	verdict := make(chan Verdict, 1)
	accepted := acc.owner.Post(func(t *accountTable) {
		a := t.account(organisation)
		a.setPrepaid(prepaid)
		a.reserve(time.Now(), waiter{tokens: tokens, verdict: verdict})
		a.drawDirectly = a.drawDirectly || drawDirectly && len(a.waiters) > 0
		acc.advance(t, organisation, a)
	})
	if !accepted {
		return Unavailable
	}
	select {
	case v := <-verdict:
		return v
	case <-acc.owner.Stopped():
		return Unavailable
	case <-ctx.Done():
	}
	acc.owner.Post(func(t *accountTable) {
		select {
		case v := <-verdict:
			if v == Granted {
				t.account(organisation).credit(tokens)
			}
		default:
			t.account(organisation).removeWaiter(verdict)
		}
	})
	return Unavailable
}

// Settle ends a reservation of which the request is charged a part. The rest is free again.
func (acc *Accounts) Settle(organisation string, reserved, charged int64) {
	acc.owner.Post(func(t *accountTable) {
		a := t.account(organisation)
		a.flows.charged += charged
		a.credit(reserved - charged)
	})
}

// receive adds tokens from another router that arrive late.
func (acc *Accounts) receive(organisation string, tokens int64) {
	acc.owner.Post(func(t *accountTable) {
		a := t.account(organisation)
		a.flows.received += tokens
		a.credit(tokens)
	})
}

// TransferOut deducts tokens from the organisation's account for another router, which is need tokens short for its
// next request and want tokens short in all. With draw, it draws what is missing for need from the store, until ctx
// ends at the latest. exhausted reports whether too little of the budget is left.
func (acc *Accounts) TransferOut(ctx context.Context, organisation string, need, want int64, draw bool) (transferred int64, exhausted bool) {
	var after flows
	acc.owner.Do(func(t *accountTable) {
		a := t.account(organisation)
		transferred = a.transferOut(time.Now(), need, want)
		after = a.flows
		draw = draw && a.mayDraw(time.Now())
		acc.advance(t, organisation, a)
	})
	if prepaid := acc.Prepaid(organisation); draw && prepaid > 0 && need > transferred {
		// The requesting router has tried the allocators before this one. If an allocator asked them again, routers would
		// wait for each other.
		switch acc.reserve(ctx, organisation, prepaid, need-transferred, true) {
		case Granted:
			acc.owner.Do(func(t *accountTable) {
				a := t.account(organisation)
				a.flows.given += need - transferred
				after = a.flows
			})
			transferred = need
		case Exhausted:
			exhausted = true
		case Unavailable:
		}
	}
	if transferred > 0 {
		acc.Log.WithFields(log.Fields{"organisation": organisation, "tokens": transferred, "need": need, "held": after.held(), "charged": after.charged}).Info("allowance_given")
	}
	return transferred, exhausted
}

// Learn records what routers have drawn of the organisation's budget, as another router tells.
func (acc *Accounts) Learn(organisation string, draws Draws) {
	acc.owner.Post(func(t *accountTable) { t.account(organisation).learn(time.Now(), draws) })
}

// peerRequestDelay is the time after which other routers are asked while a draw has no answer. The store usually
// answers in 4 ms.
const peerRequestDelay = 60 * time.Millisecond

// requestLater asks other routers after peerRequestDelay, if a draw is still in progress then.
func (acc *Accounts) requestLater(name string, a *account) {
	time.AfterFunc(peerRequestDelay, func() { acc.owner.Post(func(*accountTable) { acc.requestDuringDraw(name, a) }) })
}

// requestDuringDraw asks other routers for tokens while a draw takes long. Requests that remain uncovered go on waiting
// for the draw.
func (acc *Accounts) requestDuringDraw(name string, a *account) {
	if a.storeCallInProgress && !a.peerRequestInProgress && len(a.waiters) > 0 {
		acc.requestFromPeers(name, a, Granted)
	}
}

// peerRequestTimeout bounds a request to other routers, which usually answer within a few ms.
const peerRequestTimeout = 400 * time.Millisecond

// requestFromPeers asks other routers for the tokens missing for the waiting requests and refuses requests that remain
// uncovered. fallback is the verdict for these if all routers answered; with Granted they go on waiting.
func (acc *Accounts) requestFromPeers(name string, a *account, fallback Verdict) {
	a.peerRequestInProgress = true
	allocators := acc.Allocators(name)
	ahead := fallback == Unavailable && (!acc.isPrimary(name) || !a.mayDraw(time.Now()))
	shortage := a.peerShortage(time.Now(), ahead)
	shortage.NoDraw = fallback == Exhausted
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerRequestTimeout)
		defer cancel()
		result := acc.Peers.RequestTokens(ctx, allocators, name, shortage, func(tokens int64) { acc.receive(name, tokens) })
		acc.owner.Post(func(t *accountTable) {
			a.peerRequestInProgress = false
			if result.Tokens > 0 {
				a.refusalDuration = 0
			}
			if result.Tokens < shortage.Total+shortage.Ahead/2 {
				a.askAheadAt = time.Now().Add(askPause)
			}
			waitersBefore := len(a.waiters)
			a.flows.received += result.Tokens
			a.credit(result.Tokens)
			acc.Log.WithFields(log.Fields{
				"organisation": name, "need": shortage.Total, "ahead": shortage.Ahead, "tokens": result.Tokens, "complete": result.Complete, "exhausted": result.Exhausted,
				"refused": len(a.waiters), "drawn": a.drawn, "prepaid": a.prepaid, "held": a.flows.held(), "charged": a.flows.charged,
			}).Info("allowance_asked")
			switch {
			case fallback == Granted:
			case len(a.waiters) < waitersBefore && !result.Exhausted:
				// The other routers may have more; advance asks again for the next request.
			case result.Exhausted:
				a.refuse(time.Now(), Exhausted)
			case len(a.waiters) > 0 && fallback == Unavailable && a.mayDraw(time.Now()):
				// An allocator did not answer, could not draw in time, or can't reach the store, so this router draws from the store
				// itself. An allocator may be waiting for this one.
				a.drawDirectly = true
			case !result.Complete:
				a.refuse(time.Now(), Unavailable)
			default:
				a.refuse(time.Now(), fallback)
			}
			acc.advance(t, name, a)
		})
	}()
}

// ReturnAll returns all free tokens to the store before the router stops. It waits until the store has answered or ctx
// ends.
func (acc *Accounts) ReturnAll(ctx context.Context) {
	acc.owner.Do(func(t *accountTable) {
		t.closing = true
		for name, a := range t.accounts {
			acc.advance(t, name, a)
		}
	})
	for ctx.Err() == nil {
		busy := false
		if !acc.owner.Do(func(t *accountTable) {
			for _, a := range t.accounts {
				busy = busy || a.storeCallInProgress || a.returnReadInProgress
			}
		}) || !busy {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}
