package forward

import (
	"errors"
	"fmt"
)

const (
	// noEvent stands for the id of an event where there is none.
	noEvent = -1
	// maxFirstID is the largest id of the first event of a stream.
	maxFirstID = 1
)

// errOutOfSequence means that the events of an answer are not numbered one after the other.
var errOutOfSequence = errors.New("forward: events are not in sequence")

// sequence checks that the events of one answer are numbered one after the other. An answer may begin again with events that the
// caller has, but not after the event that is due.
//
// It answers endpoints that repeat, omit or misnumber events: a caller can't tell such an answer from a sound one.
type sequence struct {
	// due is the id of the next event. For the first event of the answer it is the largest one.
	due   int64
	begun bool
}

// newSequence returns the sequence of an answer to a caller that has the events up to after.
func newSequence(after int64) sequence { return sequence{due: max(after+1, maxFirstID)} }

// next checks the next event of the answer. Its error wraps errOutOfSequence.
func (s *sequence) next(id int64) error {
	isDue := id == s.due || !s.begun && id < s.due
	if !isDue {
		return fmt.Errorf("%w: event id %d instead of %d, first of the answer %v", errOutOfSequence, id, s.due, !s.begun)
	}
	s.due, s.begun = id+1, true
	return nil
}
