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
	// objectKind is the first part of the key of the store's objects.
	objectKind = "allowances"
	// maxAttempts bounds the calls of one draw or return when other routers write at the same time.
	maxAttempts = 12
	// callTimeout bounds one call to the store, which usually answers in 4 ms, or in about 250 ms when it is slow.
	callTimeout = 500 * time.Millisecond
	// maxLastWrites bounds the routers whose last write an object holds, so that its value stays under 32 KB.
	maxLastWrites = 512
)

// record is the value of the store's object for an organisation.
type record struct {
	// Drawn is the number of tokens that routers have drawn and not returned.
	Drawn int64 `json:"drawn"`
	// LastWrites holds the ID of each router's last write by the router's name. After a lost response, the router sees
	// from it whether its write took effect.
	LastWrites map[string]string `json:"marks,omitempty"`
}

type storedRecord struct {
	revision uint64
	record   record
}

// drawStep is what a draw does next.
type drawStep int

const (
	// stepDone ends the draw; requests that still wait are served by other routers or refused.
	stepDone drawStep = iota
	stepPut
	stepGet
)

// drawPlan is the next call of a draw.
type drawPlan struct {
	step    drawStep
	amount  int64
	writeID string
	next    record
}

// draw adds to the drawn tokens by conditional update. If too little is left according to the last known record, draw
// reads the record again first, because other routers may have returned tokens.
func (b *Accounts) draw(name string, current storedRecord) {
	fresh := false
	for range maxAttempts {
		p := b.planDraw(name, current, fresh)
		var object platform.Object
		var err error
		switch p.step {
		case stepDone:
			return
		case stepPut:
			object, err = b.putRecord(name, p.next, current.revision)
			if err == nil {
				b.finishDraw(name, storedRecord{revision: object.Revision, record: p.next}, p.amount)
				return
			}
			if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrUncertain) {
				b.failDraw(name, err)
				return
			}
		case stepGet:
		}
		if current, err = b.currentRecord(name, object); err != nil {
			b.failDraw(name, err)
			return
		}
		fresh = true
	}
	b.failDraw(name, fmt.Errorf("%w: no draw succeeded in %d attempts", platform.ErrUnavailable, maxAttempts))
}

// planDraw decides the next call from the last known record. fresh reports whether the record was read during this
// draw.
func (b *Accounts) planDraw(name string, current storedRecord, fresh bool) drawPlan {
	var p drawPlan
	b.owner.Do(func(s *accountTable) {
		a := s.account(name)
		if fresh || current.revision > 0 {
			a.applyRead(current.record.Drawn, current.record.LastWrites[b.VM], current.revision)
		}
		s.records[name] = current
		now := time.Now()
		p.amount = a.drawAmount(now)
		switch {
		case p.amount > 0 && (len(a.waiters) > 0 || !fresh):
			s.writeCount++
			p.step, p.writeID = stepPut, fmt.Sprintf("%s/%d", b.Instance, s.writeCount)
			p.next = current.record.withWrite(b.VM, p.writeID, p.amount)
			a.pendingDraws[p.writeID] = pendingDraw{amount: p.amount, baseRevision: current.revision}
		case len(a.waiters) > 0 && !fresh:
			p.step = stepGet
		default:
			a.storeCallInProgress = false
			if fresh {
				s.recordStoreAnswer()
			} else {
				s.probeInProgress = false // No call was made, so whether the store answers is still unknown.
			}
			if len(a.waiters) > 0 {
				b.requestFromPeers(name, a, Exhausted)
			}
		}
	})
	return p
}

// withWrite returns the record after a write of the router vm that changes the drawn tokens by amount.
func (r record) withWrite(vm, writeID string, amount int64) record {
	next := record{Drawn: r.Drawn + amount, LastWrites: maps.Clone(r.LastWrites)}
	if next.LastWrites == nil || len(next.LastWrites) > maxLastWrites {
		next.LastWrites = map[string]string{}
	}
	next.LastWrites[vm] = writeID
	return next
}

func (b *Accounts) putRecord(name string, r record, revision uint64) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("allowance: encode record: %v", err))
	}
	return b.Store.Put(ctx, objectKind+"/"+name, value, revision)
}

// currentRecord returns the stored record after a conflict or a lost response. It reads the record from the store
// unless object already holds it. A write whose response was lost and that has not taken effect yet can no longer do so
// once another write has changed the revision.
func (b *Accounts) currentRecord(name string, object platform.Object) (storedRecord, error) {
	if object.Revision == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		object, err = b.Store.Get(ctx, objectKind+"/"+name)
		if errors.Is(err, platform.ErrNotFound) {
			return storedRecord{}, nil
		}
		if err != nil {
			return storedRecord{}, fmt.Errorf("allowance: read object of %s: %w", name, err)
		}
	}
	var r record
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return storedRecord{}, fmt.Errorf("allowance: decode object of %s: %w", name, err)
	}
	return storedRecord{revision: object.Revision, record: r}, nil
}

func (b *Accounts) finishDraw(name string, current storedRecord, amount int64) {
	b.owner.Post(func(s *accountTable) {
		a := s.account(name)
		a.storeCallInProgress = false
		s.recordStoreAnswer()
		s.records[name] = current
		a.applyDraw(current.record.Drawn, amount)
		b.Log.WithFields(log.Fields{
			"organisation": name, "tokens": amount, "drawn": a.drawn, "prepaid": a.prepaid, "revision": current.revision,
		}).Info("allowance_drawn")
		b.advance(s, name, a)
	})
}

// failDraw ends a draw without an answer from the store; other routers are asked instead.
func (b *Accounts) failDraw(name string, err error) {
	b.owner.Post(func(s *accountTable) {
		a := s.account(name)
		a.storeCallInProgress = false
		a.retryAt = time.Now().Add(s.recordStoreFailure())
		b.Log.WithFields(log.Fields{"organisation": name, "waiting": len(a.waiters)}).WithError(err).Warn("allowance_draw_failed")
		b.advance(s, name, a)
	})
}

// recordStoreFailure records a call without an answer and returns the delay before the next one.
func (s *accountTable) recordStoreFailure() time.Duration {
	s.retryDelay = min(max(minBackoff, 2*s.retryDelay), maxBackoff)
	s.probeInProgress = false
	return s.retryDelay
}

// recordStoreAnswer records that the store answers. Accounts that delayed their calls may then call it at once.
func (s *accountTable) recordStoreAnswer() {
	s.probeInProgress = false
	if s.retryDelay == 0 {
		return
	}
	s.retryDelay = 0
	for _, a := range s.accounts {
		a.retryAt = time.Time{}
	}
}

// returnTokens subtracts unspent tokens from the drawn ones in the store. It deducts them from the account first, so a
// lost response can lose tokens but can't spend them twice.
func (b *Accounts) returnTokens(s *accountTable, name string, a *account, tokens int64) {
	a.free -= tokens
	a.storeCallInProgress = true
	s.writeCount++
	go b.writeReturn(name, s.records[name], tokens, fmt.Sprintf("%s/%d", b.Instance, s.writeCount))
}

func (b *Accounts) writeReturn(name string, current storedRecord, tokens int64, writeID string) {
	var err error
	for range maxAttempts {
		var object platform.Object
		next := current.record.withWrite(b.VM, writeID, -tokens)
		if object, err = b.putRecord(name, next, current.revision); err == nil {
			current = storedRecord{revision: object.Revision, record: next}
			break
		}
		if !errors.Is(err, platform.ErrConflict) {
			break
		}
		if current, err = b.currentRecord(name, object); err != nil {
			break
		}
	}
	b.owner.Post(func(s *accountTable) {
		a := s.account(name)
		a.storeCallInProgress = false
		entry := b.Log.WithFields(log.Fields{"organisation": name, "tokens": tokens})
		if err != nil {
			entry.WithError(err).Warn("allowance_return_failed")
			a.retryAt = time.Now().Add(s.recordStoreFailure())
		} else {
			s.recordStoreAnswer()
			s.records[name], a.drawn = current, current.record.Drawn
			entry.Info("allowance_returned")
		}
		b.advance(s, name, a)
	})
}
