package forward

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxEventBytes is the size limit of one event of a stream.
const maxEventBytes = 1 << 20

// errOutOfSequence means that a stream can't be continued without a gap.
var errOutOfSequence = errors.New("forward: events are not in sequence")

// eventStream splits a stream of server-sent events into complete events and keeps the id of the last one, so that a
// broken stream can be resumed at another endpoint after the last event that the caller has.
type eventStream struct {
	partial []byte
	// lastID is the id of the last complete event, -1 if there is none.
	lastID int64
	// count is the number of complete events that add has returned.
	count int
	// resuming is set until the first new event after a resume: events up to lastID are skipped, and the next one must
	// have the id lastID+1.
	resuming bool
}

func newEventStream() *eventStream { return &eventStream{lastID: -1} }

// add appends bytes of the stream and returns the complete events to be relayed. The result is valid until the next
// call. An error wraps errOutOfSequence; events returned with it are still to be relayed.
func (s *eventStream) add(data []byte) ([]byte, error) {
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, []byte("\n\n"))
	if end < 0 {
		if len(s.partial) > maxEventBytes {
			return nil, fmt.Errorf("%w: event larger than %d bytes", errOutOfSequence, maxEventBytes)
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
		}
		s.count++
		unseen = append(unseen, event...)
	}
	return unseen, nil
}

// resume drops a partial event before the stream continues at another endpoint.
func (s *eventStream) resume() {
	s.partial = nil
	s.resuming = s.lastID >= 0
}

// eventID returns the number in the id field of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
