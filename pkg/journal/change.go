package journal

import "slices"

// Propose starts a change of the witnesses. It reports false if a change is in progress. The caller records the
// new set in the instance record once ReadyToRecord reports true, and then calls FinishChange.
func (l *Log) Propose(set []Ref) bool {
	if l.change != nil || l.closed {
		return false
	}
	l.change = &change{set: set, full: map[string]bool{}, after: l.number}
	for _, ref := range set {
		if l.isRecorded(ref.Router) {
			continue
		}
		l.change.full[ref.Router] = false
		if _, ok := l.links[ref.Router]; !ok {
			l.links[ref.Router] = &link{ref: ref}
		}
	}
	return true
}

func (l *Log) isRecorded(router string) bool {
	for _, ref := range l.set {
		if ref.Router == router {
			return true
		}
	}
	return false
}

// join records that a witness has all that was open when the change began.
func (c *change) join(router string) {
	if _, joining := c.full[router]; joining {
		c.full[router] = true
	}
	c.covered = c.covered || slices.ContainsFunc(c.set, func(r Ref) bool { return r.Router == router })
}

// ReadyToRecord returns the new set once every new witness has all that is open. If the set has no new witness, one
// of it must have all that is open, because entries may be known only to a witness that is dropped; and if it is
// empty, nothing may be open but reservations. From then on the record may change at any time, so AbortChange has no
// effect any more.
func (l *Log) ReadyToRecord() ([]Ref, bool) {
	if l.change == nil || l.change.recording || l.closed {
		return nil, false
	}
	for _, full := range l.change.full {
		if !full {
			return nil, false
		}
	}
	if len(l.change.set) == 0 && l.unsettled() || len(l.change.set) > 0 && !l.change.covered {
		return nil, false
	}
	l.change.recording = true
	return l.change.set, true
}

// unsettled reports whether the ledger lacks bills, flushes or transfers.
func (l *Log) unsettled() bool {
	for i := range l.lanes {
		if len(l.lanes[i].unsettled) > 0 {
			return true
		}
	}
	return false
}

// FinishChange ends a change: the instance record names the new set, or, if ok is false, it is known to name the
// former one still.
func (l *Log) FinishChange(ok bool) {
	if l.change == nil {
		return
	}
	set := l.change.set
	l.change = nil
	if !ok {
		return
	}
	former := l.set
	l.set = set
	for router, k := range l.links {
		if !l.isRecorded(router) {
			delete(l.links, router)
		} else if !slices.ContainsFunc(former, func(r Ref) bool { return r.Router == router }) {
			// What a new witness stored before the record named it was not an acknowledgement.
			k.lose()
		}
	}
}

// AbortChange ends a change whose new witnesses do not answer, unless it may have been recorded.
func (l *Log) AbortChange() {
	if l.change != nil && !l.change.recording {
		l.FinishChange(false)
	}
}

// Changing reports whether a change is in progress.
func (l *Log) Changing() bool { return l.change != nil }
