package allowance

import (
	"context"
	"errors"
	"fmt"
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
)

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
	// era is the one to which the write counts.
	era  uint64
	next record
}

// draw adds to the drawn tokens by conditional update. If too little is left according to the last known record, draw
// reads the record again first, because other routers may have returned tokens. After a restore of the store it also writes
// draws that the record lacks.
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
			if err == nil && platform.Era(object.Revision) == p.era {
				acc.finishDraw(name, storedRecord{revision: object.Revision, record: p.next}, p.amount)
				return
			}
			if err == nil {
				acc.giveUpDraw(name, p, object.Revision)
				break
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
		now := time.Now()
		acc.observeEra(t, now, current.revision)
		isOpen := current.record.isOpenIn(t.era)
		switch {
		case fresh && current.record.undivided:
			a.known = nil // Routers of an earlier version draw without telling others apart, so only the record counts.
		case fresh && !isOpen && !a.remembersRestore():
			// This router was not running before the restore. It waits for what the others remember.
			a.mustSettle, a.settledAt = true, now.Add(settleTime)
		}
		lacks := fresh && current.record.Eras.lacks(a.known)
		if lacks {
			acc.Log.WithFields(log.Fields{
				"organisation": name, "revision": platform.FormatRevision(current.revision), "drawn": current.record.Drawn, "drawn_known": a.known.total(), "free": a.free,
			}).Warn("allowance_record_older")
		}
		if w, ok := a.pendingDraws[current.record.LastWrites[acc.VM]]; ok && w.era != platform.Era(current.revision) {
			acc.logGivenUp(name, w.amount, w.era, current.revision)
		}
		if (fresh || current.revision > 0) && a.applyRead(now, current.record.Eras, current.record.LastWrites[acc.VM], current.revision) {
			acc.Peers.Inform(acc.Allocators(name), name, a.known)
		}
		mayDraw := a.mayDraw(now)
		if fresh && mayDraw && a.mustSettle {
			a.mustSettle = false
			if !isOpen {
				acc.estimateDraws(name, a, now, current.record)
			}
		}
		current.record = current.record.with(a.known)
		t.records[name] = current
		if mayDraw {
			p.amount = a.drawAmount(now, acc.isPrimary(name))
		}
		mustRead := !fresh && (a.mustReconcile || a.mustSettle)
		switch {
		case fresh && a.mustReconcile && (lacks || !isOpen), p.amount > 0 && (len(a.waiters) > 0 || !fresh) && !mustRead:
			t.writeCount++
			p.step, p.writeID, p.era = stepPut, fmt.Sprintf("%s/%d", acc.Instance, t.writeCount), t.era
			if current.revision > 0 {
				p.era = platform.Era(current.revision)
			}
			p.next = current.record.after(write{
				vm: acc.VM, id: p.writeID, era: p.era, amount: p.amount, at: now, demand: int64(a.demandRate(now)), held: max(0, p.amount-a.shortage()),
			})
			a.pendingDraws[p.writeID] = pendingDraw{amount: p.amount, baseRevision: current.revision, era: p.era}
		case mustRead, len(a.waiters) > 0 && !fresh:
			p.step = stepGet
		default:
			a.storeCallInProgress = false
			if fresh {
				a.mustReconcile = false
				t.recordStoreAnswer()
			} else {
				t.probeInProgress = false // No call was made, so whether the store answers is still unknown.
			}
			if len(a.waiters) > 0 && mayDraw {
				acc.requestFromPeers(name, a, Exhausted)
			} else if len(a.waiters) > 0 {
				acc.requestFromPeers(name, a, Unavailable)
			}
		}
	})
	return p
}

// estimateDraws adds an estimate of the draws that the record of an older copy lacks and that no router remembers.
func (acc *Accounts) estimateDraws(name string, a *account, now time.Time, r record) {
	estimated := r.withEstimate(acc.startedAt, a.prepaid-a.drawn)
	a.learn(now, estimated.Eras)
	a.mustReconcile = true
	acc.Log.WithFields(log.Fields{
		"organisation": name, "drawn": r.Drawn, "drawn_estimated": a.drawn, "demand": r.Demand, "held": r.Held, "written_ago_ms": acc.startedAt.UnixMilli() - r.AtMS,
	}).Warn("allowance_estimated")
}

// observeEra begins the time after a restore of the store if the revision is the first one of a new era. A router whose first news of
// the store is the answer to a draw can't tell how long ago the last restore was, so it waits as well.
func (acc *Accounts) observeEra(t *accountTable, now time.Time, revision uint64) {
	era := platform.Era(revision)
	if era > t.era {
		for _, a := range t.accounts {
			a.restored(now)
		}
	}
	t.era, t.eraKnown = max(t.era, era), t.eraKnown || revision > 0
}

// StoreReached tells the accounts a revision that the store has reached. If it has come back from an older copy, they write
// again what they have drawn since.
func (acc *Accounts) StoreReached(revision uint64) {
	acc.owner.Post(func(t *accountTable) {
		if !t.eraKnown {
			t.era = platform.Era(revision) // The router has just started.
		}
		acc.observeEra(t, time.Now(), revision)
		t.eraKnown = true
		for name, a := range t.accounts {
			if a.mustReconcile {
				acc.advance(t, name, a)
			}
		}
	})
}

// giveUpDraw gives up the tokens of a draw that was written in another era than it counts for: the store was restored
// meanwhile. A later state of that era may replace it, so the tokens must not be used.
func (acc *Accounts) giveUpDraw(name string, p drawPlan, revision uint64) {
	acc.owner.Do(func(t *accountTable) { delete(t.account(name).pendingDraws, p.writeID) })
	acc.logGivenUp(name, p.amount, p.era, revision)
}

func (acc *Accounts) logGivenUp(name string, tokens int64, era, revision uint64) {
	acc.Log.WithFields(log.Fields{"organisation": name, "tokens": tokens, "era": era, "revision": platform.FormatRevision(revision)}).Warn("allowance_draw_given_up")
}

func (acc *Accounts) putRecord(name string, r record, revision uint64) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return acc.Store.Put(ctx, objectKind+"/"+name, r.encode(), revision)
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
	r, err := decodeRecord(object.Value)
	if err != nil {
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
		now := time.Now()
		acc.observeEra(t, now, current.revision)
		a.applyDraw(now, current.record.Eras, amount)
		acc.Peers.Inform(acc.Allocators(name), name, a.known)
		acc.Log.WithFields(log.Fields{
			"organisation": name, "tokens": amount, "drawn": a.drawn, "prepaid": a.prepaid, "revision": platform.FormatRevision(current.revision),
			"held": a.flows.held(), "charged": a.flows.charged,
		}).Info("allowance_drawn")
		acc.advance(t, name, a)
	})
}

// failDraw ends a draw without an answer from the store; other routers are asked instead.
func (acc *Accounts) failDraw(name string, err error) {
	acc.owner.Post(func(t *accountTable) {
		a := t.account(name)
		a.storeCallInProgress = false
		if a.retryAt = time.Now(); !a.storeCallAt.Before(t.returnedAt) {
			a.retryAt = a.retryAt.Add(t.recordStoreFailure())
		}
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

// returnable returns the number of tokens to return now: the surplus, or all free tokens if the router is stopping.
func (acc *Accounts) returnable(t *accountTable, name string, a *account) int64 {
	now := time.Now()
	if !t.closing {
		return a.surplus(now, acc.isPrimary(name))
	}
	if a.storeCallInProgress || a.returnReadInProgress || now.Before(a.retryAt) {
		return 0
	}
	return a.free
}

// startReturn begins to return tokens, if there are some to return. It reads the record first unless it is known: a write without it
// can't take effect, but its outcome is uncertain if the store is silent.
func (acc *Accounts) startReturn(t *accountTable, name string, a *account) {
	tokens := acc.returnable(t, name, a)
	if tokens <= 0 || t.retryDelay > 0 && t.probeInProgress && !t.closing {
		return // Only one call at a time tests whether the store answers again.
	}
	t.probeInProgress = t.retryDelay > 0
	if current := t.records[name]; current.revision > 0 {
		acc.returnTokens(t, name, a, current, tokens)
		return
	}
	a.returnReadInProgress = true
	go acc.readBeforeReturn(name)
}

// readBeforeReturn reads the record and returns what is still to be returned then.
func (acc *Accounts) readBeforeReturn(name string) {
	current, err := acc.currentRecord(name, platform.Object{})
	acc.owner.Post(func(t *accountTable) {
		a := t.account(name)
		a.returnReadInProgress = false
		if err != nil {
			acc.Log.WithFields(log.Fields{"organisation": name, "tokens": a.free, "held": a.flows.held(), "charged": a.flows.charged, "kept": true}).WithError(err).Warn("allowance_return_failed")
			a.retryAt = time.Now().Add(t.recordStoreFailure())
		} else {
			t.recordStoreAnswer()
			acc.observeEra(t, time.Now(), current.revision)
			if tokens := acc.returnable(t, name, a); tokens > 0 {
				acc.returnTokens(t, name, a, current, tokens)
			}
		}
		acc.advance(t, name, a)
	})
}

// returnTokens subtracts unspent tokens from the drawn ones in the store. It deducts them from the account before it writes, so a
// lost response can lose tokens but can't spend them twice.
func (acc *Accounts) returnTokens(t *accountTable, name string, a *account, current storedRecord, tokens int64) {
	a.free -= tokens
	a.storeCallInProgress, a.storeCallAt = true, time.Now()
	t.writeCount++
	current.record = current.record.with(a.known)
	go acc.writeReturn(name, current, t.era, tokens, fmt.Sprintf("%s/%d", acc.Instance, t.writeCount))
}

// writeReturn writes a return; era is the store's, as far as it is known. Tokens that were certainly not written are credited to the
// account again.
func (acc *Accounts) writeReturn(name string, current storedRecord, era uint64, tokens int64, writeID string) {
	var err error
	mayBeWritten := false
	for range maxAttempts {
		var object platform.Object
		if current.revision > 0 {
			era = platform.Era(current.revision)
		}
		next := current.record.after(write{vm: acc.VM, id: writeID, era: era, amount: -tokens, at: time.Now()})
		if object, err = acc.putRecord(name, next, current.revision); err == nil {
			current = storedRecord{revision: object.Revision, record: next}
			break
		}
		if !errors.Is(err, platform.ErrConflict) {
			mayBeWritten = !wroteNothing(err)
			break
		}
		known := current.record.Eras
		if current, err = acc.currentRecord(name, object); err != nil {
			break
		}
		current.record = current.record.with(known)
	}
	acc.owner.Post(func(t *accountTable) {
		a := t.account(name)
		a.storeCallInProgress = false
		switch {
		case err == nil:
			a.flows.returned += tokens
		case mayBeWritten:
			a.flows.uncertain += tokens
		default:
			a.credit(tokens)
		}
		entry := acc.Log.WithFields(log.Fields{"organisation": name, "tokens": tokens, "held": a.flows.held(), "charged": a.flows.charged})
		if err != nil {
			entry.WithField("kept", !mayBeWritten).WithError(err).Warn("allowance_return_failed")
			a.retryAt = time.Now().Add(t.recordStoreFailure())
		} else {
			t.recordStoreAnswer()
			t.records[name] = current
			a.learn(time.Now(), current.record.Eras)
			acc.Peers.Inform(acc.Allocators(name), name, a.known)
			entry.Info("allowance_returned")
		}
		acc.advance(t, name, a)
	})
}

// wroteNothing reports whether a failed write certainly had no effect and will have none. Errors that don't say so count as writes.
func wroteNothing(err error) bool {
	return !errors.Is(err, platform.ErrUncertain) && (errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled))
}
