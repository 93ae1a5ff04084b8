package origin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

const (
	// maxStreams bounds the streams that a router remembers, and maxStored those in its object; the oldest are left out.
	maxStreams = 20_000
	maxStored  = 1_000
)

// maxNameBytes is the length up to which the id of a stream, which its caller chooses, and a version that another router names are
// remembered as they are.
const maxNameBytes = 128

// streamName returns the name under which a stream is remembered: its id, or a hash of a longer one.
func streamName(id string) string {
	if len(id) <= maxNameBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Began is where a stream began.
type Began struct {
	// Software is the version of the software of the process that sent its first event.
	Software string
	// Unproven is set if the version isn't known. The stream can't go on then.
	Unproven bool
}

// Run is a process of an endpoint.
type Run struct {
	Endpoint string
	// Started is its start time as a Unix time in ms.
	Started int64
}

// stream is where a stream began.
type stream struct {
	id, service string
	Began
	// run is the process at which an unproven stream of this router began, the zero Run if it isn't known either.
	run Run
	at  time.Time
}

// streams remembers where streams began, for MaxStreamAge. It reads no clock.
type streams struct {
	byID map[string]stream
	// order holds the streams by the time at which they were added, the oldest first.
	order []stream
}

// add adds a stream that began at st.at.
func (s *streams) add(now time.Time, st stream) {
	s.byID[st.id] = st
	s.order = append(s.order, st)
	expired := 0
	for expired < len(s.order) && (now.Sub(s.order[expired].at) > MaxStreamAge || len(s.order)-expired > maxStreams) {
		if old := s.order[expired]; s.byID[old.id].at.Equal(old.at) {
			delete(s.byID, old.id)
		}
		expired++
	}
	s.order = s.order[expired:]
}

// find returns where the stream began.
func (s *streams) find(now time.Time, id string) (b Began, ok bool) {
	st, ok := s.byID[id]
	return st.Began, ok && now.Sub(st.at) <= MaxStreamAge
}

// own returns the latest streams of this router that match and may still be taken up, the newest first.
func (s *streams) own(now time.Time, match func(*stream) bool, limit int) []stream {
	var found []stream
	for i := len(s.order) - 1; i >= 0 && len(found) < limit; i-- {
		st := s.order[i]
		if st.service != "" && match(&st) && now.Sub(st.at) <= MaxStreamAge && s.byID[st.id] == st {
			found = append(found, st)
		}
	}
	return found
}

// storedStreams is the value of a router's object in the store, by the ids of the streams.
type storedStreams map[string]storedStream

type storedStream struct {
	Service  string `json:"service"`
	Software string `json:"software"`
	Unproven bool   `json:"unproven,omitempty"`
	// AtMS is the time of the first event in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

func encodeStreams(list []stream) []byte {
	stored := make(storedStreams, len(list))
	for _, st := range list {
		stored[st.id] = storedStream{Service: st.service, Software: st.Software, Unproven: st.Unproven, AtMS: st.at.UnixMilli()}
	}
	value, err := json.Marshal(stored)
	if err != nil {
		panic(fmt.Sprintf("origin: encode streams: %v", err))
	}
	return value
}

// decodeStreams returns the streams that may still be taken up, by a router's clock.
func decodeStreams(now time.Time, value []byte) ([]stream, error) {
	var stored storedStreams
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("origin: decode streams: %w", err)
	}
	var list []stream
	for id, st := range stored {
		age := now.Sub(time.UnixMilli(st.AtMS))
		if age <= MaxStreamAge+maxClockSkew {
			// Clocks may differ; a stream never counts as younger than it is by this router's steady clock.
			list = append(list, stream{id: id, service: st.Service, Began: Began{st.Software, st.Unproven}, at: now.Add(-min(MaxStreamAge, max(0, age)))})
		}
	}
	return list, nil
}
