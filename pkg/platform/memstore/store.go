// Package memstore is an in-memory stand-in for the platform's object API and VM list, with fault injection and an
// HTTP server.
package memstore

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Defaults of Options.
const (
	// DefaultWritesPerSecond and DefaultReadsPerSecond are the rates that the platform sustains.
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// DefaultHistory is the number of changes that Poll can look back.
	DefaultHistory = 4096
	// maxHistoryBytes bounds the total size of the values in the history: with values of up to 1 MB, DefaultHistory
	// changes would need gigabytes.
	maxHistoryBytes = 64 << 20
)

// Options configures a Store. Zero values mean the defaults.
type Options struct {
	// Clock is the source of time; default is the system's.
	Clock standin.Clock
	// WritesPerSecond and ReadsPerSecond limit the calls of all clients together; negative means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// History is the number of changes that Poll can look back.
	History int
	// VMLag is the time after which a change of the VM list becomes visible.
	VMLag time.Duration
	// Seed is the seed of the random numbers for Fault.Probability.
	Seed uint64
}

// Counters counts calls by kind since the start. Calls that are throttled or fail count too.
type Counters struct {
	// Reads counts Get, Writes counts Put and Delete.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	Lists  uint64 `json:"lists"`
	Polls  uint64 `json:"polls"`
	// VMLists counts calls of VMs.
	VMLists   uint64 `json:"vm_lists"`
	Throttled uint64 `json:"throttled"`
}

// Store holds the platform's objects, VM list, rate limits and faults. Client returns a platform.Store for one
// client. A Store is safe for concurrent use.
type Store struct {
	clock      standin.Clock
	vmLag      time.Duration
	maxHistory int

	mu sync.Mutex
	// revision is the newest one, with the store's era.
	revision uint64
	objects  map[string]platform.Object
	history  []platform.Object
	// trimmedRevision is the revision of the newest change that was removed from the history.
	trimmedRevision uint64
	historyBytes    int
	// changed is closed and replaced at each change of objects or faults.
	changed     chan struct{}
	writes      *Bucket
	reads       *Bucket
	counters    Counters
	faults      []Fault
	lastFaultID int
	random      *rand.Rand
	vmLists     []vmList
	// lastVMVersion is, by client id, the newest version of the VM list that the client received.
	lastVMVersion map[string]int
}

// New returns an empty store.
func New(options Options) *Store {
	if options.Clock == nil {
		options.Clock = standin.SystemClock{}
	}
	if options.WritesPerSecond == 0 {
		options.WritesPerSecond = DefaultWritesPerSecond
	}
	if options.ReadsPerSecond == 0 {
		options.ReadsPerSecond = DefaultReadsPerSecond
	}
	if options.History == 0 {
		options.History = DefaultHistory
	}
	now := options.Clock.Now()
	return &Store{
		clock:         options.Clock,
		vmLag:         options.VMLag,
		maxHistory:    options.History,
		objects:       map[string]platform.Object{},
		changed:       make(chan struct{}),
		writes:        NewBucket(options.WritesPerSecond, now),
		reads:         NewBucket(options.ReadsPerSecond, now),
		random:        rand.New(rand.NewPCG(options.Seed, 0)),
		lastVMVersion: map[string]int{},
	}
}

// Client returns a platform.Store for the client with the given id.
func (s *Store) Client(id string) platform.Store {
	return &client{store: s, id: id}
}

// Counters returns the number of calls by kind since the start.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Copy is the content of a Store at one moment.
type Copy struct {
	revision, trimmedRevision uint64
	objects                   map[string]platform.Object
	history                   []platform.Object
}

// Copy returns a copy of the objects and of their history.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, trimmedRevision: s.trimmedRevision, objects: maps.Clone(s.objects), history: slices.Clone(s.history)}
}

// Restore replaces the objects by those of an older copy and begins a new era. Numbers of revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := platform.Era(s.revision) + 1
	inEra := func(revision uint64) uint64 { return platform.NewRevision(era, platform.RevisionNumber(revision)) }
	s.revision, s.trimmedRevision = inEra(c.revision), inEra(c.trimmedRevision)
	s.objects = make(map[string]platform.Object, len(c.objects))
	for key, object := range c.objects {
		object.Revision = inEra(object.Revision)
		s.objects[key] = object
	}
	s.history, s.historyBytes = slices.Clone(c.history), 0
	for i := range s.history {
		s.history[i].Revision = inEra(s.history[i].Revision)
		s.historyBytes += len(s.history[i].Value)
	}
	s.broadcast()
}

// Era returns the number of times that the store was restored from a copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Era(s.revision)
}

// broadcast makes pending polls check for changes and faults again. The caller holds mu.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply stores the object at a new revision and returns it. The caller holds mu.
func (s *Store) apply(object platform.Object) platform.Object {
	s.revision++
	object.Revision = s.revision
	if object.Deleted {
		delete(s.objects, object.Key)
	} else {
		s.objects[object.Key] = object
	}
	s.history = append(s.history, object)
	s.historyBytes += len(object.Value)
	for len(s.history) > s.maxHistory || (s.historyBytes > maxHistoryBytes && len(s.history) > 1) {
		s.trimmedRevision = s.history[0].Revision
		s.historyBytes -= len(s.history[0].Value)
		s.history[0] = platform.Object{}
		s.history = s.history[1:]
	}
	s.broadcast()
	return object
}

// write checks the revision and applies the change. With FaultLost it returns ErrUncertain after the change took
// effect.
func (s *Store) write(id string, object platform.Object, ifRevision uint64) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[object.Key]
	if current.Revision != ifRevision || (object.Deleted && !exists) {
		return platform.Object{}, fmt.Errorf("%w: %s is at revision %d, not %d", platform.ErrConflict, object.Key, current.Revision, ifRevision)
	}
	stored := s.apply(object)
	if s.consumeFault(FaultLost, id) {
		return platform.Object{}, platform.ErrUncertain
	}
	return clone(stored), nil
}

// changes returns the history below prefix after the given revision. The caller holds mu.
func (s *Store) changes(prefix string, after uint64) ([]platform.Object, error) {
	if after < s.trimmedRevision || after > s.revision || platform.Era(after) != platform.Era(s.revision) {
		return nil, platform.ErrGap
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var found []platform.Object
	for _, object := range s.history[first:] {
		if strings.HasPrefix(object.Key, prefix) {
			found = append(found, clone(object))
		}
	}
	return found, nil
}

// list returns the objects below prefix, sorted by key, and the store's revision.
func (s *Store) list(prefix string) ([]platform.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, clone(object))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.revision
}

// clone copies the value, so that a caller can't change the store's copy.
func clone(object platform.Object) platform.Object {
	object.Value = bytes.Clone(object.Value)
	return object
}

// waitForChange waits until objects or faults change, d has passed or ctx ends. It reports whether there was a change.
func (s *Store) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	sleepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		_ = s.clock.Sleep(sleepCtx, d)
	}()
	select {
	case <-changed:
		return true
	case <-expired:
		return false
	}
}
