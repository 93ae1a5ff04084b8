package journal

import "slices"

// Propose starts a change of the witnesses. It reports false if a change is in progress. The caller records the
// new set in the instance record once ReadyToRecord reports true, and then calls FinishChange.
func (l *Log) Propose(witnesses []Ref) bool {
	if l.change != nil || l.closed {
		return false
	}
	l.change = &change{witnesses: witnesses, synced: map[string]bool{}, lastNumber: l.number}
	for _, ref := range witnesses {
		if l.isRecorded(ref.Router) {
			continue
		}
		l.change.synced[ref.Router] = false
		if _, ok := l.links[ref.Router]; !ok {
			l.links[ref.Router] = &link{ref: ref}
		}
	}
	return true
}

func (l *Log) isRecorded(router string) bool {
	for _, ref := range l.witnesses {
		if ref.Router == router {
			return true
		}
	}
	return false
}

// markSynced records that a witness has stored all entries that were open when the change began.
func (c *change) markSynced(router string) {
	if _, isNew := c.synced[router]; isNew {
		c.synced[router] = true
	}
	c.anySynced = c.anySynced || slices.ContainsFunc(c.witnesses, func(r Ref) bool { return r.Router == router })
}

// ReadyToRecord returns the new set once every new witness has stored all open entries. If the set has no new witness,
// one of its witnesses must have stored all open entries, because some may be stored only by a witness that is removed.
// If the set is empty, only reservations may be open. Once ReadyToRecord has reported true, the record may change at
// any time, so AbortChange has no effect any more.
func (l *Log) ReadyToRecord() ([]Ref, bool) {
	if l.change == nil || l.change.recording || l.closed {
		return nil, false
	}
	for _, synced := range l.change.synced {
		if !synced {
			return nil, false
		}
	}
	if len(l.change.witnesses) == 0 && l.hasUnsettledEntries() || len(l.change.witnesses) > 0 && !l.change.anySynced {
		return nil, false
	}
	l.change.recording = true
	return l.change.witnesses, true
}

// hasUnsettledEntries reports whether there are bills, flushes or transfers that the ledger does not have.
func (l *Log) hasUnsettledEntries() bool {
	for i := range l.lanes {
		if len(l.lanes[i].unsettled) > 0 {
			return true
		}
	}
	return false
}

// FinishChange ends a change: the instance record names the new set or, if ok is false, certainly still names the
// previous one.
func (l *Log) FinishChange(ok bool) {
	if l.change == nil {
		return
	}
	witnesses := l.change.witnesses
	l.change = nil
	if !ok {
		return
	}
	previous := l.witnesses
	l.witnesses = witnesses
	for router, k := range l.links {
		if !l.isRecorded(router) {
			delete(l.links, router)
		} else if !slices.ContainsFunc(previous, func(r Ref) bool { return r.Router == router }) {
			// Entries that a new witness stored before the record named it were not acknowledged, so they are sent again.
			k.requireResync()
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
