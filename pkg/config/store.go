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

// maxTombstones limits the tombstones that a store keeps. Older ones are covered by the floor: a peer whose floor
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

// Store keeps the newest version of each configuration object and never replaces it by an older one. It implements
// View and is safe for concurrent use.
//
// The floor is the revision up to which the store has every change. It comes from the platform, or from a peer with
// a complete state. A version at or below the floor that the store does not have was replaced or deleted, and is
// rejected, whether or not a tombstone is kept.
type Store struct {
	mu         sync.RWMutex
	records    map[string]*record
	hash       uint64
	floor      uint64
	loaded     bool
	tombstones int
	// droppedRevision is the revision up to which tombstones may be missing: they were dropped, or the object was
	// created and deleted before this store listed.
	droppedRevision uint64
	// newestRevision is the highest accepted revision.
	newestRevision uint64
	// acceptedCount counts the accepted versions of objects.
	acceptedCount int64
	// changed is closed at the next change.
	changed chan struct{}
}

// NewStore returns an empty store, which is not loaded.
func NewStore() *Store {
	return &Store{records: map[string]*record{}, changed: make(chan struct{})}
}

// Summary describes the content of a store for comparison with another one.
type Summary struct {
	// Hash covers the keys and revisions of all objects that are not deleted.
	Hash   uint64
	Floor  uint64
	Loaded bool
}

// Summary returns the store's current summary.
func (s *Store) Summary() Summary {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Summary{Hash: s.hash, Floor: s.floor, Loaded: s.loaded}
}

// AcceptedCount returns the number of versions of objects that the store has accepted from operators, the platform
// and peers.
func (s *Store) AcceptedCount() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.acceptedCount
}

// Merge stores the entries that are newer than the known versions and returns them.
func (s *Store) Merge(entries []Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var accepted []Entry
	for _, e := range entries {
		if s.mergeEntry(e, false) {
			accepted = append(accepted, e)
		}
	}
	s.finishMerge(len(accepted) > 0)
	return accepted
}

// MergeList merges a list from the platform that is complete at the given revision. It returns the changes.
func (s *Store) MergeList(entries []Entry, revision uint64) []Entry {
	return s.mergeComplete(entries, revision, true)
}

// MergeComplete merges the complete answer of a peer, which holds every object as of revision floor or newer. It
// returns the changes.
func (s *Store) MergeComplete(entries []Entry, floor uint64) []Entry {
	return s.mergeComplete(entries, floor, false)
}

// mergeComplete merges a complete set of objects. Known objects at or below floor that are absent from the set were
// deleted; they get a tombstone. A list from the platform may correct versions at or below the store's own floor, which
// should never be needed.
func (s *Store) mergeComplete(entries []Entry, floor uint64, fromPlatform bool) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedRevision = max(s.droppedRevision, floor)
	allowBelowFloor := fromPlatform && floor >= s.floor
	present := make(map[string]bool, len(entries))
	var accepted []Entry
	for _, e := range entries {
		present[e.Key] = !e.Deleted
		if s.mergeEntry(e, allowBelowFloor) {
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
	s.finishMerge(len(accepted) > 0)
	return accepted
}

// Advance merges the changes of a watch that is complete up to the given revision, and raises the floor of a loaded
// store to it. It returns the changes.
func (s *Store) Advance(entries []Entry, complete uint64) []Entry {
	accepted := s.Merge(entries)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		s.raiseFloor(complete)
	}
	return accepted
}

// mergeEntry merges one entry and reports whether it was accepted. allowBelowFloor accepts a version at or below the
// floor. The caller holds the lock.
func (s *Store) mergeEntry(e Entry, allowBelowFloor bool) bool {
	r, known := s.records[e.Key]
	if known && e.Revision <= r.revision {
		return false
	}
	if s.loaded && e.Revision <= s.floor && !allowBelowFloor {
		return false
	}
	if !known {
		r = &record{deleted: true}
		s.records[e.Key] = r
		s.tombstones++
	}
	return s.replace(e, r)
}

// replace stores a newer version in r and updates the hash and the number of tombstones. It always returns true. The
// caller holds the lock.
func (s *Store) replace(e Entry, r *record) bool {
	if !r.deleted {
		s.hash ^= versionHash(e.Key, r.revision)
	} else {
		s.tombstones--
	}
	s.newestRevision = max(s.newestRevision, e.Revision)
	s.acceptedCount++
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

// finishMerge limits the tombstones and closes the channel of Changed if there was a change. The caller holds the lock.
func (s *Store) finishMerge(changed bool) {
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
		s.droppedRevision = max(s.droppedRevision, t.revision)
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
