package allowance

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"time"
)

const (
	// maxLastWrites bounds the routers whose last write an object holds, so that its value stays under 32 KB.
	maxLastWrites = 512
	// maxUnseenTime is the longest time before a restore for which draws that nobody remembers are estimated.
	maxUnseenTime = 20 * time.Second
	// unseenMargin is the factor by which the demand of that time may have exceeded its average.
	unseenMargin = 1.5
)

// record is the value of the store's object for an organisation.
type record struct {
	// Drawn is the number of tokens that routers have drawn and not returned, over all eras.
	Drawn int64 `json:"drawn"`
	// LastWrites holds the ID of each router's last write by the router's name. After a lost response, the router sees
	// from it whether its write took effect.
	LastWrites map[string]string `json:"marks,omitempty"`
	// Eras divides Drawn by the store's era. Records of earlier versions have none.
	Eras Draws `json:"eras,omitempty"`
	// Demand is the number of tokens per second that requests asked for, Held what the last writer had left for later ones, and
	// AtMS the time of the last write in Unix milliseconds.
	Demand int64 `json:"demand,omitempty"`
	Held   int64 `json:"held,omitempty"`
	AtMS   int64 `json:"at_ms,omitempty"`
	// undivided is set if the record has no eras, because an earlier version of the router wrote it.
	undivided bool
}

// EraDraws is what routers have drawn in one era of the store.
type EraDraws struct {
	// Writes is the number of draws and returns, and Drawn the number of tokens that they drew and didn't return.
	Writes uint64 `json:"writes"`
	Drawn  int64  `json:"drawn"`
}

// Draws holds what routers have drawn by the store's era. The writes of one era follow each other, so of two states of an
// era the one with more writes includes the other. A store that comes back from an older copy forgets the latest writes of an
// era, and further draws belong to the next one.
type Draws map[uint64]EraDraws

// total returns the tokens drawn in all eras.
func (d Draws) total() int64 {
	var sum int64
	for _, e := range d {
		sum += e.Drawn
	}
	return sum
}

// merged returns the later state of each era.
func (d Draws) merged(other Draws) Draws {
	result := maps.Clone(d)
	if result == nil {
		result = Draws{}
	}
	for era, o := range other {
		if o.isAfter(result[era]) {
			result[era] = o
		}
	}
	return result
}

// lacks reports whether other has a later state of an era.
func (d Draws) lacks(other Draws) bool {
	for era, o := range other {
		if o.isAfter(d[era]) {
			return true
		}
	}
	return false
}

// isAfter orders the states of one era. Two states with as many writes differ only if one holds an estimate, or a draw that
// was given up; the larger one is the safe choice.
func (e EraDraws) isAfter(other EraDraws) bool {
	return e.Writes > other.Writes || e.Writes == other.Writes && e.Drawn > other.Drawn
}

// newest returns the newest era.
func (d Draws) newest() uint64 {
	var newest uint64
	for era := range d {
		newest = max(newest, era)
	}
	return newest
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, err
	}
	if len(r.Eras) == 0 && r.Drawn != 0 {
		r.Eras, r.undivided = Draws{0: {Drawn: r.Drawn}}, true
	}
	return r, nil
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("allowance: encode record: %v", err))
	}
	return value
}

// with returns the record with the later state of each era.
func (r record) with(known Draws) record {
	r.Eras = r.Eras.merged(known)
	r.Drawn, r.undivided = r.Eras.total(), false
	return r
}

// write is a draw or a return of a router.
type write struct {
	vm, id string
	// era is the one to which the write counts, and amount the change of the drawn tokens.
	era    uint64
	amount int64
	// at is the time of the write, demand the router's demand in tokens per second, and held what it has left after the write.
	at           time.Time
	demand, held int64
}

// after returns the record after a write.
func (r record) after(w write) record {
	next := r
	next.LastWrites, next.Eras = maps.Clone(r.LastWrites), r.Eras.merged(nil)
	if next.LastWrites == nil || len(next.LastWrites) > maxLastWrites {
		next.LastWrites = map[string]string{}
	}
	next.LastWrites[w.vm] = w.id
	e := next.Eras[w.era]
	next.Eras[w.era] = EraDraws{Writes: e.Writes + 1, Drawn: e.Drawn + w.amount}
	next.Drawn = next.Eras.total()
	next.Demand, next.Held, next.AtMS = max(w.demand, r.demandAt(w.at)), w.held, w.at.UnixMilli()
	return next
}

// demandAt returns the demand at the last write, as far as it still counts.
func (r record) demandAt(now time.Time) int64 {
	elapsed := max(0, now.Sub(time.UnixMilli(r.AtMS)).Seconds())
	return int64(float64(r.Demand) * math.Exp(-elapsed/demandWindow.Seconds()))
}

// isOpenIn reports whether a router has written the record in the era, or there is nothing to remember from earlier ones.
func (r record) isOpenIn(era uint64) bool {
	_, ok := r.Eras[era]
	return ok || len(r.Eras) == 0
}

// withEstimate returns the record of an older copy with an estimate of what was spent after it and before until and that no
// router remembers: the demand of that time beyond what was drawn ahead of it, but at most remainder tokens. It answers a power
// failure of all routers around a restore of the store, after which nobody holds tokens.
func (r record) withEstimate(until time.Time, remainder int64) record {
	unseen := until.Sub(time.UnixMilli(r.AtMS))
	if r.AtMS == 0 || unseen <= 0 || unseen > 3*maxUnseenTime {
		return r
	}
	spent := int64(unseenMargin*float64(r.Demand)*min(unseen, maxUnseenTime).Seconds()) - r.Held
	newest := r.Eras.newest()
	e := r.Eras[newest]
	return r.with(Draws{newest: {Writes: e.Writes, Drawn: e.Drawn + max(0, min(spent, remainder))}})
}
