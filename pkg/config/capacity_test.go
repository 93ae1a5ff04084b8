package config

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

// organisationEntries returns a configuration of n organisations with one key each.
func organisationEntries(n int) []Entry {
	entries := make([]Entry, 0, 2*n)
	for i := range n {
		id, hash := fmt.Sprintf("organisation-%05d", i), fmt.Sprintf("%064x", i)
		entries = append(entries, Entry{
			Key: OrganisationPrefix + id, Revision: uint64(2*i + 1),
			Value: []byte(fmt.Sprintf(`{"id":%q,"default_class":"briefing","max_in_flight":64}`, id)),
		}, Entry{
			Key: KeyPrefix + hash, Revision: uint64(2*i + 2),
			Value: []byte(fmt.Sprintf(`{"sha256":%q,"organisation":%q,"budget":"budget-%06d"}`, hash, id, i)),
		})
	}
	return entries
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Guards the memory of a router against a configuration that needs more than 2 KB for an organisation and its key;
// docs/CAPACITY.md uses the figures.
func TestOrganisationMemory(t *testing.T) {
	for _, n := range []int{1000, 5000, 23000} {
		before := heapBytes()
		store := NewStore()
		store.MergeList(organisationEntries(n), uint64(2*n))
		stored := heapBytes() - before
		for i := range n {
			_, ok := store.Organisation(fmt.Sprintf("organisation-%05d", i))
			must.True(t, ok)
			_, ok = store.Key(fmt.Sprintf("%064x", i))
			must.True(t, ok)
		}
		used := heapBytes() - before
		runtime.KeepAlive(store)
		t.Logf("%d organisations with a key each: %.0f B each, %.0f B each after use", n, stored/float64(n), used/float64(n))
		must.Less(t, 2048, used/float64(n))
	}
}
