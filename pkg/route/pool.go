package route

import "slices"

// pool has a list of all its endpoints and a list of the open ones, which can take work; the others are closed. The
// open list is updated in constant time, so that a choice samples it without a scan.
type pool struct {
	name Pool
	all  []*endpoint
	open []*endpoint
	// tokenMS is the average time between output tokens in ms.
	tokenMS average
	// limited is the number of endpoints that have named a limit of requests.
	limited   int
	ring      []ringPoint
	ringValid bool
}

// membership links an endpoint to a pool; openIndex is its index in the pool's open list, or -1.
type membership struct {
	pool      *pool
	openIndex int
}

func (p *pool) add(e *endpoint) {
	p.all, p.ringValid = append(p.all, e), false
	e.memberships = append(e.memberships, membership{pool: p, openIndex: -1})
}

func (p *pool) remove(e *endpoint) {
	if i := slices.Index(p.all, e); i >= 0 {
		p.all, p.ringValid = slices.Delete(p.all, i, i+1), false
	}
}

func (e *endpoint) addToOpenLists() {
	for i := range e.memberships {
		m := &e.memberships[i]
		if m.openIndex < 0 {
			m.openIndex = len(m.pool.open)
			m.pool.open = append(m.pool.open, e)
		}
	}
}

func (e *endpoint) removeFromOpenLists() {
	for i := range e.memberships {
		m := &e.memberships[i]
		if m.openIndex < 0 {
			continue
		}
		last := len(m.pool.open) - 1
		lastEndpoint := m.pool.open[last]
		m.pool.open[m.openIndex] = lastEndpoint
		lastEndpoint.membershipIn(m.pool).openIndex = m.openIndex
		m.pool.open[last] = nil
		m.pool.open = m.pool.open[:last]
		m.openIndex = -1
	}
}

func (e *endpoint) membershipIn(p *pool) *membership {
	for i := range e.memberships {
		if e.memberships[i].pool == p {
			return &e.memberships[i]
		}
	}
	return nil
}

// isOpenIn reports whether the endpoint belongs to the pool and can take work.
func (e *endpoint) isOpenIn(p *pool) bool {
	m := e.membershipIn(p)
	return m != nil && m.openIndex >= 0
}
