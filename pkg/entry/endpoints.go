package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// graceOutageThreshold is the time without contact to the store after which entries may have lapsed although their
	// endpoints are alive: an entry lapses after three missed heartbeats at intervals of 1.2 s, and the first of them
	// may have been due as the outage began.
	graceOutageThreshold = 2400 * time.Millisecond
	// reregistrationTime is the time within which live endpoints register again once the store is back. An entry that
	// is still missing then is removed.
	reregistrationTime = 2100 * time.Millisecond
	// restoredHold is how long an endpoint that was gone gets no requests after an older copy of the store has brought its entry
	// back. The entry of an endpoint that no longer runs lapses within this time, after three heartbeats and some slack.
	restoredHold = 5 * time.Second
	// goneRetention is more than the age of a copy from which the store is restored.
	goneRetention = time.Minute
)

// goneRun is a run of an endpoint whose entry was removed.
type goneRun struct {
	// started is the VM's Started, era the store's era at that time.
	started int64
	era     uint64
	at      time.Time
}

// heldEntry is an entry that an older copy of the store has brought back.
type heldEntry struct {
	vm    platform.VM
	until time.Time
}

// endpointDecoder decodes an endpoint's object in the store.
type endpointDecoder func(platform.Object) (platform.VM, error)

// inRegions returns a decoder that also sets the region of an endpoint's zone, if it is known.
func (s Settings) inRegions(decode endpointDecoder) endpointDecoder {
	return func(o platform.Object) (platform.VM, error) {
		vm, err := decode(o)
		vm.Region = s.Regions[vm.Zone]
		return vm, err
	}
}

// endpointSet is the set of registered endpoints. It is safe for concurrent use.
type endpointSet struct {
	decode endpointDecoder
	log    log.Interface
	// lastSilence returns the last silence of the store that this router has noticed. Optional.
	lastSilence func() contact.Silence
	// publish is called with the current set. publishMu makes sure that a later call never gets an older set.
	publish   func([]platform.VM)
	publishMu sync.Mutex

	mu         sync.Mutex
	registered map[string]platform.VM
	// removeAt maps entries that disappeared around an outage to the time at which they are removed.
	removeAt map[string]time.Time
	// graceUntil is the end of the grace time in which an entry that disappears may still come back.
	graceUntil time.Time
	loaded     bool
	// era is the store's newest era, gone the runs that were removed, and held the entries that came back in a later era.
	era  uint64
	gone map[string]goneRun
	held map[string]heldEntry
}

func newEndpointSet(decode endpointDecoder, logger log.Interface, publish func([]platform.VM)) *endpointSet {
	return &endpointSet{decode: decode, log: logger, publish: publish, registered: map[string]platform.VM{}, removeAt: map[string]time.Time{}, gone: map[string]goneRun{}, held: map[string]heldEntry{}}
}

// isLoaded reports whether a complete list has been read and published.
func (e *endpointSet) isLoaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// ReplaceAll implements feed.Consumer.
func (e *endpointSet) ReplaceAll(objects []platform.Object, sinceContact time.Duration) {
	e.mu.Lock()
	now := time.Now()
	era := e.era
	for _, o := range objects {
		era = max(era, platform.Era(o.Revision))
	}
	restored := e.loaded && era > e.era
	if sinceContact > graceOutageThreshold || restored {
		e.graceUntil = e.storeReturn(now, sinceContact).Add(reregistrationTime)
	}
	e.era = era
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Key] = true
		e.put(now, o, restored)
	}
	for key := range e.registered {
		if !listed[key] {
			e.remove(now, key)
		}
	}
	e.mu.Unlock()
	e.expireAndPublish()
	// Set last, because it makes the router ready, and requests are placed on published endpoints only.
	e.mu.Lock()
	e.loaded = true
	e.mu.Unlock()
}

// storeReturn returns the time at which the store answered this router again, for a list that is the feed's first contact for
// sinceContact. Live endpoints have registered again within reregistrationTime of it, however long the feed waited for a lost call.
func (e *endpointSet) storeReturn(now time.Time, sinceContact time.Duration) time.Time {
	if e.lastSilence != nil {
		if ended := e.lastSilence().Ended; ended.After(now.Add(-sinceContact)) && ended.Before(now) {
			return ended
		}
	}
	return now
}

// graceEnd returns the end of the grace time in which an entry that disappears may still come back. e.mu must be held.
func (e *endpointSet) graceEnd() time.Time {
	end := e.graceUntil
	if e.lastSilence == nil {
		return end
	}
	if s := e.lastSilence(); s.Length() > graceOutageThreshold && s.Ended.Add(reregistrationTime).After(end) {
		end = s.Ended.Add(reregistrationTime)
	}
	return end
}

// ApplyChanges implements feed.Consumer.
func (e *endpointSet) ApplyChanges(objects []platform.Object) {
	e.mu.Lock()
	now := time.Now()
	for _, o := range objects {
		if o.Deleted {
			e.remove(now, o.Key)
		} else {
			e.put(now, o, false)
		}
	}
	e.mu.Unlock()
	e.expireAndPublish()
}

// list returns the current set.
func (e *endpointSet) list() []platform.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.registered))
}

// slots returns the number of requests that the endpoint runs at once, 0 if it isn't known.
func (e *endpointSet) slots(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, vm := range e.registered {
		if vm.Name == name {
			return vm.MaxInFlight
		}
	}
	return 0
}

// put adds or updates the endpoint of an entry; restored is set if the entry may be from an older copy of the store. e.mu must be
// held.
func (e *endpointSet) put(now time.Time, o platform.Object, restored bool) {
	delete(e.removeAt, o.Key)
	vm, err := e.decode(o)
	if err != nil {
		// An invalid entry also ends the use of the endpoint that it named before.
		delete(e.registered, o.Key)
		delete(e.held, o.Key)
		e.log.WithFields(log.Fields{"key": o.Key, "revision": platform.FormatRevision(o.Revision)}).WithError(err).Warn("endpoint_entry_skipped")
		return
	}
	vm.ColdUntil = coldUntil(now, vm, e.registered[o.Key])
	vm.State = e.effectiveState(now, o, vm, restored)
	if old, ok := e.registered[o.Key]; !ok || old.State != vm.State || old.Address != vm.Address || old.Started != vm.Started {
		e.log.WithFields(log.Fields{
			"endpoint": vm.Name, "service": vm.Service, "state": string(vm.State), "address": vm.Address, "software": vm.Software, "revision": platform.FormatRevision(o.Revision),
		}).Info("endpoint_changed")
	}
	e.registered[o.Key] = vm
}

// effectiveState returns the state in which an entry's endpoint is used. An endpoint that leaves stays so for the rest of its run,
// and one that was gone is used again only if its entry was written since or doesn't lapse. e.mu must be held.
func (e *endpointSet) effectiveState(now time.Time, o platform.Object, vm platform.VM, restored bool) platform.VMState {
	_, wasHeld := e.held[o.Key]
	delete(e.held, o.Key)
	old, registered := e.registered[o.Key]
	gone, wasGone := e.gone[o.Key]
	switch {
	case vm.State == platform.VMLeaving:
	case registered && !wasHeld && old.State == platform.VMLeaving && old.Started == vm.Started:
		return platform.VMLeaving
	case restored && !registered && wasGone && gone.started == vm.Started && gone.era < platform.Era(o.Revision) && now.Sub(gone.at) < goneRetention:
		e.held[o.Key] = heldEntry{vm: vm, until: now.Add(restoredHold)}
		return platform.VMLeaving
	}
	return vm.State
}

// remove removes an endpoint at once, or after the grace time that follows an outage of the store. Endpoints that are
// leaving get no grace time. e.mu must be held.
func (e *endpointSet) remove(now time.Time, key string) {
	vm, ok := e.registered[key]
	if !ok {
		return
	}
	if end := e.graceEnd(); now.Before(end) && vm.State != platform.VMLeaving {
		if _, inGrace := e.removeAt[key]; !inGrace {
			e.removeAt[key] = end
			e.log.WithField("endpoint", vm.Name).Info("endpoint_lapsed")
		}
		return
	}
	delete(e.registered, key)
	delete(e.removeAt, key)
	delete(e.held, key)
	for other, g := range e.gone {
		if now.Sub(g.at) > goneRetention {
			delete(e.gone, other)
		}
	}
	e.gone[key] = goneRun{started: vm.Started, era: e.era, at: now}
	e.log.WithField("endpoint", vm.Name).Info("endpoint_gone")
}

// expireAndPublish removes the entries whose grace time is over, releases those that were held, and publishes the set. It calls
// itself again when the next of these times ends.
func (e *endpointSet) expireAndPublish() {
	e.mu.Lock()
	now := time.Now()
	var next time.Time
	for key, deadline := range e.removeAt {
		if !now.Before(deadline) {
			e.remove(deadline, key)
			delete(e.removeAt, key)
			continue
		}
		if next.IsZero() || deadline.Before(next) {
			next = deadline
		}
	}
	for key, h := range e.held {
		if !now.Before(h.until) {
			e.registered[key] = h.vm
			delete(e.held, key)
			e.log.WithField("endpoint", h.vm.Name).Info("endpoint_released")
		} else if next.IsZero() || h.until.Before(next) {
			next = h.until
		}
	}
	e.mu.Unlock()
	e.publishMu.Lock()
	e.publish(e.list())
	e.publishMu.Unlock()
	if !next.IsZero() {
		time.AfterFunc(next.Sub(now)+time.Millisecond, e.expireAndPublish)
	}
}
