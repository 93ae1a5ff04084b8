package roster

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// modelFleet is a store with the records of a fleet, and the routers' views of it, which are old, delayed or cut off.
type modelFleet struct {
	rt      *rapid.T
	now     time.Time
	era     uint64
	number  uint64
	records map[string]member
	// past are the records at earlier steps, the newest last.
	past    []map[string]member
	routers map[string]*modelRouter
	starts  int
}

type modelRouter struct {
	*Roster
	startedAt time.Time
	// contact is the time at which the records seem to have been read, zero before that. pending is a list on its way.
	contact             time.Time
	pending             map[string]member
	arrivesAt           time.Time
	nextList, nextPut   time.Time
	cutReads, cutWrites time.Time
}

const (
	modelStep  = 250 * time.Millisecond
	modelSteps = 600
)

func (f *modelFleet) start(name string, capacity float64) {
	f.starts++
	self := Record{Instance: fmt.Sprint(name, "-", f.starts), Zone: "a", State: Ready, Capacity: capacity}
	f.routers[name] = &modelRouter{Roster: New(nil, name, self, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}), startedAt: f.now}
}

// put writes the router's record; the acknowledgement may be lost.
func (f *modelFleet) put(r *modelRouter) {
	r.self.Renewal++
	f.number++
	revision := platform.NewRevision(f.era, f.number)
	f.records[r.name] = member{record: r.self, revision: revision}
	if rapid.IntRange(0, 9).Draw(f.rt, "lost ack") > 0 {
		r.tenure.acknowledged(f.now, f.now, platform.Era(revision), r.view.retention(r.self))
	}
}

// list begins to read the records as of up to maxListAge ago. The answer takes up to shareDelays.
func (f *modelFleet) list(r *modelRouter) {
	steps := rapid.IntRange(0, int(maxListAge/modelStep)).Draw(f.rt, "stale steps")
	found := f.past[max(0, len(f.past)-1-steps)]
	r.pending = maps.Clone(found)
	delete(r.pending, r.name)
	r.arrivesAt = f.now.Add(time.Duration(rapid.IntRange(0, int(shareDelays/modelStep)).Draw(f.rt, "delay")) * modelStep)
}

func (f *modelFleet) stepRouter(r *modelRouter) {
	if r.pending != nil && !f.now.Before(r.arrivesAt) {
		r.view.applyList(f.now, r.self, r.pending)
		r.clearCaches()
		r.pending, r.contact = nil, f.now
		for name, m := range r.view.members {
			if r.view.isExpired(m) && f.records[name].revision == m.revision {
				delete(f.records, name)
			}
		}
	}
	if !f.now.Before(r.cutReads) && !f.now.Before(r.nextList) {
		f.list(r)
		r.nextList = f.now.Add(time.Duration(rapid.IntRange(7, 10).Draw(f.rt, "list interval")) * modelStep)
	}
	if !f.now.Before(r.cutWrites) && !f.now.Before(r.nextPut) {
		f.put(r)
		r.nextPut = f.now.Add(2 * time.Second)
	}
}

// disturb kills, restarts, cuts off or adds routers, or brings the store back from an older copy.
func (f *modelFleet) disturb(names []string, capacity func() float64) []string {
	name := rapid.SampledFrom(names).Draw(f.rt, "router")
	r := f.routers[name]
	end := f.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(f.rt, "length")) * modelStep)
	switch kind := rapid.IntRange(0, 9).Draw(f.rt, "kind"); {
	case kind <= 1:
		name = fmt.Sprintf("r%d", len(names))
		f.start(name, capacity())
		return append(names, name)
	case kind <= 3 && r != nil:
		delete(f.routers, name)
	case kind <= 4 && r == nil:
		f.start(name, capacity())
	case kind <= 6 && r != nil:
		r.cutReads = end
	case kind == 7 && r != nil:
		r.cutWrites = end
	case kind == 8 && r != nil:
		r.cutReads, r.cutWrites = end, end
	case kind == 9 && rapid.IntRange(0, 3).Draw(f.rt, "restore") == 0:
		f.restore(rapid.IntRange(0, min(40, len(f.past)-1)).Draw(f.rt, "back"))
	}
	return names
}

// restore brings the store back from a copy that is some steps old.
func (f *modelFleet) restore(back int) {
	f.era++
	f.records = maps.Clone(f.past[len(f.past)-1-back])
	for name, m := range f.records { // The copy's objects have revisions of the new era.
		f.number++
		m.revision = platform.NewRevision(f.era, f.number)
		f.records[name] = m
	}
	for range int(maxListAge/modelStep) + 1 { // A stale list comes from the copy as well.
		f.past = append(f.past, maps.Clone(f.records))
	}
}

// Guards against a cold engine that gets requests from more routers than may share its rate, because their views of the fleet differ:
// routers are started, killed, restarted and cut off from reading or writing, lists are stale and late, and the store comes back from
// an older copy.
func TestSharesAreUsedByNoMoreRoutersThanAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &modelFleet{rt: rt, now: time.Unix(1_800_000_000, 0), records: map[string]member{}, routers: map[string]*modelRouter{}}
		var names []string
		capacity := func() float64 { return rapid.SampledFrom([]float64{0, 30, 500}).Draw(rt, "capacity") }
		for i := range rapid.IntRange(2, 6).Draw(rt, "routers") {
			names = append(names, fmt.Sprintf("r%d", i))
			f.start(names[i], capacity())
		}
		n := rapid.IntRange(1, 3).Draw(rt, "sharers")
		keys := []string{"cold/e0", "cold/e1"}
		used := map[string]map[string]time.Time{keys[0]: {}, keys[1]: {}}
		uses := 0
		for step := range modelSteps {
			f.now = f.now.Add(modelStep)
			f.past = append(f.past, maps.Clone(f.records))
			if step > 60 && rapid.IntRange(0, 9).Draw(rt, "disturb") == 0 {
				names = f.disturb(names, capacity)
			}
			for _, name := range names {
				r := f.routers[name]
				if r == nil {
					continue
				}
				f.stepRouter(r)
				for _, key := range keys {
					if sharers, ok := r.shareAt(f.now, key, n, f.now.Sub(r.contact), !r.contact.IsZero()); ok {
						must.Between(rt, 1, sharers, n)
						used[key][name] = f.now
						uses++
					}
				}
			}
			for _, key := range keys {
				recent := 0
				for _, at := range used[key] {
					if f.now.Sub(at) < shareWindow {
						recent++
					}
				}
				must.LessEq(rt, n, recent, must.Sprint(key, f.now))
			}
		}
		must.Greater(rt, 0, uses, must.Sprint("shares are used"))
	})
}

// Guards against a fleet of a few large VMs, to which callers send, and many small ones, whose shares would be lost.
func TestLargeRoutersShareFirst(t *testing.T) {
	var v view
	v.members = map[string]member{}
	for i := range 64 {
		name := fmt.Sprintf("small%d", i)
		v.members[name] = member{record: Record{name: name, Capacity: 31}}
	}
	for i := range 6 {
		name := fmt.Sprintf("large%d", i)
		v.members[name] = member{record: Record{name: name, Capacity: 533}}
	}
	first := 0
	const keys = 200
	for i := range keys {
		for name, m := range v.members {
			if m.record.Capacity > 100 && v.shareRank(fmt.Sprint("cold/", i), Record{name: name, Capacity: 533}) <= 3 {
				first++
			}
		}
	}
	must.Greater(t, 4*keys*95/100, first, must.Sprint("of the first four"))
}

// BenchmarkShare measures the time of a decision about a share, which is made for each cold engine many times a second.
func BenchmarkShare(b *testing.B) {
	r := newTestRoster(84)
	r.tenure = tenure{since: time.Now().Add(-time.Hour), renewedAt: time.Now()}
	for b.Loop() {
		r.Share("cold/e1", 3, time.Second, true)
		r.PrimaryCount()
	}
}
