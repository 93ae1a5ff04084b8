package journal

import "slices"

// Copies are the journal copies that a router keeps for other instances. It is not safe for concurrent use.
type Copies struct {
	router   string
	journals map[string]*journalCopy
}

// journalCopy is the copy of one journal. A closed copy without content is kept to refuse further entries, because
// the instance's process may resume after having been suspended for any time.
type journalCopy struct {
	lastNumber   uint64
	closed       bool
	reservations map[uint64]Entry
	lanes        map[uint32]*laneCopy
}

type laneCopy struct {
	mark    uint64
	entries []Entry
}

// NewCopies returns the copies of a router instance, which are empty. A router that restarts is a new router instance
// and has no copies.
func NewCopies(router string) *Copies {
	return &Copies{router: router, journals: map[string]*journalCopy{}}
}

func (c *Copies) journal(instance string) *journalCopy {
	j, ok := c.journals[instance]
	if !ok {
		j = &journalCopy{reservations: map[uint64]Entry{}, lanes: map[uint32]*laneCopy{}}
		c.journals[instance] = j
	}
	return j
}

// Append stores a message. A duplicate of the last message is acknowledged again without effect.
func (c *Copies) Append(a Append) Code {
	if a.Witness != c.router {
		return NotWitness
	}
	j := c.journal(a.Instance)
	switch {
	case j.closed:
		return Closed
	case a.Number < j.lastNumber:
		return Stale
	case a.Number == j.lastNumber:
		return Stored
	}
	j.lastNumber = a.Number
	if a.Through > 0 {
		j.dropThrough(a.Through)
	}
	for _, e := range a.Entries {
		j.add(e)
	}
	for _, m := range a.Marks {
		j.advanceMark(m)
	}
	return Stored
}

func (j *journalCopy) dropThrough(through uint64) {
	for id, e := range j.reservations {
		if e.Seq <= through {
			delete(j.reservations, id)
		}
	}
	for _, l := range j.lanes {
		l.keepAfter(through)
	}
}

func (l *laneCopy) keepAfter(seq uint64) {
	kept := l.entries[:0]
	for _, e := range l.entries {
		if e.Seq > seq {
			kept = append(kept, e)
		}
	}
	clear(l.entries[len(kept):])
	l.entries = kept
}

func (j *journalCopy) add(e Entry) {
	switch e.Kind {
	case Reserve:
		j.reservations[e.Reservation] = e
	case Cancel:
		delete(j.reservations, e.Reservation)
	case Bill:
		delete(j.reservations, e.Reservation)
		j.lane(LaneOf(e.Budget.Organisation)).add(e)
	case TransferOut, TransferIn, Flush:
		j.lane(LaneOf(e.Budget.Organisation)).add(e)
	}
}

func (j *journalCopy) lane(number uint32) *laneCopy {
	l, ok := j.lanes[number]
	if !ok {
		l = &laneCopy{}
		j.lanes[number] = l
	}
	return l
}

// add stores an entry once; an entry is sent again if its acknowledgement was lost.
func (l *laneCopy) add(e Entry) {
	if e.Seq <= l.mark {
		return
	}
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].Seq >= e.Seq; i-- {
		if l.entries[i].Seq == e.Seq {
			return
		}
	}
	l.entries = append(l.entries, e)
	for i := len(l.entries) - 1; i > 0 && l.entries[i-1].Seq > l.entries[i].Seq; i-- {
		l.entries[i-1], l.entries[i] = l.entries[i], l.entries[i-1]
	}
}

func (j *journalCopy) advanceMark(m Mark) {
	l := j.lane(m.Lane)
	if m.Seq > l.mark {
		l.mark = m.Seq
		l.keepAfter(m.Seq)
	}
}

// Close ends a journal and returns its content; it can be repeated. It reports false if this router is not the
// named witness, because entries that the named witness stored may then be missing here. A journal without a copy is
// closed as well: the witness has acknowledged no entry of it.
func (c *Copies) Close(instance, witness string) (Copy, bool) {
	if witness != c.router {
		return Copy{}, false
	}
	j := c.journal(instance)
	j.closed = true
	return j.content(), true
}

func (j *journalCopy) content() Copy {
	var out Copy
	for _, id := range sortedKeys(j.reservations) {
		out.Entries = append(out.Entries, j.reservations[id])
	}
	for number := range uint32(Lanes) {
		if l, ok := j.lanes[number]; ok {
			out.Entries = append(out.Entries, l.entries...)
			out.Marks = append(out.Marks, Mark{Lane: number, Seq: l.mark})
		}
	}
	return out
}

// Forget drops the content of a journal, which stays closed. It reports false if this router is not the named
// witness.
func (c *Copies) Forget(instance, witness string) bool {
	if witness != c.router {
		return false
	}
	c.journals[instance] = &journalCopy{closed: true}
	return true
}

// Instances returns the instances with content, sorted.
func (c *Copies) Instances() []string {
	var out []string
	for instance, j := range c.journals {
		if j.lanes != nil {
			out = append(out, instance)
		}
	}
	slices.Sort(out)
	return out
}

// Size returns the number of journals with content and of the entries in them.
func (c *Copies) Size() (journals, entries int) {
	for _, j := range c.journals {
		if j.lanes != nil {
			journals++
		}
		entries += len(j.reservations)
		for _, l := range j.lanes {
			entries += len(l.entries)
		}
	}
	return journals, entries
}
