package route

import "slices"

// pool lists its endpoints twice: all of them, and the open ones, which can take work. The open list is
// changed in constant time, so that a choice samples it without a scan.
type pool struct {
	name Pool
	all  []*endpoint
	open []*endpoint
	// tokenMS is the average time between output tokens.
	tokenMS   average
	ring      []point
	ringValid bool
}

// membership is an endpoint's place in a pool; at is its index in the open list, or -1.
type membership struct {
	pool *pool
	at   int
}

func (p *pool) add(e *endpoint) {
	p.all, p.ringValid = append(p.all, e), false
	e.pools = append(e.pools, membership{pool: p, at: -1})
}

func (p *pool) remove(e *endpoint) {
	if i := slices.Index(p.all, e); i >= 0 {
		p.all, p.ringValid = slices.Delete(p.all, i, i+1), false
	}
}

func (e *endpoint) openPools() {
	for i := range e.pools {
		m := &e.pools[i]
		if m.at < 0 {
			m.at = len(m.pool.open)
			m.pool.open = append(m.pool.open, e)
		}
	}
}

func (e *endpoint) closePools() {
	for i := range e.pools {
		m := &e.pools[i]
		if m.at < 0 {
			continue
		}
		last := len(m.pool.open) - 1
		moved := m.pool.open[last]
		m.pool.open[m.at] = moved
		moved.in(m.pool).at = m.at
		m.pool.open[last] = nil
		m.pool.open = m.pool.open[:last]
		m.at = -1
	}
}

func (e *endpoint) in(p *pool) *membership {
	for i := range e.pools {
		if e.pools[i].pool == p {
			return &e.pools[i]
		}
	}
	return nil
}

// openIn reports whether the endpoint can take work of the pool.
func (e *endpoint) openIn(p *pool) bool {
	m := e.in(p)
	return m != nil && m.at >= 0
}
