package journal

// laneLog tracks which bills, flushes and transfers of a lane the ledger does not have.
type laneLog struct {
	// unsettled holds the positions of the entries that the ledger does not have, and of the settled ones after the first
	// of these.
	unsettled []position
	// mark is the last position up to which the ledger has all entries.
	mark uint64
}

type position struct {
	seq     uint64
	settled bool
}

func (l *laneLog) add(seq uint64) { l.unsettled = append(l.unsettled, position{seq: seq}) }

func (l *laneLog) settle(seq uint64) {
	for i := range l.unsettled {
		if l.unsettled[i].seq == seq {
			l.unsettled[i].settled = true
			break
		}
	}
	settledPrefix := 0
	for settledPrefix < len(l.unsettled) && l.unsettled[settledPrefix].settled {
		l.mark = l.unsettled[settledPrefix].seq
		settledPrefix++
	}
	l.unsettled = l.unsettled[settledPrefix:]
	if len(l.unsettled) == 0 {
		l.unsettled = nil
	}
}
