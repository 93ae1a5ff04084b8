package admit

import "slices"

// flow is the queue of one organisation in a class.
type flow struct {
	organisation string
	queue        []*entry
	tokens       int64
	deficit      int64
}

// class shares between organisations by deficit round robin: in each round an organisation may take as many
// tokens as the mean queued request has, and what it can't use for its next request is kept for the next round.
// A fixed quantum of 4096 tokens let an organisation with short requests take 40 of them in one turn, so that
// the deadlines of others passed meanwhile.
type class struct {
	// active lists the organisations with queued requests in the order of their turns.
	active []*flow
	flows  map[string]*flow
	// served is the number of tokens served, by which classes of the same target share.
	served int64
}

// tier holds the classes of one target.
type tier struct {
	classes map[string]*class
	queued  int
	tokens  int64
	// served is the served count of the class served last. A class that becomes active starts from it, so that
	// it gets no credit for the time in which it had nothing to do.
	served int64
}

func newTier() tier { return tier{classes: map[string]*class{}} }

func (t *tier) flow(e *entry) (*class, *flow) {
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
			c.served = max(c.served, t.served)
		}
		c.active = append(c.active, f)
	}
	return c, f
}

func (t *tier) push(e *entry) {
	_, f := t.flow(e)
	f.queue = append(f.queue, e)
	t.count(f, e, 1)
}

func (t *tier) pushFront(e *entry) {
	c, f := t.flow(e)
	f.queue = slices.Insert(f.queue, 0, e)
	f.deficit += e.request.Tokens
	c.served -= e.request.Tokens
	t.count(f, e, 1)
}

func (t *tier) count(f *flow, e *entry, n int) {
	t.queued += n
	t.tokens += int64(n) * e.request.Tokens
	f.tokens += int64(n) * e.request.Tokens
}

// pop takes the next request: of the class that was served least, of the organisation whose turn it is. The
// tier must not be empty.
func (t *tier) pop() *entry {
	var least *class
	var name string
	for n, c := range t.classes {
		if len(c.active) > 0 && (least == nil || c.served < least.served || c.served == least.served && n < name) {
			least, name = c, n
		}
	}
	quantum := max(1, t.tokens/int64(t.queued))
	for {
		f := least.active[0]
		e := f.queue[0]
		if f.deficit < e.request.Tokens {
			f.deficit += quantum
			least.active = append(least.active[1:], f)
			continue
		}
		f.deficit -= e.request.Tokens
		least.served += e.request.Tokens
		t.served = least.served
		t.take(least, f, 0)
		return e
	}
}

// take removes the request at the index of the flow, and the flow if it is then empty.
func (t *tier) take(c *class, f *flow, index int) {
	t.count(f, f.queue[index], -1)
	f.queue = slices.Delete(f.queue, index, index+1)
	if len(f.queue) == 0 {
		c.active = slices.DeleteFunc(c.active, func(other *flow) bool { return other == f })
		delete(c.flows, f.organisation)
	}
}

func (t *tier) remove(e *entry) {
	c, f := t.flow(e)
	if i := slices.Index(f.queue, e); i >= 0 {
		t.take(c, f, i)
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

// share returns the number of organisations that share with the given one, including it, in its class and in
// other classes, and its queued tokens in its class.
func (t *tier) share(className, organisation string) (flows int, tokens int64) {
	flows = 1
	for name, c := range t.classes {
		flows += len(c.active)
		if f := c.flows[organisation]; f != nil && name == className {
			flows--
			tokens = f.tokens
		}
	}
	return flows, tokens
}

// longest returns the organisation with the most queued requests.
func (t *tier) longest() (organisation string, queued int) {
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
