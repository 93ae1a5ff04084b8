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

// errOutOfSequence means that the events of an answer are not numbered one after the other, from the one that is due.
var errOutOfSequence = errors.New("forward: events are not in sequence")

// sequence checks that the events of one answer are numbered one after the other, and that the first one follows the last one that the
// caller has; a new stream begins with 0 or 1.
//
// It answers endpoints that repeat, omit or misnumber events: a caller can't tell such an answer from a sound one. An answer that
// begins too early is of another run, so its rest needn't fit either.
type sequence struct {
	// after is the id of the last event that the caller had before the answer, or noEvent.
	after int64
	// first is the id with which the answer began, or noEvent.
	first int64
	// lastID is the id of the last event that the caller has, or noEvent.
	lastID int64
}

// newSequence returns the sequence of an answer to a caller that has the events up to after.
func newSequence(after int64) sequence { return sequence{after: after, first: noEvent, lastID: after} }

// next checks the next event of the answer. Its error wraps errOutOfSequence.
func (s *sequence) next(id int64) error {
	if s.first == noEvent {
		s.first = id
	}
	isDue := id == s.lastID+1 || s.lastID == noEvent && id <= maxFirstID
	if !isDue {
		return fmt.Errorf("%w: event id %d instead of %d", errOutOfSequence, id, max(s.lastID+1, maxFirstID))
	}
	s.lastID = id
	return nil
}
