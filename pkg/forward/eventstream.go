package forward

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxEventBytes is the size limit of one event of a stream. Each open stream may hold as much in memory.
const maxEventBytes = 64 << 10

var (
	// errOutOfSequence means that a stream can't be continued without a gap.
	errOutOfSequence = errors.New("forward: events are not in sequence")
	// errNotAnEvent means that an endpoint sent bytes that are not part of an event.
	errNotAnEvent = errors.New("forward: not an event")
)

// eventStream splits a stream of server-sent events into complete events and keeps the id of the last one, so that a
// broken stream can be resumed at another endpoint after the last event that the caller has.
type eventStream struct {
	partial []byte
	// lastID is the id of the last complete event, or noEvent.
	lastID int64
	// count is the number of complete events that add has returned.
	count int
	// resuming is set until the first new event after a resume: events up to lastID are skipped, and the next one must
	// have the id lastID+1.
	resuming bool
	// unfinished is set after a part of an event was dropped, until the next new event: the stream has at least one more.
	unfinished bool
	// sequence checks the ids of the present answer, and irregular is its first finding.
	sequence  sequence
	irregular irregularity
}

// newEventStream returns a stream that begins after the event with the id after, or at its first event with noEvent.
func newEventStream(after int64) *eventStream {
	return &eventStream{lastID: noEvent, sequence: sequence{after: after, previous: noEvent}}
}

// add appends bytes of the stream and returns the complete events to be relayed. The result is valid until the next
// call. Its errors wrap errOutOfSequence or errNotAnEvent; events returned with it are still to be relayed.
func (s *eventStream) add(data []byte) ([]byte, error) {
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, []byte("\n\n"))
	if end < 0 {
		if len(s.partial) > maxEventBytes {
			return nil, fmt.Errorf("%w: larger than %d bytes", errNotAnEvent, maxEventBytes)
		}
		return nil, nil
	}
	complete := s.partial[:end+2]
	rest := s.partial[end+2:]
	s.partial = append([]byte(nil), rest...)
	return s.checkSequence(complete)
}

// checkSequence records the ids of complete events and drops the events that the caller already has.
func (s *eventStream) checkSequence(complete []byte) ([]byte, error) {
	var unseen []byte
	for len(complete) > 0 {
		n := bytes.Index(complete, []byte("\n\n")) + 2
		event := complete[:n]
		complete = complete[n:]
		id, ok := eventID(event)
		if !ok && !isComment(event) {
			return unseen, fmt.Errorf("%w: it has no id", errNotAnEvent)
		}
		if ok && s.irregular == "" {
			s.irregular = s.sequence.next(event, id)
		}
		if ok && s.resuming {
			if id <= s.lastID {
				continue
			}
			if s.lastID >= 0 && id != s.lastID+1 {
				return unseen, fmt.Errorf("%w: event id %d after %d", errOutOfSequence, id, s.lastID)
			}
			s.resuming = false
		}
		if ok {
			s.lastID = id
			s.count++
			s.unfinished = false
		}
		unseen = append(unseen, event...)
	}
	return unseen, nil
}

// resume drops a partial event before the stream continues at another endpoint.
func (s *eventStream) resume() {
	s.unfinished = s.unfinished || len(s.partial) > 0
	s.partial = nil
	s.resuming = s.lastID >= 0
	s.sequence, s.irregular = sequence{after: s.lastID, previous: noEvent}, ""
}

// endsWhole reports whether the stream may be complete where it has ended: not inside an event, and not before one of which a part
// had arrived. hasEvents is set if the caller had events before the request, and framed if the response states its end by a length or
// chunks: without either, an end before any event is no proof.
func (s *eventStream) endsWhole(hasEvents, framed bool) bool {
	if len(s.partial) > 0 || s.unfinished {
		return false
	}
	return framed || hasEvents || s.lastID >= 0
}

// isComment reports whether an event has only comment lines, which endpoints may send to keep a connection open.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(bytes.TrimRight(event, "\n"), []byte("\n")) {
		if !bytes.HasPrefix(line, []byte(":")) {
			return false
		}
	}
	return true
}

// eventID returns the number in the id field of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return parseEventID(string(bytes.TrimSpace(value)))
		}
	}
	return 0, false
}

func parseEventID(text string) (int64, bool) {
	id, err := strconv.ParseInt(text, 10, 64)
	return id, err == nil
}
