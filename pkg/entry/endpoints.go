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
	// graceOutageThreshold is the time without contact to the store after which entries may have lapsed although their
	// endpoints are alive: an entry lapses after three missed heartbeats at intervals of 1.2 s, and the first of them
	// may have been due as the outage began.
	graceOutageThreshold = 2400 * time.Millisecond
	// reregistrationTime is the time within which live endpoints register again once the store is back. An entry that
	// is still missing then is removed.
	reregistrationTime = 2100 * time.Millisecond
)

// endpointDecoder decodes an endpoint's object in the store.
type endpointDecoder func(platform.Object) (platform.VM, error)

// endpointSet is the set of registered endpoints. It is safe for concurrent use.
type endpointSet struct {
	decode endpointDecoder
	log    log.Interface
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
}

func newEndpointSet(decode endpointDecoder, logger log.Interface, publish func([]platform.VM)) *endpointSet {
	return &endpointSet{decode: decode, log: logger, publish: publish, registered: map[string]platform.VM{}, removeAt: map[string]time.Time{}}
}

// isLoaded reports whether a complete list has been read.
func (e *endpointSet) isLoaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// ReplaceAll implements feed.Consumer.
func (e *endpointSet) ReplaceAll(objects []platform.Object, sinceContact time.Duration) {
	e.mu.Lock()
	now := time.Now()
	if sinceContact > graceOutageThreshold {
		e.graceUntil = now.Add(reregistrationTime)
	}
	e.loaded = true
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Key] = true
		e.put(o)
	}
	for key := range e.registered {
		if !listed[key] {
			e.remove(now, key)
		}
	}
	e.mu.Unlock()
	e.expireAndPublish()
}

// ApplyChanges implements feed.Consumer.
func (e *endpointSet) ApplyChanges(objects []platform.Object) {
	e.mu.Lock()
	now := time.Now()
	for _, o := range objects {
		if o.Deleted {
			e.remove(now, o.Key)
		} else {
			e.put(o)
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

// put adds or updates the endpoint of an entry. e.mu must be held.
func (e *endpointSet) put(o platform.Object) {
	delete(e.removeAt, o.Key)
	vm, err := e.decode(o)
	if err != nil {
		// An invalid entry also ends the use of the endpoint that it named before.
		delete(e.registered, o.Key)
		e.log.WithFields(log.Fields{"key": o.Key, "revision": platform.FormatRevision(o.Revision)}).WithError(err).Warn("endpoint_entry_skipped")
		return
	}
	if old, ok := e.registered[o.Key]; !ok || old.State != vm.State || old.Address != vm.Address || old.Started != vm.Started {
		e.log.WithFields(log.Fields{
			"endpoint": vm.Name, "service": vm.Service, "state": string(vm.State), "address": vm.Address, "revision": platform.FormatRevision(o.Revision),
		}).Info("endpoint_changed")
	}
	e.registered[o.Key] = vm
}

// remove removes an endpoint at once, or after the grace time that follows an outage of the store. Endpoints that are
// leaving get no grace time. e.mu must be held.
func (e *endpointSet) remove(now time.Time, key string) {
	vm, ok := e.registered[key]
	if !ok {
		return
	}
	if now.Before(e.graceUntil) && vm.State != platform.VMLeaving {
		if _, inGrace := e.removeAt[key]; !inGrace {
			e.removeAt[key] = e.graceUntil
			e.log.WithField("endpoint", vm.Name).Info("endpoint_lapsed")
		}
		return
	}
	delete(e.registered, key)
	delete(e.removeAt, key)
	e.log.WithField("endpoint", vm.Name).Info("endpoint_gone")
}

// expireAndPublish removes the entries whose grace time is over and publishes the set. It calls itself again when the
// next grace time ends.
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
	e.mu.Unlock()
	e.publishMu.Lock()
	e.publish(e.list())
	e.publishMu.Unlock()
	if !next.IsZero() {
		time.AfterFunc(next.Sub(now)+time.Millisecond, e.expireAndPublish)
	}
}
