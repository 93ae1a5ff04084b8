package admit

import "slices"

// flow is the queue of one organisation in a class.
type flow struct {
	organisation string
	queue        []*entry
	tokens       int64
	deficit      int64
}

// class shares capacity between organisations by deficit round robin. The quantum of each round is the mean number of
// tokens of a queued request; an organisation's unused deficit carries over to the next round. A fixed quantum of 4096
// tokens dispatched 40 short requests of one organisation in one turn, and requests of others missed their deadlines.
type class struct {
	// active lists the organisations with queued requests in the order of their turns.
	active []*flow
	flows  map[string]*flow
	// servedTokens is the number of tokens dispatched; among classes of the same target, the one with the smallest is
	// served next.
	servedTokens int64
}

// tier holds the queues of a pool for one target kind, by class.
type tier struct {
	classes map[string]*class
	queued  int
	tokens  int64
	// lastServedTokens is servedTokens of the class served last. A class that becomes active starts at no less, so
	// that it gets no credit for the time in which it was idle.
	lastServedTokens int64
}

func newTier() tier { return tier{classes: map[string]*class{}} }

// ensureFlow returns the class and the flow of the request and creates them if needed.
func (t *tier) ensureFlow(e *entry) (*class, *flow) {
	c := t.classes[e.request.Class]
	if c == nil {
		c = &class{flows: map[string]*flow{}}
		t.classes[e.request.Class] = c
	}
	f := c.flows[e.request.Organisation]
	if f == nil {
		f = &flow{organisation: e.request.Organisation}
		c.flows[f.organisation] = f
		if len(c.active) == 0 {
			c.servedTokens = max(c.servedTokens, t.lastServedTokens)
		}
		c.active = append(c.active, f)
	}
	return c, f
}

func (t *tier) push(e *entry) {
	_, f := t.ensureFlow(e)
	f.queue = append(f.queue, e)
	t.updateCounts(f, e, 1)
}

// pushFront puts back a request that pop returned, and reverses what pop charged to its flow and class.
func (t *tier) pushFront(e *entry) {
	c, f := t.ensureFlow(e)
	f.queue = slices.Insert(f.queue, 0, e)
	f.deficit += e.request.Tokens
	c.servedTokens -= e.request.Tokens
	t.updateCounts(f, e, 1)
}

// updateCounts adds n times the request to the queue lengths; n is 1 or -1.
func (t *tier) updateCounts(f *flow, e *entry, n int) {
	t.queued += n
	t.tokens += int64(n) * e.request.Tokens
	f.tokens += int64(n) * e.request.Tokens
}

// pop removes and returns the next request: in the class with the fewest tokens served, of the organisation whose turn
// it is. The tier must not be empty.
func (t *tier) pop() *entry {
	var leastServed *class
	var name string
	for n, c := range t.classes {
		if len(c.active) > 0 && (leastServed == nil || c.servedTokens < leastServed.servedTokens || c.servedTokens == leastServed.servedTokens && n < name) {
			leastServed, name = c, n
		}
	}
	quantum := max(1, t.tokens/int64(t.queued))
	for {
		f := leastServed.active[0]
		e := f.queue[0]
		if f.deficit < e.request.Tokens {
			f.deficit += quantum
			leastServed.active = append(leastServed.active[1:], f)
			continue
		}
		f.deficit -= e.request.Tokens
		leastServed.servedTokens += e.request.Tokens
		t.lastServedTokens = leastServed.servedTokens
		t.removeAt(leastServed, f, 0)
		return e
	}
}

// removeAt removes the request at the index of the flow, and the flow if that leaves it empty.
func (t *tier) removeAt(c *class, f *flow, index int) {
	t.updateCounts(f, f.queue[index], -1)
	f.queue = slices.Delete(f.queue, index, index+1)
	if len(f.queue) == 0 {
		c.active = slices.DeleteFunc(c.active, func(other *flow) bool { return other == f })
		delete(c.flows, f.organisation)
	}
}

func (t *tier) remove(e *entry) {
	c, f := t.ensureFlow(e)
	if i := slices.Index(f.queue, e); i >= 0 {
		t.removeAt(c, f, i)
	}
}

// queuedBy returns the number of queued requests of the organisation in all classes.
func (t *tier) queuedBy(organisation string) int {
	n := 0
	for _, c := range t.classes {
		if f := c.flows[organisation]; f != nil {
			n += len(f.queue)
		}
	}
	return n
}

// competingFlows returns the number of flows of all classes, in which the flow of the given organisation and class
// counts even if it has no queued request, and the queued tokens of that flow.
func (t *tier) competingFlows(className, organisation string) (flows int, ownTokens int64) {
	flows = 1
	for name, c := range t.classes {
		flows += len(c.active)
		if f := c.flows[organisation]; f != nil && name == className {
			flows--
			ownTokens = f.tokens
		}
	}
	return flows, ownTokens
}

// longestQueue returns the organisation with the most queued requests and their number. Ties go to the name that sorts
// first.
func (t *tier) longestQueue() (organisation string, queued int) {
	counts := map[string]int{}
	for _, c := range t.classes {
		for _, f := range c.active {
			counts[f.organisation] += len(f.queue)
		}
	}
	for o, n := range counts {
		if n > queued || n == queued && o < organisation {
			organisation, queued = o, n
		}
	}
	return organisation, queued
}

// dropNewest removes and returns the newest request of the organisation, which must have one.
func (t *tier) dropNewest(organisation string) *entry {
	var newest *entry
	for _, c := range t.classes {
		if f := c.flows[organisation]; f != nil && (newest == nil || f.queue[len(f.queue)-1].id > newest.id) {
			newest = f.queue[len(f.queue)-1]
		}
	}
	t.remove(newest)
	return newest
}

// entries returns the queued requests in the order of their arrival.
func (t *tier) entries() []*entry {
	if t.queued == 0 {
		return nil
	}
	list := make([]*entry, 0, t.queued)
	for _, c := range t.classes {
		for _, f := range c.active {
			list = append(list, f.queue...)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return int(a.id) - int(b.id) })
	return list
}
