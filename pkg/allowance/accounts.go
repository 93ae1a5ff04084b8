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
	// pollInterval is the period at which ReturnAll looks whether the returns have ended.
	pollInterval = 20 * time.Millisecond
)

// Store is the part of the platform's store that an Accounts uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error)
}

// Peers asks other routers for tokens.
type Peers interface {
	// RequestTokens asks the other allocators. Tokens that are given after it has returned go to late.
	RequestTokens(ctx context.Context, allocators []string, organisation string, shortage Shortage, late func(tokens int64)) Answer
}

// Answer is what other routers gave.
type Answer struct {
	Tokens int64
	// Complete tells that all allocators that were asked have answered.
	Complete bool
	// Exhausted tells that an allocator found that the store has not enough left.
	Exhausted bool
}

// Shortage is what a router lacks of an organisation's tokens.
type Shortage struct {
	// Next is what the next request lacks, and Total what all waiting ones lack.
	Next, Total int64
	// NoDraw tells that the store was found to have too little, so that the allocators can only give what they hold.
	NoDraw bool
}

// left returns the shortage after some tokens were given.
func (s Shortage) left(given int64) Shortage {
	s.Total -= given
	s.Next = min(s.Next, s.Total)
	return s
}

// Accounts holds the budgets of all organisations at this router. It is safe for concurrent use.
type Accounts struct {
	Options
	owner *task.Owner[state]
}

type state struct {
	accounts map[string]*account
	// stored is the last object seen of each organisation.
	stored map[string]stored
	writes int
	// pause is the time between calls while the store does not answer, 0 while it does; probing tells that one account's
	// draw tries the store meanwhile.
	pause   time.Duration
	probing bool
	// closing tells that the router stops: free tokens are returned and none are drawn.
	closing bool
}

func (s *state) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{open: map[string]write{}}
		s.accounts[name] = a
	}
	return a
}

// Options configures an Accounts.
type Options struct {
	Store Store
	Peers Peers
	// VM is the router's name and Instance unique for each start of it.
	VM, Instance string
	Log          log.Interface
	// Allocators returns the names of the routers from which the others get an organisation's tokens, this one perhaps
	// among them. The first one, the primary allocator, draws ahead of need; the next ones stand in for it.
	Allocators func(organisation string) []string
	// Prepaid returns an organisation's budget, 0 if it is not known.
	Prepaid func(organisation string) int64
}

// NewAccounts returns an Accounts; its methods wait until Run is called.
func NewAccounts(o Options) *Accounts {
	return &Accounts{Options: o, owner: task.New(&state{accounts: map[string]*account{}, stored: map[string]stored{}})}
}

// Run serves the accounts until ctx ends.
func (b *Accounts) Run(ctx context.Context) {
	go b.tick(ctx)
	b.owner.Run(ctx)
}

func (b *Accounts) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.owner.Post(func(s *state) {
				now := time.Now()
				for name, a := range s.accounts {
					if tokens := a.surplus(now, b.draws(name)); tokens > 0 {
						b.giveBack(s, name, a, tokens)
					}
					b.advance(s, name, a)
				}
			})
		}
	}
}

// draws reports whether this router is the organisation's primary allocator.
func (b *Accounts) draws(organisation string) bool {
	allocators := b.Allocators(organisation)
	return len(allocators) > 0 && allocators[0] == b.VM
}

// advance starts the next call for the account, if it needs one.
func (b *Accounts) advance(s *state, name string, a *account) {
	now, primary := time.Now(), b.draws(name)
	switch {
	case s.closing:
		if a.free > 0 && !a.drawing && !now.Before(a.retryAt) {
			b.giveBack(s, name, a, a.free)
		}
	case a.wantsDraw(now, primary):
		if s.pause > 0 && s.probing {
			// One draw at a time finds out whether the store is back.
			a.retryAt = now.Add(s.pause)
			b.advance(s, name, a)
			return
		}
		s.probing = s.pause > 0
		a.drawing = true
		go b.draw(name, s.stored[name])
		if len(a.waiting) > 0 {
			time.AfterFunc(peerRequestDelay, func() { b.owner.Post(func(*state) { b.askMeanwhile(name, a) }) })
		}
	case a.wantsAsk(now, primary):
		b.ask(name, a, Unavailable)
	}
}

// Reserve takes tokens of the organisation's budget, of which prepaid is the total. It waits for the store or other
// routers if needed. If ctx ends first it returns Unavailable.
func (b *Accounts) Reserve(ctx context.Context, organisation string, prepaid, tokens int64) Verdict {
	return b.reserve(ctx, organisation, prepaid, tokens, false)
}

// reserve implements Reserve. With drawNow this router draws what is lacking itself instead of asking the allocators
// first.
func (b *Accounts) reserve(ctx context.Context, organisation string, prepaid, tokens int64, drawNow bool) Verdict {
	verdict := make(chan Verdict, 1)
	posted := b.owner.Post(func(s *state) {
		a := s.account(organisation)
		a.setPrepaid(prepaid)
		a.reserve(time.Now(), waiter{tokens: tokens, verdict: verdict})
		a.asked = a.asked || drawNow && len(a.waiting) > 0
		b.advance(s, organisation, a)
	})
	if !posted {
		return Unavailable
	}
	select {
	case v := <-verdict:
		return v
	case <-b.owner.Stopped():
		return Unavailable
	case <-ctx.Done():
	}
	b.owner.Post(func(s *state) {
		select {
		case v := <-verdict:
			if v == Granted {
				s.account(organisation).credit(tokens)
			}
		default:
			s.account(organisation).withdraw(verdict)
		}
	})
	return Unavailable
}

// Release returns reserved tokens that the request did not use.
func (b *Accounts) Release(organisation string, tokens int64) {
	if tokens > 0 {
		b.owner.Post(func(s *state) { s.account(organisation).credit(tokens) })
	}
}

// TransferOut takes tokens off the organisation's account for another router, which lacks need tokens and would take
// want. With draw it draws what it lacks from the store first, which takes until ctx ends at the most. It reports
// whether the store has not enough left.
func (b *Accounts) TransferOut(ctx context.Context, organisation string, need, want int64, draw bool) (given int64, exhausted bool) {
	b.owner.Do(func(s *state) {
		a := s.account(organisation)
		given = a.transferOut(time.Now(), need, want)
		draw = draw && !time.Now().Before(a.retryAt)
		b.advance(s, organisation, a)
	})
	if prepaid := b.Prepaid(organisation); draw && prepaid > 0 && need > given {
		// The asker has tried the allocators before this one. An allocator that asked them again would wait for routers
		// that wait for it.
		switch b.reserve(ctx, organisation, prepaid, need-given, true) {
		case Granted:
			given = need
		case Exhausted:
			exhausted = true
		case Unavailable:
		}
	}
	if given > 0 {
		b.Log.WithFields(log.Fields{"organisation": organisation, "tokens": given, "need": need}).Info("allowance_given")
	}
	return given, exhausted
}

// peerRequestDelay is the time after which other routers are asked while a draw has no answer; the store answers in 4 ms.
const peerRequestDelay = 60 * time.Millisecond

// askMeanwhile asks other routers while a draw takes long. The waiting requests go on waiting for the draw.
func (b *Accounts) askMeanwhile(name string, a *account) {
	if a.drawing && !a.asking && len(a.waiting) > 0 {
		b.ask(name, a, Granted)
	}
}

// askTimeout bounds the questions to other routers, which answer within a few ms.
const askTimeout = 400 * time.Millisecond

// ask asks other routers for what the waiting requests lack, and refuses those that remain. otherwise is the verdict
// for them if all routers answered; with Granted they go on waiting.
func (b *Accounts) ask(name string, a *account, otherwise Verdict) {
	a.asking = true
	need := a.shortage()
	shortage := Shortage{Next: a.least(), Total: need, NoDraw: otherwise == Exhausted}
	allocators := b.Allocators(name)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		answer := b.Peers.RequestTokens(ctx, allocators, name, shortage, func(tokens int64) { b.Release(name, tokens) })
		b.owner.Post(func(s *state) {
			a.asking = false
			if answer.Tokens > 0 {
				a.dryFor = 0
			}
			before := len(a.waiting)
			a.credit(answer.Tokens)
			b.Log.WithFields(log.Fields{
				"organisation": name, "need": need, "tokens": answer.Tokens, "complete": answer.Complete, "exhausted": answer.Exhausted,
				"refused": len(a.waiting), "drawn": a.drawn, "prepaid": a.prepaid,
			}).Info("allowance_asked")
			switch {
			case otherwise == Granted:
			case len(a.waiting) < before && !answer.Exhausted:
				// More may be had; the next request is asked for anew.
			case answer.Exhausted:
				a.refuse(time.Now(), Exhausted)
			case len(a.waiting) > 0 && !a.asked && !answer.Complete && !time.Now().Before(a.retryAt):
				// An allocator was not reached: this router draws from the store itself.
				a.asked = true
			case !answer.Complete:
				a.refuse(time.Now(), Unavailable)
			default:
				a.refuse(time.Now(), otherwise)
			}
			b.advance(s, name, a)
		})
	}()
}

// ReturnAll returns all unspent tokens before the router stops. It waits until the store has answered or ctx ends.
func (b *Accounts) ReturnAll(ctx context.Context) {
	b.owner.Do(func(s *state) {
		s.closing = true
		for name, a := range s.accounts {
			b.advance(s, name, a)
		}
	})
	for ctx.Err() == nil {
		busy := false
		if !b.owner.Do(func(s *state) {
			for _, a := range s.accounts {
				busy = busy || a.drawing
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
