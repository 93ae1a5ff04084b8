package route

import (
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Location is the place of a router.
type Location struct {
	Region string
	Zone   string
}

// Table is the endpoints as one router sees them. It is not safe for concurrent use.
type Table struct {
	here      Location
	options   Options
	endpoints map[string]*endpoint
	pools     map[Pool]*pool
	prefix    prefixIndex
	wakes     wakes
	// meanPrefill is the average number of uncached prompt tokens of a request.
	meanPrefill average
	scratch     []considered
}

// New returns an empty table for a router at the location.
func New(here Location, options Options) *Table {
	options = options.withDefaults()
	return &Table{
		here: here, options: options, prefix: newPrefixIndex(options),
		endpoints: map[string]*endpoint{}, pools: map[Pool]*pool{},
	}
}

// Update replaces the list of endpoints by the platform's VM list. leaving reports the operators' marks and may
// be nil. Endpoints that stay keep their accounting; an endpoint whose address or work changed starts anew.
func (t *Table) Update(now time.Time, vms []platform.VM, leaving func(vm string) bool) {
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry || vm.State == platform.VMGone {
			continue
		}
		seen[vm.Name] = true
		e := t.endpoints[vm.Name]
		if e != nil && !sameWork(e.vm, vm) {
			t.drop(e)
			e = nil
		}
		if e == nil {
			e = t.add(vm)
		}
		e.vm = vm
		e.marked = leaving != nil && leaving(vm.Name)
		t.refresh(now, e)
	}
	for name, e := range t.endpoints {
		if !seen[name] {
			t.drop(e)
		}
	}
}

// SetLeaving sets or clears an operator's leaving mark. It takes effect for the next choice.
func (t *Table) SetLeaving(now time.Time, vm string, leaving bool) {
	if e := t.endpoints[vm]; e != nil {
		e.marked = leaving
		t.refresh(now, e)
	}
}

// PoolState counts the endpoints of a pool.
type PoolState struct {
	// Total includes leaving and unhealthy endpoints.
	Total int
	// Open endpoints can take work.
	Open int
	// NotLeaving endpoints are not leaving, whether healthy or not.
	NotLeaving int
}

// State returns the counts of a pool. Its cost is linear in the pool's endpoints.
func (t *Table) State(name Pool) PoolState {
	p := t.pools[name]
	if p == nil {
		return PoolState{}
	}
	state := PoolState{Total: len(p.all), Open: len(p.open)}
	for _, e := range p.all {
		if !e.leaving() {
			state.NotLeaving++
		}
	}
	return state
}

// States returns the number of endpoints by state: open, full, unhealthy or leaving. Its cost is linear in the
// endpoints.
func (t *Table) States(now time.Time) map[string]int64 {
	states := map[string]int64{"open": 0, "full": 0, "unhealthy": 0, "leaving": 0}
	for _, e := range t.endpoints {
		switch {
		case e.leaving():
			states["leaving"]++
		case e.unhealthy(now):
			states["unhealthy"]++
		case e.full(now, t.options.StaleAfter):
			states["full"]++
		default:
			states["open"]++
		}
	}
	return states
}

// Slots returns how many requests this router may have in progress in the pool: its own ones and the free places
// of the open endpoints. perEndpoint is the limit of endpoints that have none. Its cost is linear in the pool's
// endpoints; the result is meant for admit.Gate.SetCapacity, about once a second and after each Update.
func (t *Table) Slots(now time.Time, name Pool, perEndpoint int) int {
	p := t.pools[name]
	if p == nil {
		return 0
	}
	slots := 0
	for _, e := range p.all {
		slots += e.inflight
		if e.in(p).at < 0 {
			continue
		}
		limit := e.vm.MaxInFlight
		if limit == 0 {
			limit = perEndpoint
		}
		slots += max(0, limit-int(e.total(now, t.options.StaleAfter)))
	}
	return slots
}

func sameWork(a, b platform.VM) bool {
	return a.Started == b.Started && a.Address == b.Address && a.Role == b.Role && a.Service == b.Service && slices.Equal(a.Models, b.Models)
}

func (t *Table) add(vm platform.VM) *endpoint {
	e := &endpoint{vm: vm, distance: t.distance(vm)}
	t.endpoints[vm.Name] = e
	if vm.Role == platform.RoleService {
		t.pool(Service(vm.Service)).add(e)
		return e
	}
	for i, model := range vm.Models {
		if !slices.Contains(vm.Models[:i], model) {
			t.pool(Model(model)).add(e)
		}
	}
	return e
}

func (t *Table) drop(e *endpoint) {
	e.closePools()
	for _, m := range e.pools {
		m.pool.remove(e)
		if len(m.pool.all) == 0 {
			delete(t.pools, m.pool.name)
		}
	}
	e.removed = true
	delete(t.endpoints, e.vm.Name)
}

func (t *Table) pool(name Pool) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{name: name}
		t.pools[name] = p
	}
	return p
}

func (t *Table) distance(vm platform.VM) float64 {
	switch {
	case vm.Region != t.here.Region:
		return t.options.RegionDistanceMS
	case vm.Zone != t.here.Zone:
		return t.options.ZoneDistanceMS
	}
	return 0
}
