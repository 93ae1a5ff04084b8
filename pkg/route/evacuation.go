package route

import "time"

// EvacuatedState describes the evacuated endpoints of a table.
type EvacuatedState struct {
	// Endpoints are the endpoints in evacuated zones, InFlight this router's requests that are still in progress there.
	Endpoints, InFlight int
}

// SetEvacuated replaces the set of availability zones whose endpoints get no requests by an operator's order. Requests that are in
// progress there go on.
func (t *Table) SetEvacuated(now time.Time, zones []string) (state EvacuatedState) {
	t.evacuated, t.ordersKnown = make(map[string]bool, len(zones)), true
	for _, zone := range zones {
		t.evacuated[zone] = true
	}
	for _, e := range t.endpoints {
		t.refresh(now, e)
		if e.evacuated {
			state.Endpoints++
			state.InFlight += e.inFlight
		}
	}
	return state
}

// isEvacuated reports whether an operator has ordered that nothing is sent to the zone, or whether that isn't known yet.
func (t *Table) isEvacuated(zone string) bool {
	return t.evacuated[zone] || t.options.AwaitEvacuations && !t.ordersKnown
}

// isWithdrawn reports whether the endpoint takes no further request whatever its health and load are: it leaves, or it is evacuated.
func (e *endpoint) isWithdrawn() bool { return e.isLeaving() || e.evacuated }
