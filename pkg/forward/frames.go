package forward

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// maxFrameBytes bounds one event of a stream.
const maxFrameBytes = 1 << 20

// errFrames means that a stream can't be continued without a gap.
var errFrames = errors.New("forward: events are not in sequence")

// frames splits a stream into whole events and keeps the id of the last one, so that a stream that breaks can go on
// at another endpoint after the last event that the caller has.
type frames struct {
	partial []byte
	// last is the id of the last whole event, -1 if there is none.
	last int64
	// count is the number of whole events that were passed on.
	count int
	// resumed tells that events up to last are to be skipped and the next one must follow it.
	resumed bool
}

func newFrames() *frames { return &frames{last: -1} }

// add takes bytes of the stream and returns the whole events that can be passed on. The result is valid until the next
// call.
func (f *frames) add(data []byte) ([]byte, error) {
	f.partial = append(f.partial, data...)
	end := bytes.LastIndex(f.partial, []byte("\n\n"))
	if end < 0 {
		if len(f.partial) > maxFrameBytes {
			return nil, fmt.Errorf("%w: event of more than %d bytes", errFrames, maxFrameBytes)
		}
		return nil, nil
	}
	whole := f.partial[:end+2]
	rest := f.partial[end+2:]
	f.partial = append([]byte(nil), rest...)
	return f.check(whole)
}

// check follows the ids of whole events and drops those that the caller has already.
func (f *frames) check(whole []byte) ([]byte, error) {
	var out []byte
	for len(whole) > 0 {
		n := bytes.Index(whole, []byte("\n\n")) + 2
		event := whole[:n]
		whole = whole[n:]
		id, ok := eventID(event)
		if ok && f.resumed {
			if id <= f.last {
				continue
			}
			if f.last >= 0 && id != f.last+1 {
				return out, fmt.Errorf("%w: %d after %d", errFrames, id, f.last)
			}
			f.resumed = false
		}
		if ok {
			f.last = id
		}
		f.count++
		out = append(out, event...)
	}
	return out, nil
}

// restart drops a partial event before the stream goes on at another endpoint.
func (f *frames) restart() {
	f.partial = nil
	f.resumed = f.last >= 0
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
