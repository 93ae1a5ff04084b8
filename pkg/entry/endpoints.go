package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// lapseAfter is the time without contact to the store after which entries may have lapsed although their endpoints
	// are alive: they lapse after three missed heartbeats of 1.2 s, the first of which may have been due at once.
	lapseAfter = 2400 * time.Millisecond
	// returnWithin is the time within which endpoints that are alive register again once the store is back. An entry
	// that is still missing then is taken as gone.
	returnWithin = 2100 * time.Millisecond
)

// decodeEndpoint decodes an endpoint's object.
type decodeEndpoint func(platform.Object) (platform.VM, error)

// endpoints is the set of registered endpoints.
type endpoints struct {
	decode decodeEndpoint
	log    log.Interface
	// publish takes the present set; publishing keeps calls in the order of the sets.
	publish    func([]platform.VM)
	publishing sync.Mutex

	mu    sync.Mutex
	known map[string]platform.VM
	// lapsed maps entries that disappeared around an outage to the time at which they are taken as gone.
	lapsed map[string]time.Time
	// graceUntil is the end of the time in which a disappearing entry may come back.
	graceUntil time.Time
	loaded     bool
}

func newEndpoints(decode decodeEndpoint, logger log.Interface, publish func([]platform.VM)) *endpoints {
	return &endpoints{decode: decode, log: logger, publish: publish, known: map[string]platform.VM{}, lapsed: map[string]time.Time{}}
}

// ready reports whether a list has been read.
func (e *endpoints) ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// ReplaceAll implements feed.Consumer.
func (e *endpoints) ReplaceAll(objects []platform.Object, sinceContact time.Duration) {
	e.mu.Lock()
	now := time.Now()
	if sinceContact > lapseAfter {
		e.graceUntil = now.Add(returnWithin)
	}
	e.loaded = true
	seen := make(map[string]bool, len(objects))
	for _, o := range objects {
		seen[o.Key] = true
		e.set(o)
	}
	for key := range e.known {
		if !seen[key] {
			e.remove(now, key)
		}
	}
	e.mu.Unlock()
	e.refresh()
}

// ApplyChanges implements feed.Consumer.
func (e *endpoints) ApplyChanges(objects []platform.Object) {
	e.mu.Lock()
	now := time.Now()
	for _, o := range objects {
		if o.Deleted {
			e.remove(now, o.Key)
		} else {
			e.set(o)
		}
	}
	e.mu.Unlock()
	e.refresh()
}

// current returns the present set.
func (e *endpoints) current() []platform.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.known))
}

func (e *endpoints) set(o platform.Object) {
	delete(e.lapsed, o.Key)
	vm, err := e.decode(o)
	if err != nil {
		// The entry names no endpoint to use, whatever stood there before.
		delete(e.known, o.Key)
		e.log.WithFields(log.Fields{"key": o.Key, "revision": o.Revision}).WithError(err).Warn("endpoint_entry_skipped")
		return
	}
	if old, ok := e.known[o.Key]; !ok || old.State != vm.State || old.Address != vm.Address || old.Started != vm.Started {
		e.log.WithFields(log.Fields{
			"endpoint": vm.Name, "service": vm.Service, "state": string(vm.State), "address": vm.Address, "revision": o.Revision,
		}).Info("endpoint_changed")
	}
	e.known[o.Key] = vm
}

// remove takes an endpoint out, at once or at the end of the grace time after an outage of the store.
func (e *endpoints) remove(now time.Time, key string) {
	vm, ok := e.known[key]
	if !ok {
		return
	}
	if now.Before(e.graceUntil) && vm.State != platform.VMLeaving {
		if _, waiting := e.lapsed[key]; !waiting {
			e.lapsed[key] = e.graceUntil
			e.log.WithField("endpoint", vm.Name).Info("endpoint_lapsed")
		}
		return
	}
	delete(e.known, key)
	delete(e.lapsed, key)
	e.log.WithField("endpoint", vm.Name).Info("endpoint_gone")
}

// refresh ends the grace time of lapsed entries and publishes the set.
func (e *endpoints) refresh() {
	e.mu.Lock()
	now := time.Now()
	var next time.Time
	for key, until := range e.lapsed {
		if !now.Before(until) {
			e.remove(until, key)
			delete(e.lapsed, key)
			continue
		}
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	e.mu.Unlock()
	e.publishing.Lock()
	e.publish(e.current())
	e.publishing.Unlock()
	if !next.IsZero() {
		time.AfterFunc(next.Sub(now)+time.Millisecond, e.refresh)
	}
}
