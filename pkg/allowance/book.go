package allowance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/task"
)

const (
	// kind is the kind of the store's objects.
	kind = "allowances"
	// maxConflicts bounds the attempts of one draw when other routers write at the same time.
	maxConflicts = 12
	// drawTimeout bounds a draw with all its attempts.
	drawTimeout = 2 * time.Second
	// tickInterval is the period of draws ahead of need and of returns.
	tickInterval = 500 * time.Millisecond
)

// Store is the part of the platform's store that a Book uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error)
}

// record is the store's object of an organisation.
type record struct {
	// Drawn is the number of tokens that routers have drawn and not returned.
	Drawn int64 `json:"drawn"`
	// Writer identifies the last write, so that its author recognises it after a lost response.
	Writer string `json:"writer"`
}

// Book holds the budgets of all organisations at this router. It is safe for concurrent use.
type Book struct {
	owner    *task.Owner[state]
	store    Store
	instance string
	log      log.Interface
	now      func() time.Time
	routers  func() int
	ctx      context.Context
}

type state struct {
	accounts map[string]*account
	// stored is the last object seen of each organisation.
	stored map[string]stored
	writes int
}

type stored struct {
	revision uint64
	record   record
}

// Options configures a Book.
type Options struct {
	Store Store
	// Instance is unique for each start of a router.
	Instance string
	Log      log.Interface
	// Now is the clock; default is time.Now.
	Now func() time.Time
	// Routers returns the number of routers that draw from the budgets.
	Routers func() int
}

// NewBook returns a Book; its methods wait until Run is called.
func NewBook(o Options) *Book {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Book{
		owner: task.New(&state{accounts: map[string]*account{}, stored: map[string]stored{}}),
		store: o.Store, instance: o.Instance, log: o.Log, now: o.Now, routers: o.Routers, ctx: context.Background(),
	}
}

// Run serves the book until ctx ends.
func (b *Book) Run(ctx context.Context) {
	go b.tick(ctx)
	b.owner.Run(ctx)
}

func (b *Book) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.owner.Post(func(s *state) { b.review(s) })
		}
	}
}

// review draws ahead of need and returns what is not needed.
func (b *Book) review(s *state) {
	now := b.now()
	for name, a := range s.accounts {
		if tokens := a.surplus(now); tokens > 0 {
			b.giveBack(s, name, a, tokens)
		}
		b.drawIfNeeded(s, name, a)
	}
}

// Reserve takes tokens of the organisation's budget, of which prepaid is the total. It waits for the store if
// needed. If ctx ends first it returns Unavailable.
func (b *Book) Reserve(ctx context.Context, organisation string, prepaid, tokens int64) Verdict {
	verdict := make(chan Verdict, 1)
	posted := b.owner.Post(func(s *state) {
		a := s.accounts[organisation]
		if a == nil {
			a = &account{}
			s.accounts[organisation] = a
		}
		a.prepaid = prepaid
		a.reserve(b.now(), waiter{tokens: tokens, verdict: verdict})
		b.drawIfNeeded(s, organisation, a)
	})
	if !posted {
		return Unavailable
	}
	select {
	case v := <-verdict:
		return v
	case <-ctx.Done():
	}
	// A grant that arrives after the caller has gone is put back.
	b.owner.Post(func(s *state) {
		select {
		case v := <-verdict:
			if v == Granted {
				s.accounts[organisation].release(tokens)
			}
		default:
			a := s.accounts[organisation]
			for i := range a.waiting {
				if a.waiting[i].verdict == verdict {
					a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
					break
				}
			}
		}
	})
	return Unavailable
}

// Release returns reserved tokens that the request did not use.
func (b *Book) Release(organisation string, tokens int64) {
	if tokens <= 0 {
		return
	}
	b.owner.Post(func(s *state) {
		if a := s.accounts[organisation]; a != nil {
			a.release(tokens)
		}
	})
}

func (b *Book) drawIfNeeded(s *state, name string, a *account) {
	if !a.wants(b.now()) {
		return
	}
	a.drawing = true
	go b.draw(name, s.stored[name])
}

// plan is the next write of a draw, decided by the owner.
type plan struct {
	amount int64
	record record
	value  []byte
}

// draw adds to the drawn tokens by conditional update and tells the account the result. An exhausted budget is read
// again first, because other routers may have returned tokens.
func (b *Book) draw(name string, seen stored) {
	ctx, cancel := context.WithTimeout(b.ctx, drawTimeout)
	defer cancel()
	// tried are the writes whose effect is open.
	tried := map[string]int64{}
	fresh := false
	for range maxConflicts {
		p, next := b.plan(name, seen, fresh)
		if next == ended {
			return
		}
		var object platform.Object
		var err error
		if next == write {
			object, err = b.store.Put(ctx, kind+"/"+name, p.value, seen.revision)
			tried[p.record.Writer] = p.amount
		}
		if next == write && err == nil {
			b.finish(name, stored{revision: object.Revision, record: p.record}, p.amount, nil)
			return
		}
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrUncertain) {
			b.finish(name, seen, 0, err)
			return
		}
		if seen, err = b.resolve(ctx, name, object); err != nil {
			b.finish(name, stored{}, 0, err)
			return
		}
		fresh = true
		if amount, mine := tried[seen.record.Writer]; mine {
			b.finish(name, seen, amount, nil)
			return
		}
	}
	b.finish(name, seen, 0, fmt.Errorf("%w: %d conflicts in one draw", platform.ErrUnavailable, maxConflicts))
}

// resolve returns the stored object after a conflict or a lost response. A lost write that has not taken effect yet
// can't do so any more once another write has changed the revision, and the next attempt is such a write.
func (b *Book) resolve(ctx context.Context, name string, object platform.Object) (stored, error) {
	if object.Revision == 0 {
		var err error
		object, err = b.store.Get(ctx, kind+"/"+name)
		if errors.Is(err, platform.ErrNotFound) {
			return stored{}, nil
		}
		if err != nil {
			return stored{}, fmt.Errorf("reading the allowance of %s: %w", name, err)
		}
	}
	var r record
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return stored{}, fmt.Errorf("allowance object of %s: %w", name, err)
	}
	return stored{revision: object.Revision, record: r}, nil
}

// step is what a draw does next.
type step int

const (
	// ended means that there is nothing to draw and the waiting requests have their verdicts.
	ended step = iota
	write
	read
)

// plan decides the next step from the object that was seen. fresh tells that it was read during this draw.
func (b *Book) plan(name string, seen stored, fresh bool) (plan, step) {
	var p plan
	next := ended
	b.owner.Do(func(s *state) {
		a := s.accounts[name]
		a.drawn, a.known = seen.record.Drawn, true
		s.stored[name] = seen
		p.amount = a.amount(b.now(), b.routers())
		switch {
		case p.amount > 0:
			s.writes++
			p.record = record{Drawn: seen.record.Drawn + p.amount, Writer: fmt.Sprintf("%s/%d", b.instance, s.writes)}
			next = write
		case len(a.waiting) > 0 && !fresh:
			next = read
		default:
			a.drawing = false
			a.exhausted()
		}
	})
	if next != write {
		return p, next
	}
	value, err := json.Marshal(p.record)
	if err != nil {
		panic(fmt.Sprintf("allowance: a record can't be encoded: %v", err))
	}
	p.value = value
	return p, next
}

func (b *Book) finish(name string, seen stored, amount int64, err error) {
	b.owner.Post(func(s *state) {
		a := s.accounts[name]
		a.drawing = false
		if err != nil {
			b.log.WithFields(log.Fields{"organisation": name, "waiting": len(a.waiting)}).WithError(err).Warn("allowance_draw_failed")
			a.failed(b.now())
			return
		}
		s.stored[name], a.drawn = seen, seen.record.Drawn
		a.granted(amount)
		b.log.WithFields(log.Fields{
			"organisation": name, "tokens": amount, "drawn": a.drawn, "prepaid": a.prepaid, "revision": seen.revision,
		}).Info("allowance_drawn")
		b.drawIfNeeded(s, name, a)
	})
}

// giveBack subtracts unspent tokens from the drawn ones. The account gives them up first, so a lost response can
// lose tokens but can't spend them twice.
func (b *Book) giveBack(s *state, name string, a *account, tokens int64) {
	a.free -= tokens
	a.drawing = true
	s.writes++
	writer := fmt.Sprintf("%s/%d", b.instance, s.writes)
	go b.putBack(name, s.stored[name], tokens, writer)
}

func (b *Book) putBack(name string, seen stored, tokens int64, writer string) {
	ctx, cancel := context.WithTimeout(b.ctx, drawTimeout)
	defer cancel()
	var err error
	for range maxConflicts {
		next := record{Drawn: seen.record.Drawn - tokens, Writer: writer}
		var value []byte
		if value, err = json.Marshal(next); err != nil {
			break
		}
		var object platform.Object
		object, err = b.store.Put(ctx, kind+"/"+name, value, seen.revision)
		if err == nil {
			seen = stored{revision: object.Revision, record: next}
			break
		}
		if !errors.Is(err, platform.ErrConflict) {
			break
		}
		if seen, err = b.resolve(ctx, name, object); err != nil {
			break
		}
	}
	b.owner.Post(func(s *state) {
		a := s.accounts[name]
		a.drawing = false
		entry := b.log.WithFields(log.Fields{"organisation": name, "tokens": tokens})
		if err != nil {
			entry.WithError(err).Warn("allowance_return_failed")
			a.failed(b.now())
			return
		}
		s.stored[name], a.drawn = seen, seen.record.Drawn
		entry.Info("allowance_returned")
		b.drawIfNeeded(s, name, a)
	})
}

// ReturnAll returns all unspent tokens before the router stops. It waits until the store has answered or ctx ends.
func (b *Book) ReturnAll(ctx context.Context) {
	b.owner.Do(func(s *state) {
		for name, a := range s.accounts {
			if a.free > 0 && !a.drawing {
				b.giveBack(s, name, a, a.free)
			}
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

// pollInterval is the period at which ReturnAll looks whether the returns have ended.
const pollInterval = 20 * time.Millisecond
