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
	// errNotAnEvent means that an endpoint sent bytes that are not an event of a stream that can be resumed.
	errNotAnEvent = errors.New("forward: not an event")
	// errEndedEarly means that a stream ended in order inside an event, or before one that is due.
	errEndedEarly = errors.New("forward: the stream ended early")
)

// eventStream splits a stream of server-sent events into complete events and keeps the id of the last one, so that a
// broken stream can be resumed at another endpoint after the last event that the caller has.
type eventStream struct {
	partial []byte
	// sequence checks the ids of the present answer and keeps the last one.
	sequence
	// count is the number of complete events that add has returned.
	count int
	// unfinished is set after a part of an event was dropped, until the next new event: the stream has at least one more.
	unfinished bool
}

// newEventStream returns a stream that goes on after the event with the id after, or begins at its first event with noEvent.
func newEventStream(after int64) *eventStream {
	return &eventStream{sequence: newSequence(after)}
}

// add appends bytes of the stream and returns the complete events to be relayed. The result is valid until the next
// call. Its errors wrap errOutOfSequence or errNotAnEvent; events returned with it are still to be relayed.
func (s *eventStream) add(data []byte) ([]byte, error) {
	s.partial = append(s.partial, data...)
	end := lastEventEnd(s.partial)
	if end == 0 {
		if len(s.partial) > maxEventBytes {
			return nil, fmt.Errorf("%w: larger than %d bytes", errNotAnEvent, maxEventBytes)
		}
		return nil, nil
	}
	complete, rest := s.partial[:end], s.partial[end:]
	s.partial = append([]byte(nil), rest...)
	return s.checkEvents(complete)
}

// An event ends with an empty line. Lines end with LF or CR LF.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// lastEventEnd returns the length of the data up to the end of its last complete event, 0 if there is none.
func lastEventEnd(data []byte) int {
	end := 0
	for _, mark := range eventEnds {
		if i := bytes.LastIndex(data, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// firstEventEnd returns the length of the first event in complete events.
func firstEventEnd(complete []byte) int {
	end := len(complete)
	for _, mark := range eventEnds {
		if i := bytes.Index(complete, mark); i >= 0 {
			end = min(end, i+len(mark))
		}
	}
	return end
}

// checkEvents records the ids of complete events and returns the events before the first one that is not in sequence.
func (s *eventStream) checkEvents(complete []byte) ([]byte, error) {
	for end := 0; end < len(complete); {
		event := complete[end : end+firstEventEnd(complete[end:])]
		if !isComment(event) {
			id, ok := eventID(event)
			if !ok {
				return complete[:end], fmt.Errorf("%w: it has not one id", errNotAnEvent)
			}
			if err := s.next(id); err != nil {
				return complete[:end], err
			}
			s.count++
			s.unfinished = false
		}
		end += len(event)
	}
	return complete, nil
}

// resume drops a partial event before the stream continues at another endpoint.
func (s *eventStream) resume() {
	s.unfinished = s.unfinished || len(s.partial) > 0
	s.partial = nil
	s.sequence = newSequence(s.lastID)
}

// endsWhole reports whether the stream may be complete where it has ended: not inside an event, and not before one of which a part
// had arrived. framed is set if the response states its end by a length or chunks: without either, an end before any event is no
// proof.
func (s *eventStream) endsWhole(framed bool) bool {
	if len(s.partial) > 0 || s.unfinished {
		return false
	}
	return framed || s.lastID != noEvent
}

// isComment reports whether an event has only comment lines, which endpoints may send to keep a connection open.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(bytes.TrimRight(event, "\r\n"), []byte("\n")) {
		if !bytes.HasPrefix(line, []byte(":")) {
			return false
		}
	}
	return true
}

// eventID returns the number in the id field of an event. It fails if the event has no id or several, of which a caller may take another
// one.
func eventID(event []byte) (id int64, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, isID := bytes.CutPrefix(line, []byte("id:"))
		if !isID {
			continue
		}
		if ok {
			return 0, false
		}
		if id, ok = parseEventID(string(bytes.TrimSpace(value))); !ok {
			return 0, false
		}
	}
	return id, ok
}

// parseEventID returns the number of an event.
func parseEventID(text string) (int64, bool) {
	const base, bits = 10, 63 // It fits into an int64 and isn't negative.
	id, err := strconv.ParseUint(text, base, bits)
	return int64(id), err == nil
}
