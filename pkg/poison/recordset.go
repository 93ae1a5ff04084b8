package poison

import (
	"cmp"
	"container/list"
	"iter"
	"slices"
	"time"
)

// Fingerprint identifies a request across retries and routers.
type Fingerprint struct {
	Organisation string
	BodyHash     uint64
}

// Crash is a router's report that an endpoint crashed while the router had the request running there.
type Crash struct {
	VM string
	// Observer is the instance of the reporting router.
	Observer string
	// At is the time of the report by the observer's clock.
	At time.Time
	// Request is the hash of the request that was running, for the record of a part; 0 if it isn't known.
	Request uint64
	// Begun is set if the head of the answer had come when the endpoint crashed, with one event at most.
	Begun bool
}

// Record holds the crashes of a fingerprint. Records are merged by the union of their crashes and the latest
// ClearedAt, so the order and repetition of merges have no effect.
type Record struct {
	Fingerprint Fingerprint
	// Depth is the position of a part in its prompt, larger for a whole request. A deeper part is shared by fewer requests.
	Depth int
	// Label describes the fingerprint in log lines.
	Label   string
	Crashes []Crash
	// ClearedAt is the time of the latest run that completed, or zero; earlier crashes don't count.
	ClearedAt time.Time
}

// Status determines how a request must be treated.
type Status int

// Values of Status.
const (
	// Clear requests run without restriction.
	Clear Status = iota
	// Suspect requests must be isolated.
	Suspect
	// Stopped requests must not run.
	Stopped
)

// Rules determine how a RecordSet counts crashes.
type Rules struct {
	// StopAfter is the number of crashes after which a fingerprint is stopped, and StopRequestAfter that for a whole request
	// where parts of requests are judged as well.
	StopAfter, StopRequestAfter int
	// SameCrash is the time within which reports about one VM by several routers count as the same crash. It covers
	// differences in detection time and between clocks. If clocks differ by more, one crash counts as two. 0 suits VM names
	// that differ between two starts: then all reports about one name are the same crash.
	SameCrash time.Duration
	// Independent is the time within which crashes of several VMs count as one, because they may have one cause that isn't a
	// request, such as the loss of a rack.
	Independent time.Duration
}

// isolatingRules suit routers that isolate suspects.
var isolatingRules = Rules{StopAfter: 2, SameCrash: sameCrashWindow}

const (
	// sameCrashWindow is the Rules.SameCrash of VMs that keep their names when they restart.
	sameCrashWindow = 3 * time.Second
	// sameReportWindow is the time within which reports about one VM by one router count as the same crash. It is
	// shorter, so that an endpoint that restarts quickly and crashes again is counted twice.
	sameReportWindow = time.Second
	// maxClockSkew is the largest tolerated difference between the clocks of two routers.
	maxClockSkew = 5 * time.Minute
	// maxCrashesPerRecord is the largest number of reports of a record; the latest are kept. It has room for two from each of
	// a few observers for each of several crashes.
	maxCrashesPerRecord = 64
	// Retention is the time after which a crash no longer counts.
	Retention = time.Hour
	// maxRecords is the largest number of records; the least recently changed are dropped.
	maxRecords = 50_000
)

// RecordSet holds the crash records of a router. It is not safe for concurrent use.
type RecordSet struct {
	records map[Fingerprint]*list.Element
	// order lists the records, the most recently changed first.
	order *list.List
	limit int
	rules Rules
}

// NewRecordSet returns an empty set.
func NewRecordSet(rules Rules) *RecordSet {
	return &RecordSet{records: map[Fingerprint]*list.Element{}, order: list.New(), limit: maxRecords, rules: rules}
}

// Status returns the status of the fingerprint; without a record it is Clear.
func (s *RecordSet) Status(now time.Time, f Fingerprint) Status {
	switch n, _ := s.Crashes(now, f); {
	case n >= s.rules.StopAfter:
		return Stopped
	case n > 0:
		return Suspect
	}
	return Clear
}

// Crashes returns the number of crashes that count against the fingerprint, and the time of the latest report of one.
func (s *RecordSet) Crashes(now time.Time, f Fingerprint) (n int, latest time.Time) {
	element := s.records[f]
	if element == nil {
		return 0, time.Time{}
	}
	r := element.Value.(*Record)
	for _, c := range r.Crashes {
		if c.At.After(latest) {
			latest = c.At
		}
	}
	return r.countCrashes(now, s.rules), latest
}

// lacksCrash reports whether the record has a crash that the set doesn't have.
func (s *RecordSet) lacksCrash(now time.Time, r Record) bool {
	r = s.filterTimes(now, r)
	element := s.records[r.Fingerprint]
	if element == nil {
		return len(r.Crashes) > 0
	}
	existing := element.Value.(*Record)
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool {
		_, found := slices.BinarySearchFunc(existing.Crashes, c, compareCrashes)
		return !found
	})
}

// reports returns how many reports the record has of the crash of a VM by one observer.
func (s *RecordSet) reports(f Fingerprint, vm, observer string) int {
	element := s.records[f]
	if element == nil {
		return 0
	}
	n := 0
	for _, c := range element.Value.(*Record).Crashes {
		if c.VM == vm && c.Observer == observer {
			n++
		}
	}
	return n
}

// newest returns the time of the record's newest entry, or t if that is later.
func (r *Record) newest(t time.Time) time.Time {
	times := []time.Time{t, r.ClearedAt}
	for _, c := range r.Crashes {
		times = append(times, c.At)
	}
	return slices.MaxFunc(times, time.Time.Compare)
}

// Len returns the number of records.
func (s *RecordSet) Len() int { return s.order.Len() }

// Counts returns the number of suspects and the number of stopped fingerprints.
func (s *RecordSet) Counts(now time.Time) (suspects, stopped int) {
	for f := range s.records {
		switch s.Status(now, f) {
		case Suspect:
			suspects++
		case Stopped:
			stopped++
		}
	}
	return suspects, stopped
}

// countCrashes returns the number of distinct crashes after ClearedAt and within Retention.
func (r *Record) countCrashes(now time.Time, rules Rules) int {
	return countIndependent(r.distinctCrashes(now, rules.SameCrash), rules.Independent)
}

// distinctCrashes returns the first report of each crash after ClearedAt and within Retention.
func (r *Record) distinctCrashes(now time.Time, sameCrash time.Duration) []Crash {
	// group holds the reports of the latest crash.
	var group, distinct []Crash
	for c := range r.countingReports(now) {
		if !isSameCrash(c, group, sameCrash) {
			distinct, group = append(distinct, c), nil
		}
		group = append(group, c)
	}
	return distinct
}

// countingReports returns the reports after ClearedAt and within Retention, sorted by VM and time.
func (r *Record) countingReports(now time.Time) iter.Seq[Crash] {
	return func(yield func(Crash) bool) {
		for _, c := range r.Crashes {
			if c.At.After(r.ClearedAt) && now.Sub(c.At) <= Retention && !yield(c) {
				return
			}
		}
	}
}

// countIndependent returns the number of crashes without those that follow a counted one by less than the window.
func countIndependent(crashes []Crash, window time.Duration) int {
	byTime := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.At.Compare(b.At) })
	n := 0
	var counted time.Time
	for _, c := range byTime {
		if n == 0 || c.At.Sub(counted) >= window {
			n++
			counted = c.At
		}
	}
	return n
}

// isSameCrash reports whether c is another report of the crash that the earlier reports, sorted by time, describe.
func isSameCrash(c Crash, earlier []Crash, window time.Duration) bool {
	if len(earlier) == 0 || c.VM != earlier[0].VM {
		return false
	}
	if window == 0 {
		return true
	}
	if c.At.Sub(earlier[0].At) > window {
		return false
	}
	return !slices.ContainsFunc(earlier, func(e Crash) bool {
		return e.Observer == c.Observer && c.At.Sub(e.At) > sameReportWindow
	})
}

// Merge merges the record into the set and reports whether anything was new. It ignores times more than maxClockSkew in
// the future, which only a wrong clock can produce, so that no crash counts for longer than Retention plus
// maxClockSkew.
func (s *RecordSet) Merge(now time.Time, r Record) bool {
	r = s.filterTimes(now, r)
	if len(r.Crashes) == 0 && r.ClearedAt.IsZero() {
		return false
	}
	element := s.records[r.Fingerprint]
	if element == nil {
		if len(r.Crashes) == 0 {
			return false
		}
		s.records[r.Fingerprint] = s.order.PushFront(&Record{Fingerprint: r.Fingerprint})
		element = s.records[r.Fingerprint]
	}
	existing := element.Value.(*Record)
	existing.Depth, existing.Label = max(existing.Depth, r.Depth), cmp.Or(existing.Label, r.Label)
	changed := r.ClearedAt.After(existing.ClearedAt)
	if changed {
		existing.ClearedAt = r.ClearedAt
	}
	for _, c := range r.Crashes {
		if index, found := slices.BinarySearchFunc(existing.Crashes, c, compareCrashes); !found {
			existing.Crashes = slices.Insert(existing.Crashes, index, c)
			changed = true
		}
	}
	existing.dropOldestCrashes()
	if changed {
		s.order.MoveToFront(element)
	}
	s.enforceLimit()
	return changed
}

// filterTimes returns the record without crashes older than Retention and without times more than maxClockSkew in the
// future.
func (s *RecordSet) filterTimes(now time.Time, r Record) Record {
	kept := make([]Crash, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		if age := now.Sub(c.At); age <= Retention && age >= -maxClockSkew {
			kept = append(kept, c)
		}
	}
	r.Crashes = kept
	if r.ClearedAt.Sub(now) > maxClockSkew {
		r.ClearedAt = time.Time{}
	}
	return r
}

// compareCrashes orders crashes by VM, time, observer and request.
func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), a.At.Compare(b.At), cmp.Compare(a.Observer, b.Observer), cmp.Compare(a.Request, b.Request))
}

func (r *Record) dropOldestCrashes() {
	for len(r.Crashes) > maxCrashesPerRecord {
		oldest := 0
		for i, c := range r.Crashes {
			if c.At.Before(r.Crashes[oldest].At) {
				oldest = i
			}
		}
		r.Crashes = slices.Delete(r.Crashes, oldest, oldest+1)
	}
}

func (s *RecordSet) enforceLimit() {
	for s.order.Len() > s.limit {
		s.remove(s.order.Back())
	}
}

func (s *RecordSet) remove(element *list.Element) {
	delete(s.records, element.Value.(*Record).Fingerprint)
	s.order.Remove(element)
}

// Expire removes the records whose crashes no longer count.
func (s *RecordSet) Expire(now time.Time) {
	for element := s.order.Back(); element != nil; {
		previous := element.Prev()
		if element.Value.(*Record).countCrashes(now, s.rules) == 0 {
			// A cleared record is kept while another router could still send its crashes.
			if r := element.Value.(*Record); r.ClearedAt.IsZero() || now.Sub(r.ClearedAt) > Retention {
				s.remove(element)
			}
		}
		element = previous
	}
}

// all returns the records, which must not be changed, the most recently changed first.
func (s *RecordSet) all() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		for element := s.order.Front(); element != nil; element = element.Next() {
			if !yield(element.Value.(*Record)) {
				return
			}
		}
	}
}

// Records returns copies of all records, the most recently changed first.
func (s *RecordSet) Records() []Record {
	records := make([]Record, 0, s.order.Len())
	for element := s.order.Front(); element != nil; element = element.Next() {
		r := *element.Value.(*Record)
		r.Crashes = slices.Clone(r.Crashes)
		records = append(records, r)
	}
	return records
}
