package journal

// Propose starts a change of the witnesses. It reports false if a change is in progress. The caller records the
// new set in the instance record once ReadyToRecord reports true, and then calls Recorded.
func (l *Log) Propose(set []Ref) bool {
	if l.change != nil || l.closed {
		return false
	}
	l.change = &change{set: set, full: map[string]bool{}}
	for _, ref := range set {
		if l.isRecorded(ref.Router) {
			continue
		}
		l.change.full[ref.Router] = false
		if _, ok := l.links[ref.Router]; !ok {
			l.links[ref.Router] = &link{ref: ref}
		}
	}
	for _, ref := range set {
		if l.isRecorded(ref.Router) {
			l.change.full[ref.Router] = true
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

// ReadyToRecord returns the new set once every new witness has all that is open. From then on the record may
// change at any time, so Abandon has no effect any more.
func (l *Log) ReadyToRecord() ([]Ref, bool) {
	if l.change == nil || l.change.recording || l.closed {
		return nil, false
	}
	for _, full := range l.change.full {
		if !full {
			return nil, false
		}
	}
	l.change.recording = true
	return l.change.set, true
}

// Recorded ends a change: the instance record names the new set, or, if ok is false, it is known to name the
// former one still.
func (l *Log) Recorded(ok bool) {
	if l.change == nil {
		return
	}
	set := l.change.set
	l.change = nil
	if !ok {
		return
	}
	l.set = set
	l.target = ""
	l.spread = len(set) > 1
	for router := range l.links {
		if !l.isRecorded(router) {
			delete(l.links, router)
		}
	}
}

// Abandon ends a change whose new witnesses do not answer, unless it may have been recorded.
func (l *Log) Abandon() {
	if l.change != nil && !l.change.recording {
		l.Recorded(false)
	}
}

// Changing reports whether a change is in progress.
func (l *Log) Changing() bool { return l.change != nil }
