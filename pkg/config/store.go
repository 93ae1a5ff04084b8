package config

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Prefix is the platform prefix of all configuration objects.
const Prefix = "config/"

// maxTombstones bounds the tombstones that a store keeps. Older ones are covered by the floor: a peer whose floor
// is below a dropped tombstone receives a complete snapshot instead of a difference.
const maxTombstones = 16384

// Entry is one version of a configuration object.
type Entry struct {
	Key      string
	Revision uint64
	Value    []byte
	Deleted  bool
}

// record is the newest known version of a key. decoded caches the typed value and is nil until it is used.
type record struct {
	revision uint64
	value    []byte
	deleted  bool
	decoded  any
}

// Store keeps the highest revision of each configuration object and never goes back. It implements View and is
// safe for concurrent use.
//
// The store knows every change up to its floor, a revision that it learns from the platform or from a peer with
// a complete state. A version at or below the floor that the store does not have was replaced or deleted, and is
// refused, whether or not a tombstone is kept.
type Store struct {
	mu         sync.RWMutex
	records    map[string]*record
	hash       uint64
	floor      uint64
	loaded     bool
	tombstones int
	// dropped is the revision up to which tombstones may be missing: they were no longer kept, or the object was
	// created and deleted before this store listed.
	dropped uint64
	// newest is the highest accepted revision.
	newest uint64
	// accepted counts the versions taken over.
	accepted int64
	changed  chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{records: map[string]*record{}, changed: make(chan struct{})}
}

// Summary describes the state of a store for a comparison with another one.
type Summary struct {
	// Hash covers the keys and revisions of all objects that are not deleted.
	Hash   uint64
	Floor  uint64
	Loaded bool
}

// Summary returns the present summary.
func (s *Store) Summary() Summary {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Summary{Hash: s.hash, Floor: s.floor, Loaded: s.loaded}
}

// Accepted returns the number of versions of objects that the store has taken over, from operators, the platform
// and peers.
func (s *Store) Accepted() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.accepted
}

// Merge takes over the entries that are newer than the known ones and returns those.
func (s *Store) Merge(entries []Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var accepted []Entry
	for _, e := range entries {
		if s.accept(e, false) {
			accepted = append(accepted, e)
		}
	}
	s.finish(len(accepted) > 0)
	return accepted
}

// MergeList takes over a list from the platform that is complete at the given revision. It returns the changes.
func (s *Store) MergeList(entries []Entry, revision uint64) []Entry {
	return s.mergeComplete(entries, revision, true)
}

// MergeComplete takes over the complete answer of a peer, which holds every object as of revision floor or newer. It
// returns the changes.
func (s *Store) MergeComplete(entries []Entry, floor uint64) []Entry {
	return s.mergeComplete(entries, floor, false)
}

// mergeComplete takes over a complete set of objects. Known objects at or below floor that the set lacks were deleted;
// they get a tombstone. The platform's list may correct the store below its own floor, which should never be needed.
func (s *Store) mergeComplete(entries []Entry, floor uint64, fromPlatform bool) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = max(s.dropped, floor)
	correct := fromPlatform && floor >= s.floor
	present := make(map[string]bool, len(entries))
	var accepted []Entry
	for _, e := range entries {
		present[e.Key] = !e.Deleted
		if s.accept(e, correct) {
			accepted = append(accepted, e)
		}
	}
	for key, r := range s.records {
		tombstone := Entry{Key: key, Revision: floor, Deleted: true}
		if !present[key] && !r.deleted && r.revision <= floor && s.replace(tombstone, r) {
			accepted = append(accepted, tombstone)
		}
	}
	s.raiseFloor(floor)
	s.finish(len(accepted) > 0)
	return accepted
}

// Advance takes over the changes of a watch that is complete up to the given revision.
func (s *Store) Advance(entries []Entry, complete uint64) []Entry {
	accepted := s.Merge(entries)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		s.raiseFloor(complete)
	}
	return accepted
}

// accept merges one entry. The caller holds the lock.
func (s *Store) accept(e Entry, belowFloor bool) bool {
	r, known := s.records[e.Key]
	if known && e.Revision <= r.revision {
		return false
	}
	if s.loaded && e.Revision <= s.floor && !belowFloor {
		return false
	}
	if !known {
		r = &record{deleted: true}
		s.records[e.Key] = r
		s.tombstones++
	}
	return s.replace(e, r)
}

// replace installs a newer version in r and keeps the hash and the number of tombstones.
func (s *Store) replace(e Entry, r *record) bool {
	if !r.deleted {
		s.hash ^= versionHash(e.Key, r.revision)
	} else {
		s.tombstones--
	}
	s.newest = max(s.newest, e.Revision)
	s.accepted++
	r.revision, r.value, r.deleted, r.decoded = e.Revision, e.Value, e.Deleted, nil
	if e.Deleted {
		r.value = nil
		s.tombstones++
	} else {
		s.hash ^= versionHash(e.Key, e.Revision)
	}
	return true
}

func (s *Store) raiseFloor(floor uint64) {
	s.loaded = true
	s.floor = max(s.floor, floor)
}

// finish bounds the tombstones and wakes the waiters. The caller holds the lock.
func (s *Store) finish(changed bool) {
	if s.tombstones > maxTombstones {
		s.dropTombstones()
	}
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// dropTombstones removes the older half of the tombstones that the floor covers.
func (s *Store) dropTombstones() {
	type tombstone struct {
		key      string
		revision uint64
	}
	var all []tombstone
	for key, r := range s.records {
		if r.deleted && r.revision <= s.floor {
			all = append(all, tombstone{key, r.revision})
		}
	}
	slices.SortFunc(all, func(a, b tombstone) int { return cmp.Compare(a.revision, b.revision) })
	for _, t := range all[:len(all)/2] {
		delete(s.records, t.key)
		s.tombstones--
		s.dropped = max(s.dropped, t.revision)
	}
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Lookup returns the newest known version of a key; it is a tombstone if the object was deleted.
func (s *Store) Lookup(key string) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.records[key]
	if !ok {
		return Entry{}, false
	}
	return Entry{Key: key, Revision: r.revision, Value: r.value, Deleted: r.deleted}, true
}

// List returns the objects below prefix that are not deleted, sorted by key.
func (s *Store) List(prefix string) []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var entries []Entry
	for key, r := range s.records {
		if !r.deleted && len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			entries = append(entries, Entry{Key: key, Revision: r.revision, Value: r.value})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

func versionHash(key string, revision uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, revision))
	return d.Sum64()
}
