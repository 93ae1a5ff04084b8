package poison

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// Fingerprint identifies a request across retries and routers.
type Fingerprint struct {
	Organisation string
	BodyHash     uint64
}

// Crash is the end of an endpoint as observed by a router that had the request running there.
type Crash struct {
	VM       string
	Observer string
	At       time.Time
}

// Record holds the crashes of a fingerprint. Records merge by union of their crashes and the latest Cleared, so
// the order and repetition of merges have no effect.
type Record struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	// Cleared is the time of the last successful run; earlier crashes don't count.
	Cleared time.Time
}

// Status tells how a request must be treated.
type Status int

// Statuses of fingerprints.
const (
	// Clear requests run without restriction.
	Clear Status = iota
	// Suspect requests must be isolated.
	Suspect
	// Stopped requests must not run.
	Stopped
)

const (
	// stopAfter is the number of crashes after which a fingerprint is stopped.
	stopAfter = 2
	// sameCrash is the time within which reports of one VM by several routers are the same crash. It covers
	// differences in detection and in clocks. Clocks that differ by more make one crash count as two.
	sameCrash = 3 * time.Second
	// sameReport is the time within which reports of one VM by one router are the same crash. It is shorter, so
	// that an endpoint that restarts quickly and crashes again is counted.
	sameReport = time.Second
	// maxSkew is the largest difference between the clocks of two routers that is tolerated.
	maxSkew = 5 * time.Minute
	// maxCrashes bounds the crashes of a record; the latest are kept.
	maxCrashes = 16
	// Retention is the time after which a crash is forgotten.
	Retention = time.Hour
	// maxRecords bounds the records; the ones changed longest ago are dropped.
	maxRecords = 50_000
)

// RecordSet holds the crash records of a router. It is not safe for concurrent use.
type RecordSet struct {
	records map[Fingerprint]*list.Element
	// order lists the records, the last changed first.
	order *list.List
	limit int
}

// NewRecordSet returns an empty set.
func NewRecordSet() *RecordSet {
	return &RecordSet{records: map[Fingerprint]*list.Element{}, order: list.New(), limit: maxRecords}
}

// Status returns the status of the fingerprint.
func (b *RecordSet) Status(now time.Time, f Fingerprint) Status {
	element := b.records[f]
	if element == nil {
		return Clear
	}
	switch n := element.Value.(*Record).count(now); {
	case n >= stopAfter:
		return Stopped
	case n > 0:
		return Suspect
	}
	return Clear
}

// Counts returns the number of fingerprints that are suspects and that are stopped.
func (b *RecordSet) Counts(now time.Time) (suspects, stopped int) {
	for f := range b.records {
		switch b.Status(now, f) {
		case Suspect:
			suspects++
		case Stopped:
			stopped++
		}
	}
	return suspects, stopped
}

// count returns the number of distinct crashes that still count.
func (r *Record) count(now time.Time) int {
	n, first := 0, 0
	for i, c := range r.Crashes { // sorted by VM and time
		if !c.At.After(r.Cleared) || now.Sub(c.At) > Retention {
			first = i + 1
			continue
		}
		if !sameAs(c, r.Crashes[first:i]) {
			n++
			first = i
		}
	}
	return n
}

// sameAs reports whether the crash is the one that the reports before it describe.
func sameAs(c Crash, earlier []Crash) bool {
	if len(earlier) == 0 || c.VM != earlier[0].VM || c.At.Sub(earlier[0].At) > sameCrash {
		return false
	}
	return !slices.ContainsFunc(earlier, func(e Crash) bool {
		return e.Observer == c.Observer && c.At.Sub(e.At) > sameReport
	})
}

// Merge adds what the record knows and reports whether anything was new. Times more than maxSkew in the future,
// which only a wrong clock can produce, are ignored, so that no crash outlives its retention by more than that.
func (b *RecordSet) Merge(now time.Time, r Record) bool {
	r = b.trim(now, r)
	if len(r.Crashes) == 0 && r.Cleared.IsZero() {
		return false
	}
	element := b.records[r.Fingerprint]
	if element == nil {
		if len(r.Crashes) == 0 {
			return false
		}
		b.records[r.Fingerprint] = b.order.PushFront(&Record{Fingerprint: r.Fingerprint})
		element = b.records[r.Fingerprint]
	}
	own := element.Value.(*Record)
	changed := r.Cleared.After(own.Cleared)
	if changed {
		own.Cleared = r.Cleared
	}
	for _, c := range r.Crashes {
		if at, found := slices.BinarySearchFunc(own.Crashes, c, compare); !found {
			own.Crashes = slices.Insert(own.Crashes, at, c)
			changed = true
		}
	}
	own.dropOldest()
	if changed {
		b.order.MoveToFront(element)
	}
	b.bound()
	return changed
}

func (b *RecordSet) trim(now time.Time, r Record) Record {
	kept := make([]Crash, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		if age := now.Sub(c.At); age <= Retention && age >= -maxSkew {
			kept = append(kept, c)
		}
	}
	r.Crashes = kept
	if r.Cleared.Sub(now) > maxSkew {
		r.Cleared = time.Time{}
	}
	return r
}

func compare(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), a.At.Compare(b.At), cmp.Compare(a.Observer, b.Observer))
}

func (r *Record) dropOldest() {
	for len(r.Crashes) > maxCrashes {
		oldest := 0
		for i, c := range r.Crashes {
			if c.At.Before(r.Crashes[oldest].At) {
				oldest = i
			}
		}
		r.Crashes = slices.Delete(r.Crashes, oldest, oldest+1)
	}
}

func (b *RecordSet) bound() {
	for b.order.Len() > b.limit {
		b.drop(b.order.Back())
	}
}

func (b *RecordSet) drop(element *list.Element) {
	delete(b.records, element.Value.(*Record).Fingerprint)
	b.order.Remove(element)
}

// Expire drops the records whose crashes no longer count.
func (b *RecordSet) Expire(now time.Time) {
	for element := b.order.Back(); element != nil; {
		previous := element.Prev()
		if element.Value.(*Record).count(now) == 0 {
			// A cleared record is kept while its crashes could still arrive from another router.
			if r := element.Value.(*Record); r.Cleared.IsZero() || now.Sub(r.Cleared) > Retention {
				b.drop(element)
			}
		}
		element = previous
	}
}

// Records returns copies of all records.
func (b *RecordSet) Records() []Record {
	records := make([]Record, 0, b.order.Len())
	for element := b.order.Front(); element != nil; element = element.Next() {
		r := *element.Value.(*Record)
		r.Crashes = slices.Clone(r.Crashes)
		records = append(records, r)
	}
	return records
}
