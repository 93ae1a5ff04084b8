package config

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain makes rapid deterministic unless the command line says otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	isSet := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if !isSet[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

func entry(key string, revision uint64) Entry {
	return Entry{Key: key, Revision: revision, Value: []byte(fmt.Sprint(revision))}
}

// Guards against a store that replaces a version by an older one, whatever entries arrive and in whatever order.
func TestStoreNeverRevertsToOlderVersion(t *testing.T) {
	s := NewStore()
	must.Len(t, 1, s.Merge([]Entry{entry("config/class/a", 5)}))
	must.Len(t, 0, s.Merge([]Entry{entry("config/class/a", 4), entry("config/class/a", 5)}))
	must.Len(t, 1, s.Merge([]Entry{{Key: "config/class/a", Revision: 7, Deleted: true}}))
	must.Len(t, 0, s.Merge([]Entry{entry("config/class/a", 6)}))
	must.Len(t, 0, s.MergeComplete([]Entry{entry("config/class/a", 6)}, 6))
	must.Len(t, 0, s.List(Prefix))
	must.Len(t, 1, s.Merge([]Entry{entry("config/class/a", 8)}))

	// A complete set shows deletions up to its revision only.
	must.Len(t, 1, s.MergeComplete([]Entry{entry("config/class/b", 7)}, 7))
	must.Len(t, 2, s.List(Prefix))
	must.Len(t, 1, s.MergeComplete([]Entry{entry("config/class/b", 7)}, 9))
	must.Len(t, 1, s.List(Prefix))
	// A version at or below the floor whose key is not known was deleted.
	must.Len(t, 0, s.Merge([]Entry{entry("config/class/c", 9)}))
	must.Len(t, 1, s.Merge([]Entry{entry("config/class/c", 10)}))
}

// platformModel is the history of a platform: the version of each key at each revision.
type platformModel struct {
	revision uint64
	live     map[string]uint64
	history  []Entry
}

// changeRandomKey writes or deletes an object.
func (m *platformModel) changeRandomKey(rt *rapid.T) {
	m.revision++
	key := fmt.Sprintf("config/class/%d", rapid.IntRange(0, 4).Draw(rt, "key"))
	e := Entry{Key: key, Revision: m.revision, Deleted: m.live[key] != 0 && rapid.Bool().Draw(rt, "delete")}
	m.live[key] = m.revision
	if e.Deleted {
		delete(m.live, key)
	} else {
		e.Value = []byte("{}")
	}
	m.history = append(m.history, e)
}

// list returns all objects that are not deleted.
func (m *platformModel) list() []Entry {
	var all []Entry
	for key, revision := range m.live {
		all = append(all, Entry{Key: key, Revision: revision, Value: []byte("{}")})
	}
	return all
}

// newestVersion returns the newest version of the key with a revision up to limit.
func (m *platformModel) newestVersion(key string, limit uint64) Entry {
	var newest Entry
	for _, e := range m.history {
		if e.Key == key && e.Revision <= limit {
			newest = e
		}
	}
	return newest
}

func (m *platformModel) isDeletedAfter(key string, revision uint64) bool {
	for _, e := range m.history {
		if e.Key == key && e.Revision > revision && e.Deleted {
			return true
		}
	}
	return false
}

// Guards against a floor above the changes that the store has, revisions that decrease, deleted objects that reappear,
// and stores that differ in the end, under random watches, lists, stale pushes and exchanges.
func TestStoresAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &platformModel{live: map[string]uint64{}}
		stores := []*Store{NewStore(), NewStore(), NewStore()}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(stores)-1).Draw(rt, "store")
			before := stores[i].Summary()
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1:
				m.changeRandomKey(rt)
			case 2:
				stores[i].MergeList(m.list(), m.revision)
			case 3:
				if before.Loaded {
					stores[i].Advance(m.history[min(int(before.Floor), len(m.history)):], m.revision)
				}
			case 4:
				if len(m.history) > 0 {
					stores[i].Merge([]Entry{m.history[rapid.IntRange(0, len(m.history)-1).Draw(rt, "stale")]})
				}
			case 5:
				exchange(stores[i], stores[(i+1)%len(stores)])
			}
			must.GreaterEq(rt, before.Floor, stores[i].Summary().Floor)
			checkStore(rt, m, stores[i])
		}
		stores[0].MergeList(m.list(), m.revision)
		for range 2 {
			exchange(stores[1], stores[0])
			exchange(stores[2], stores[1])
		}
		for _, s := range stores {
			must.Eq(rt, len(m.live), len(s.List(Prefix)))
			must.Eq(rt, stores[0].Summary(), s.Summary())
		}
	})
}

// checkStore compares what a loaded store holds with the platform's state at its floor.
func checkStore(rt *rapid.T, m *platformModel, s *Store) {
	sum := s.Summary()
	if !sum.Loaded {
		return
	}
	for i := range 5 {
		key := fmt.Sprintf("config/class/%d", i)
		want := m.newestVersion(key, sum.Floor)
		got, known := s.Lookup(key)
		live := known && !got.Deleted
		if live {
			must.GreaterEq(rt, want.Revision, got.Revision)
			must.False(rt, m.newestVersion(key, got.Revision).Deleted)
		} else if want.Revision != 0 && !want.Deleted {
			// The object exists at the floor but not in the store: it must have been deleted later, and the store got the
			// tombstone ahead of its floor.
			must.True(rt, m.isDeletedAfter(key, sum.Floor))
		}
	}
}

// exchange merges into one store the entries that it is missing from another one.
func exchange(asking, answering *Store) {
	session := asking.newPullSession(true)
	for session.handlePage(answering.Answer(session.request())) {
	}
}

// Guards against an exchange that loses entries at the end of a page.
func TestExchangePages(t *testing.T) {
	full, empty := NewStore(), NewStore()
	var entries []Entry
	for i := range 3*maxPageEntries + 7 {
		entries = append(entries, entry(fmt.Sprintf("config/organisation/%05d", i), uint64(i+1)))
	}
	full.MergeComplete(entries, uint64(len(entries)))
	// A list can show many deletions at one revision; they must not be split between pages.
	full.MergeComplete(entries[:100], uint64(len(entries)+1))
	full.MergeComplete(append(entries[:100:100], entry("config/class/a", uint64(len(entries)+2))), uint64(len(entries)+2))
	exchange(empty, full)
	must.Eq(t, full.Summary(), empty.Summary())
	behind := NewStore()
	behind.MergeComplete(entries, uint64(len(entries)))
	exchange(behind, full)
	must.Eq(t, full.Summary(), behind.Summary())
}

// Guards against deletions that a peer misses because their tombstones were dropped, and against a store that keeps
// all tombstones for ever.
func TestDroppedTombstones(t *testing.T) {
	s, behind := NewStore(), NewStore()
	revision := uint64(0)
	next := func() uint64 { revision++; return revision }
	keep, lost := entry("config/class/keep", next()), entry("config/class/lost", next())
	behind.MergeComplete([]Entry{keep, lost}, revision)
	s.MergeComplete([]Entry{keep, lost}, revision)
	s.Advance([]Entry{{Key: lost.Key, Revision: next(), Deleted: true}}, revision)
	for i := range 2 * maxTombstones {
		key := fmt.Sprintf("config/class/%d", i)
		s.Advance([]Entry{entry(key, next())}, revision)
		s.Advance([]Entry{{Key: key, Revision: next(), Deleted: true}}, revision)
	}
	must.LessEq(t, maxTombstones+1, len(s.records))
	must.Len(t, 0, s.Merge([]Entry{lost}))
	exchange(behind, s)
	must.Len(t, 1, behind.List(Prefix))
	must.Eq(t, s.Summary(), behind.Summary())
}

// Guards against a store that needs more than the 64 MiB allowed for the configuration expected in two years: 23,000
// organisations with two keys each.
func TestMemoryOfLargeConfiguration(t *testing.T) {
	const organisations, keysEach = 23_000, 2
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := NewStore()
	fillStore(s, organisations, keysEach)
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := int(after.HeapAlloc) - int(before.HeapAlloc)
	t.Logf("%d organisations with %d keys each: %.1f MB, %d bytes per object", organisations, keysEach, float64(bytes)/1e6, bytes/(organisations*(keysEach+1)))
	must.Less(t, 64<<20, bytes)
	_, found := s.Organisation("org-00007")
	must.True(t, found)
	runtime.KeepAlive(s)
}

// fillStore merges organisations with keysEach keys each into the store.
func fillStore(s *Store, organisations, keysEach int) {
	entries := make([]Entry, 0, organisations*(keysEach+1))
	for i := range organisations {
		id := fmt.Sprintf("org-%05d", i)
		entries = append(entries, Entry{Key: OrganisationPrefix + id, Revision: uint64(len(entries) + 1), Value: []byte(`{"id":"` + id + `","default_class":"reply","max_in_flight":200}`)})
		for k := range keysEach {
			hash := fmt.Sprintf("%064x", i*keysEach+k)
			entries = append(entries, Entry{Key: KeyPrefix + hash, Revision: uint64(len(entries) + 1), Value: []byte(`{"sha256":"` + hash + `","organisation":"` + id + `","budget":"main"}`)})
		}
	}
	s.MergeComplete(entries, uint64(len(entries)))
}
