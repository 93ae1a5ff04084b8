package forward

import "bytes"

const (
	// noEvent stands for the id of an event where there is none.
	noEvent = -1
	// maxFirstID is the largest id of the first event of a stream.
	maxFirstID = 1
)

// irregularity tells how the ids of an answer's events are not one after the other. It is empty if they are.
type irregularity string

const (
	// irregularGap means that events are missing, and irregularFirst that the first one is not the one that was due.
	irregularGap   irregularity = "gap"
	irregularFirst irregularity = "first_event"
	// irregularRepeat means that an id comes twice in a row, and irregularBackward that one is lower than the one before.
	irregularRepeat   irregularity = "repeat"
	irregularBackward irregularity = "backward"
	// irregularIDs means that an event has several ids, of which a caller may take another one than this router.
	irregularIDs irregularity = "several_ids"
)

// sequence checks that the events of one answer are numbered one after the other. An answer may begin again with events that the
// caller has, but not after the event that is due.
type sequence struct {
	// after is the last event that the caller had before the answer, and previous the last one of the answer.
	after, previous int64
}

// next checks the next event of the answer.
func (s *sequence) next(event []byte, id int64) irregularity {
	previous := s.previous
	s.previous = id
	switch {
	case countIDs(event) > 1:
		return irregularIDs
	case previous == noEvent && id > max(s.after+1, maxFirstID):
		return irregularFirst
	case previous == noEvent || id == previous+1:
		return ""
	case id > previous:
		return irregularGap
	case id == previous:
		return irregularRepeat
	}
	return irregularBackward
}

// countIDs returns the number of id fields of an event.
func countIDs(event []byte) int {
	n := 0
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			n++
		}
	}
	return n
}

// idField begins the line with an event's id.
var idField = []byte("id:")
