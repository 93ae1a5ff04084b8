package allowance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// kind is the kind of the store's objects.
	kind = "allowances"
	// maxAttempts bounds the calls of one draw when other routers write at the same time.
	maxAttempts = 12
	// callTimeout bounds one call to the store, which answers in 4 ms, or in about 250 ms when it is slow.
	callTimeout = 500 * time.Millisecond
	// maxMarks bounds the routers whose last write an object keeps; the value then stays under 32 KB.
	maxMarks = 512
)

// record is the store's object of an organisation.
type record struct {
	// Drawn is the number of tokens that routers have drawn and not returned.
	Drawn int64 `json:"drawn"`
	// Marks holds the last write of each router by its name, so that it recognises the write after a lost response.
	Marks map[string]string `json:"marks,omitempty"`
}

type stored struct {
	revision uint64
	record   record
}

// step is what a draw does next.
type step int

const (
	// stop means that there is nothing more to do; the waiting requests are served or refused.
	stop step = iota
	put
	get
)

// plan is the next call of a draw.
type plan struct {
	step   step
	amount int64
	mark   string
	next   record
}

// draw adds to the drawn tokens by conditional update. An exhausted budget is read again first, because other routers
// may have returned tokens.
func (b *Accounts) draw(name string, seen stored) {
	fresh := false
	for range maxAttempts {
		p := b.plan(name, seen, fresh)
		var object platform.Object
		var err error
		switch p.step {
		case stop:
			return
		case put:
			object, err = b.put(name, p.next, seen.revision)
			if err == nil {
				b.drew(name, stored{revision: object.Revision, record: p.next}, p.amount)
				return
			}
			if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrUncertain) {
				b.failed(name, err)
				return
			}
		case get:
		}
		if seen, err = b.resolve(name, object); err != nil {
			b.failed(name, err)
			return
		}
		fresh = true
	}
	b.failed(name, fmt.Errorf("%w: no draw succeeded in %d attempts", platform.ErrUnavailable, maxAttempts))
}

// plan decides the next call from the object that was seen. fresh tells that it was read during this draw.
func (b *Accounts) plan(name string, seen stored, fresh bool) plan {
	var p plan
	b.owner.Do(func(s *state) {
		a := s.account(name)
		if fresh || seen.revision > 0 {
			a.seen(seen.record.Drawn, seen.record.Marks[b.VM], seen.revision)
		}
		s.stored[name] = seen
		now := time.Now()
		p.amount = a.amount(now)
		switch {
		case p.amount > 0 && (len(a.waiting) > 0 || !fresh):
			s.writes++
			p.step, p.mark = put, fmt.Sprintf("%s/%d", b.Instance, s.writes)
			p.next = seen.record.with(b.VM, p.mark, p.amount)
			a.open[p.mark] = write{amount: p.amount, base: seen.revision}
		case len(a.waiting) > 0 && !fresh:
			p.step = get
		default:
			a.drawing = false
			if fresh {
				s.answered()
			} else {
				s.probing = false // No call was made, so nothing is known of the store.
			}
			if len(a.waiting) > 0 {
				b.ask(name, a, Exhausted)
			}
		}
	})
	return p
}

// with returns the record after a write of the router that changes the drawn tokens by amount.
func (r record) with(vm, mark string, amount int64) record {
	next := record{Drawn: r.Drawn + amount, Marks: maps.Clone(r.Marks)}
	if next.Marks == nil || len(next.Marks) > maxMarks {
		next.Marks = map[string]string{}
	}
	next.Marks[vm] = mark
	return next
}

func (b *Accounts) put(name string, r record, revision uint64) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("allowance: a record can't be encoded: %v", err))
	}
	return b.Store.Put(ctx, kind+"/"+name, value, revision)
}

// resolve returns the stored object after a conflict or a lost response. A lost write that has not taken effect yet
// can't do so any more once another write has changed the revision.
func (b *Accounts) resolve(name string, object platform.Object) (stored, error) {
	if object.Revision == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		object, err = b.Store.Get(ctx, kind+"/"+name)
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

func (b *Accounts) drew(name string, seen stored, amount int64) {
	b.owner.Post(func(s *state) {
		a := s.account(name)
		a.drawing = false
		s.answered()
		s.stored[name] = seen
		a.wrote(seen.record.Drawn, amount)
		b.Log.WithFields(log.Fields{
			"organisation": name, "tokens": amount, "drawn": a.drawn, "prepaid": a.prepaid, "revision": seen.revision,
		}).Info("allowance_drawn")
		b.advance(s, name, a)
	})
}

// failed ends a draw without an answer of the store; other routers are asked instead.
func (b *Accounts) failed(name string, err error) {
	b.owner.Post(func(s *state) {
		a := s.account(name)
		a.drawing = false
		a.retryAt = time.Now().Add(s.unanswered())
		b.Log.WithFields(log.Fields{"organisation": name, "waiting": len(a.waiting)}).WithError(err).Warn("allowance_draw_failed")
		b.advance(s, name, a)
	})
}

// unanswered notes a call without an answer and returns the time until the next one.
func (s *state) unanswered() time.Duration {
	s.pause = min(max(backoff, 2*s.pause), maxBackoff)
	s.probing = false
	return s.pause
}

// answered notes that the store answers; the accounts that waited for it may call it at once.
func (s *state) answered() {
	s.probing = false
	if s.pause == 0 {
		return
	}
	s.pause = 0
	for _, a := range s.accounts {
		a.retryAt = time.Time{}
	}
}

// giveBack subtracts unspent tokens from the drawn ones. The account gives them up first, so a lost response can
// lose tokens but can't spend them twice.
func (b *Accounts) giveBack(s *state, name string, a *account, tokens int64) {
	a.free -= tokens
	a.drawing = true
	s.writes++
	go b.putBack(name, s.stored[name], tokens, fmt.Sprintf("%s/%d", b.Instance, s.writes))
}

func (b *Accounts) putBack(name string, seen stored, tokens int64, mark string) {
	var err error
	for range maxAttempts {
		var object platform.Object
		next := seen.record.with(b.VM, mark, -tokens)
		if object, err = b.put(name, next, seen.revision); err == nil {
			seen = stored{revision: object.Revision, record: next}
			break
		}
		if !errors.Is(err, platform.ErrConflict) {
			break
		}
		if seen, err = b.resolve(name, object); err != nil {
			break
		}
	}
	b.owner.Post(func(s *state) {
		a := s.account(name)
		a.drawing = false
		entry := b.Log.WithFields(log.Fields{"organisation": name, "tokens": tokens})
		if err != nil {
			entry.WithError(err).Warn("allowance_return_failed")
			a.retryAt = time.Now().Add(s.unanswered())
		} else {
			s.answered()
			s.stored[name], a.drawn = seen, seen.record.Drawn
			entry.Info("allowance_returned")
		}
		b.advance(s, name, a)
	})
}
