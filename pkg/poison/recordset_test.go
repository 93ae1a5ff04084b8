package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const seed = 20261204

var start = time.Unix(1_800_000_000, 0)

// Guards against crash counts that depend on the order or the repetition of the records received.
func TestMergeIsOrderIndependent(t *testing.T) {
	f := Fingerprint{Organisation: "o", BodyHash: 1}
	var parts []Record
	for i := range 6 {
		parts = append(parts, Record{Fingerprint: f, Crashes: []Crash{{
			VM: fmt.Sprintf("e%d", i%3), Observer: fmt.Sprintf("r%d", i), At: start.Add(time.Duration(i) * time.Second),
		}}})
	}
	parts = append(parts, Record{Fingerprint: f, ClearedAt: start.Add(3500 * time.Millisecond)})
	rng := rand.New(rand.NewPCG(seed, 1))
	for range 200 {
		// A router that receives the record of a cleared request already has a crash of that request.
		set := NewRecordSet(isolatingRules)
		set.Merge(start, parts[0])
		for range 3 {
			rng.Shuffle(len(parts)-1, func(i, j int) { parts[1+i], parts[1+j] = parts[1+j], parts[1+i] })
			for _, p := range parts {
				set.Merge(start.Add(time.Minute), p)
			}
		}
		records := set.Records()
		must.Len(t, 1, records)
		must.Len(t, 6, records[0].Crashes)
		must.Eq(t, 2, records[0].countCrashes(start.Add(time.Minute), isolatingRules))
	}
}

// Guards against counting one crash more than once because several routers report it.
func TestOneCrashCountsOnce(t *testing.T) {
	f := Fingerprint{Organisation: "o", BodyHash: 1}
	set := NewRecordSet(isolatingRules)
	report := func(vm, observer string, at time.Duration) Status {
		set.Merge(start.Add(at), Record{Fingerprint: f, Crashes: []Crash{{VM: vm, Observer: observer, At: start.Add(at)}}})
		return set.Status(start.Add(at), f)
	}
	must.Eq(t, Suspect, report("e0", "r0", 0))
	must.Eq(t, Suspect, report("e0", "r0", 0))
	must.Eq(t, Suspect, report("e0", "r1", 2*time.Second))
	must.Eq(t, Stopped, report("e1", "r1", 3*time.Second))

	f.BodyHash = 2
	must.Eq(t, Suspect, report("e0", "r0", 0))
	must.Eq(t, Stopped, report("e0", "r0", 2*time.Second))
}

// Guards against memory use that grows without bound and against records that never expire.
func TestRecordSetIsBounded(t *testing.T) {
	set := NewRecordSet(isolatingRules)
	set.limit = 100
	for i := range 1000 {
		at := start.Add(time.Duration(i) * time.Second)
		for j := range 30 {
			crash := Crash{VM: fmt.Sprintf("e%d", j), Observer: "r", At: at}
			set.Merge(at, Record{Fingerprint: Fingerprint{BodyHash: uint64(i)}, Crashes: []Crash{crash}})
		}
	}
	must.Eq(t, 100, set.order.Len())
	must.MapLen(t, 100, set.records)
	must.Eq(t, Stopped, set.Status(start.Add(1000*time.Second), Fingerprint{BodyHash: 999}))
	for _, r := range set.Records() {
		must.LessEq(t, maxCrashesPerRecord, len(r.Crashes))
	}
	late := start.Add(1000*time.Second + Retention)
	must.Eq(t, Clear, set.Status(late, Fingerprint{BodyHash: 999}))
	set.Expire(late)
	must.MapEmpty(t, set.records)
}
