package journal

// laneLog tracks which bills, flushes and transfers of a lane the ledger does not have.
type laneLog struct {
	// unsettled holds the positions of the entries that the ledger does not have, and of settled ones behind them.
	unsettled []position
	// mark is the last position up to which the ledger has everything.
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
	done := 0
	for done < len(l.unsettled) && l.unsettled[done].settled {
		l.mark = l.unsettled[done].seq
		done++
	}
	l.unsettled = l.unsettled[done:]
	if len(l.unsettled) == 0 {
		l.unsettled = nil
	}
}
