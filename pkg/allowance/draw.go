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
func (acc *Accounts) draw(name string, current storedRecord) {
	fresh := false
	for range maxAttempts {
		p := acc.planDraw(name, current, fresh)
		var object platform.Object
		var err error
		switch p.step {
		case stepDone:
			return
		case stepPut:
			object, err = acc.putRecord(name, p.next, current.revision)
			if err == nil {
				acc.finishDraw(name, storedRecord{revision: object.Revision, record: p.next}, p.amount)
				return
			}
			if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrUncertain) {
				acc.failDraw(name, err)
				return
			}
		case stepGet:
		}
		if current, err = acc.currentRecord(name, object); err != nil {
			acc.failDraw(name, err)
			return
		}
		fresh = true
	}
	acc.failDraw(name, fmt.Errorf("%w: no draw succeeded in %d attempts", platform.ErrUnavailable, maxAttempts))
}

// planDraw decides the next call from the last known record. fresh reports whether the record was read during this
// draw.
func (acc *Accounts) planDraw(name string, current storedRecord, fresh bool) drawPlan {
	var p drawPlan
	acc.owner.Do(func(t *accountTable) {
		a := t.account(name)
		if last := t.records[name]; current.revision < last.revision {
			acc.Log.WithFields(log.Fields{
				"organisation": name, "revision": platform.FormatRevision(current.revision), "seen": platform.FormatRevision(last.revision), "drawn": current.record.Drawn, "drawn_seen": last.record.Drawn, "free": a.free,
			}).Warn("allowance_record_older")
		}
		if fresh || current.revision > 0 {
			a.applyRead(current.record.Drawn, current.record.LastWrites[acc.VM], current.revision)
		}
		t.records[name] = current
		now := time.Now()
		p.amount = a.drawAmount(now)
		switch {
		case p.amount > 0 && (len(a.waiters) > 0 || !fresh):
			t.writeCount++
			p.step, p.writeID = stepPut, fmt.Sprintf("%s/%d", acc.Instance, t.writeCount)
			p.next = current.record.withWrite(acc.VM, p.writeID, p.amount)
			a.pendingDraws[p.writeID] = pendingDraw{amount: p.amount, baseRevision: current.revision}
		case len(a.waiters) > 0 && !fresh:
			p.step = stepGet
		default:
			a.storeCallInProgress = false
			if fresh {
				t.recordStoreAnswer()
			} else {
				t.probeInProgress = false // No call was made, so whether the store answers is still unknown.
			}
			if len(a.waiters) > 0 {
				acc.requestFromPeers(name, a, Exhausted)
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

func (acc *Accounts) putRecord(name string, r record, revision uint64) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("allowance: encode record: %v", err))
	}
	return acc.Store.Put(ctx, objectKind+"/"+name, value, revision)
}

// currentRecord returns the stored record after a conflict or a lost response. It reads the record from the store
// unless object already holds it. A write whose response was lost and that has not taken effect yet can no longer do so
// once another write has changed the revision.
func (acc *Accounts) currentRecord(name string, object platform.Object) (storedRecord, error) {
	if object.Revision == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		object, err = acc.Store.Get(ctx, objectKind+"/"+name)
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

func (acc *Accounts) finishDraw(name string, current storedRecord, amount int64) {
	acc.owner.Post(func(t *accountTable) {
		a := t.account(name)
		a.storeCallInProgress = false
		t.recordStoreAnswer()
		t.records[name] = current
		a.applyDraw(current.record.Drawn, amount)
		acc.Log.WithFields(log.Fields{
			"organisation": name, "tokens": amount, "drawn": a.drawn, "prepaid": a.prepaid, "revision": platform.FormatRevision(current.revision),
		}).Info("allowance_drawn")
		acc.advance(t, name, a)
	})
}

// failDraw ends a draw without an answer from the store; other routers are asked instead.
func (acc *Accounts) failDraw(name string, err error) {
	acc.owner.Post(func(t *accountTable) {
		a := t.account(name)
		a.storeCallInProgress = false
		a.retryAt = time.Now().Add(t.recordStoreFailure())
		acc.Log.WithFields(log.Fields{"organisation": name, "waiting": len(a.waiters)}).WithError(err).Warn("allowance_draw_failed")
		acc.advance(t, name, a)
	})
}

// recordStoreFailure records a call without an answer and returns the delay before the next one.
func (t *accountTable) recordStoreFailure() time.Duration {
	t.retryDelay = min(max(minBackoff, 2*t.retryDelay), maxBackoff)
	t.probeInProgress = false
	return t.retryDelay
}

// recordStoreAnswer records that the store answers. Accounts that delayed their calls may then call it at once.
func (t *accountTable) recordStoreAnswer() {
	t.probeInProgress = false
	if t.retryDelay == 0 {
		return
	}
	t.retryDelay = 0
	for _, a := range t.accounts {
		a.retryAt = time.Time{}
	}
}

// returnTokens subtracts unspent tokens from the drawn ones in the store. It deducts them from the account first, so a
// lost response can lose tokens but can't spend them twice.
func (acc *Accounts) returnTokens(t *accountTable, name string, a *account, tokens int64) {
	a.free -= tokens
	a.storeCallInProgress = true
	t.writeCount++
	go acc.writeReturn(name, t.records[name], tokens, fmt.Sprintf("%s/%d", acc.Instance, t.writeCount))
}

func (acc *Accounts) writeReturn(name string, current storedRecord, tokens int64, writeID string) {
	var err error
	for range maxAttempts {
		var object platform.Object
		next := current.record.withWrite(acc.VM, writeID, -tokens)
		if object, err = acc.putRecord(name, next, current.revision); err == nil {
			current = storedRecord{revision: object.Revision, record: next}
			break
		}
		if !errors.Is(err, platform.ErrConflict) {
			break
		}
		if current, err = acc.currentRecord(name, object); err != nil {
			break
		}
	}
	acc.owner.Post(func(t *accountTable) {
		a := t.account(name)
		a.storeCallInProgress = false
		entry := acc.Log.WithFields(log.Fields{"organisation": name, "tokens": tokens})
		if err != nil {
			entry.WithError(err).Warn("allowance_return_failed")
			a.retryAt = time.Now().Add(t.recordStoreFailure())
		} else {
			t.recordStoreAnswer()
			t.records[name], a.drawn = current, current.record.Drawn
			entry.Info("allowance_returned")
		}
		acc.advance(t, name, a)
	})
}
