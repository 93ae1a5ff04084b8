package route

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Location is the region and availability zone of a router. Without a region, that of an endpoint doesn't matter for its distance.
type Location struct {
	Region string
	Zone   string
}

// Table holds the endpoints as one router sees them. It is not safe for concurrent use.
type Table struct {
	location  Location
	options   Options
	endpoints map[string]*endpoint
	pools     map[Pool]*pool
	prefix    prefixIndex
	rechecks  recheckHeap
	// evacuated are the zones that get nothing by an operator's order; ordersKnown is set by the first SetEvacuated.
	evacuated   map[string]bool
	ordersKnown bool
	// announcements holds what endpoints said of their runs, also of those that are not listed at present.
	announcements map[runID]*announcement
	// coldEndpoints are the endpoints that are cold, coldPermit says what this router may send them, and coldChanges are the changes that
	// TakeColdChanges returns.
	coldEndpoints   []*endpoint
	coldRefreshedAt time.Time
	coldPermit      func(platform.VM) ColdPermit
	coldChanges     []ColdChange
	// lastSentAt holds when this router last sent something to an endpoint that was cold, or that was removed, by its name.
	lastSentAt map[string]time.Time
	// meanPrefillTokens is the average number of uncached prompt tokens of a request.
	meanPrefillTokens average
	// peerWorkAt is the time at which the work of the other routers became known, zero if it never was.
	peerWorkAt time.Time
	// peerWorkSteady is set if the time before was not long ago.
	peerWorkSteady bool
	// sharesWork is set once OwnWork was called.
	sharesWork bool
	// prefillTime is the time to the first event by the uncached tokens at an endpoint.
	prefillTime linearFit
	// scratch is the slice of candidates that Choose reuses.
	scratch []candidate
}

// New returns an empty table for a router at the location.
func New(location Location, options Options) *Table {
	options = options.withDefaults()
	return &Table{
		location: location, options: options, prefix: newPrefixIndex(options),
		announcements: map[runID]*announcement{}, lastSentAt: map[string]time.Time{}, endpoints: map[string]*endpoint{}, pools: map[Pool]*pool{},
	}
}

// Update replaces the list of endpoints by the platform's VM list. leaving reports whether an operator has marked the
// VM as leaving; it may be nil. Endpoints that are still listed keep their accounting, except those that were restarted
// or whose address, role, service or models changed: they are replaced by new ones.
func (t *Table) Update(now time.Time, vms []platform.VM, leaving func(vm string) bool) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry || vm.State == platform.VMGone {
			continue
		}
		listed[vm.Name] = true
		e := t.endpoints[vm.Name]
		if e != nil && !isSameEndpoint(e.vm, vm) {
			t.removeEndpoint(e)
			e = nil
		}
		if e == nil {
			e = t.addEndpoint(vm)
		}
		e.vm = vm
		e.markedLeaving = leaving != nil && leaving(vm.Name)
		t.refresh(now, e)
	}
	for name, e := range t.endpoints {
		if !listed[name] {
			t.removeEndpoint(e)
		}
	}
	t.forgetSent(now)
}

// SetLeaving sets or clears an operator's leaving mark. It takes effect from the next choice on.
func (t *Table) SetLeaving(now time.Time, vm string, leaving bool) {
	if e := t.endpoints[vm]; e != nil {
		e.markedLeaving = leaving
		t.refresh(now, e)
	}
}

// PoolState counts the endpoints of a pool.
type PoolState struct {
	// Total includes leaving and unhealthy endpoints.
	Total int
	// Open endpoints can take work.
	Open int
	// Evacuated endpoints are not leaving, but in a zone that gets nothing by an operator's order.
	Evacuated int
	// NotLeaving endpoints are not leaving, whether healthy or not.
	NotLeaving int
}

// PoolState returns the counts of a pool. Its cost is linear in the pool's endpoints.
func (t *Table) PoolState(name Pool) PoolState {
	p := t.pools[name]
	if p == nil {
		return PoolState{}
	}
	state := PoolState{Total: len(p.all), Open: len(p.open)}
	for _, e := range p.all {
		if !e.isLeaving() {
			state.NotLeaving++
			if e.evacuated {
				state.Evacuated++
			}
		}
	}
	return state
}

// CountByState returns the number of endpoints by state: open, full, unhealthy, leaving or, with Options.AwaitEvacuations, evacuated.
// Its cost is linear in the endpoints.
func (t *Table) CountByState(now time.Time) map[string]int64 {
	counts := map[string]int64{"open": 0, "full": 0, "unhealthy": 0, "leaving": 0}
	if t.options.AwaitEvacuations {
		counts["evacuated"] = 0
	}
	for _, e := range t.endpoints {
		switch {
		case e.isLeaving():
			counts["leaving"]++
		case e.evacuated:
			counts["evacuated"]++
		case e.isUnhealthy(now):
			counts["unhealthy"]++
		case e.isFull(now, t.options.StaleAfter):
			counts["full"]++
		default:
			counts["open"]++
		}
	}
	return counts
}

// Slots returns how many requests this router may have in progress in the pool: those in progress now plus the free
// slots of the open endpoints. perEndpoint is the limit for endpoints that have none of their own. Its cost is linear
// in the pool's endpoints; the result is meant for admit.Gate.SetCapacity, about once a second and after each Update.
func (t *Table) Slots(now time.Time, name Pool, perEndpoint int) int {
	p := t.pools[name]
	if p == nil {
		return 0
	}
	slots := 0
	for _, e := range p.all {
		slots += e.inFlight
		if e.membershipIn(p).openIndex < 0 {
			continue
		}
		limit := e.vm.MaxInFlight
		if limit == 0 {
			limit = perEndpoint
		}
		slots += max(0, limit-int(e.totalRequests(now, t.options.StaleAfter)))
	}
	return slots
}

func isSameEndpoint(a, b platform.VM) bool {
	return a.Started == b.Started && a.Address == b.Address && a.Role == b.Role && a.Service == b.Service && slices.Equal(a.Models, b.Models)
}

func (t *Table) addEndpoint(vm platform.VM) *endpoint {
	e := &endpoint{vm: vm, distanceMS: t.distanceMS(vm)}
	e.announced = t.announcements[runOf(vm)]
	if e.announced != nil {
		heap.Push(&t.rechecks, recheck{at: e.announced.pausedUntil, endpoint: e})
	}
	t.endpoints[vm.Name] = e
	if vm.Role == platform.RoleService {
		t.getOrCreatePool(Service(vm.Service)).add(e)
		return e
	}
	for i, model := range vm.Models {
		if !slices.Contains(vm.Models[:i], model) {
			t.getOrCreatePool(Model(model)).add(e)
		}
	}
	return e
}

func (t *Table) removeEndpoint(e *endpoint) {
	e.endLimit()
	t.endCold(e)
	if t.coldPermit != nil && e.lastBegin.After(t.lastSentAt[e.vm.Name]) {
		t.lastSentAt[e.vm.Name] = e.lastBegin
	}
	e.removeFromOpenLists()
	for _, m := range e.memberships {
		m.pool.remove(e)
		if len(m.pool.all) == 0 {
			delete(t.pools, m.pool.name)
		}
	}
	e.removed = true
	delete(t.endpoints, e.vm.Name)
}

func (t *Table) getOrCreatePool(name Pool) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{name: name}
		t.pools[name] = p
	}
	return p
}

func (t *Table) distanceMS(vm platform.VM) float64 {
	switch {
	case t.location.Region != "" && vm.Region != t.location.Region:
		return t.options.RegionDistanceMS
	case vm.Zone != t.location.Zone:
		return t.options.ZoneDistanceMS
	}
	return 0
}
