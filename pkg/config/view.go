package config

import "encoding/json"

// Key prefixes of the kinds of objects.
const (
	ClassPrefix        = Prefix + "class/"
	OrganisationPrefix = Prefix + "organisation/"
	KeyPrefix          = Prefix + "key/"
	VMPrefix           = Prefix + "vm/"
	PlacementPrefix    = Prefix + "placement/"
)

var _ View = (*Store)(nil)

// Loaded reports whether a complete configuration was received from the platform or a peer.
func (s *Store) Loaded() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loaded
}

// Class returns the class with the given name.
func (s *Store) Class(name string) (Class, bool) { return lookup[Class](s, ClassPrefix+name) }

// Organisation returns the organisation with the given id.
func (s *Store) Organisation(id string) (Organisation, bool) {
	return lookup[Organisation](s, OrganisationPrefix+id)
}

// Key returns the key whose text has the given SHA-256, in hex.
func (s *Store) Key(sha256Hex string) (Key, bool) { return lookup[Key](s, KeyPrefix+sha256Hex) }

// Mark returns an operator's declaration whether a VM is leaving.
func (s *Store) Mark(vm string) (VMMark, bool) { return lookup[VMMark](s, VMPrefix+vm) }

// Leaving reports whether an operator marked the VM as leaving.
func (s *Store) Leaving(vm string) bool {
	mark, ok := s.Mark(vm)
	return ok && mark.Leaving
}

// Marks returns the declarations for all VMs, sorted by VM.
func (s *Store) Marks() []VMMark {
	var marks []VMMark
	for _, e := range s.List(VMPrefix) {
		if mark, ok := s.Mark(e.Key[len(VMPrefix):]); ok {
			marks = append(marks, mark)
		}
	}
	return marks
}

// Placements returns the placements of all engines that have one, by VM.
func (s *Store) Placements() map[string]Placement {
	placements := map[string]Placement{}
	for _, e := range s.List(PlacementPrefix) {
		if p, ok := lookup[Placement](s, e.Key); ok {
			placements[e.Key[len(PlacementPrefix):]] = p
		}
	}
	return placements
}

// lookup returns the typed value of a key. Values are decoded at their first use, because a router serves only some
// of the organisations and a typed copy of all of them would add to its memory.
func lookup[T any](s *Store, key string) (T, bool) {
	s.mu.RLock()
	r, ok := s.records[key]
	if !ok || r.deleted {
		s.mu.RUnlock()
		var zero T
		return zero, false
	}
	decoded, value, revision := r.decoded, r.value, r.revision
	s.mu.RUnlock()
	if typed, ok := decoded.(T); ok {
		return typed, true
	}
	var typed T
	if err := json.Unmarshal(value, &typed); err != nil {
		return typed, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.revision == revision && !r.deleted {
		r.decoded = typed
	}
	return typed, true
}
