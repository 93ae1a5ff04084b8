package route

import (
	"slices"
	"time"
)

// maxHolders bounds the endpoints that the index keeps for one block. A prefix that more endpoints hold is
// found among the random candidates anyway.
const maxHolders = 16

// holder is an endpoint that held a block when it was last seen there.
type holder struct {
	endpoint *endpoint
	seen     time.Duration
}

// prefixIndex maps block hashes to endpoints. It has two generations: when the young one has half of the
// allowed entries, the old one is dropped and the young one takes its place. Entries that are used move back to
// the young generation, so memory is bounded and unused entries disappear.
type prefixIndex struct {
	young   map[uint64][]holder
	old     map[uint64][]holder
	entries int
	limit   int
	maxAge  time.Duration
	gapAge  time.Duration
	origin  time.Time
}

func newPrefixIndex(o Options) prefixIndex {
	return prefixIndex{young: map[uint64][]holder{}, limit: o.MaxPrefixEntries, maxAge: o.PrefixAge, gapAge: o.PrefixGapAge}
}

// clock returns the time since the first use of the index, which takes half the space of a time.Time.
func (x *prefixIndex) clock(now time.Time) time.Duration {
	if x.origin.IsZero() {
		x.origin = now
	}
	return now.Sub(x.origin)
}

func (x *prefixIndex) holders(block uint64) []holder {
	if list, ok := x.young[block]; ok {
		return list
	}
	return x.old[block]
}

// valid reports whether the entry still counts. After a gap in an endpoint's events, which may have hidden
// evictions, its older entries count only for a short time unless they are seen again.
func (x *prefixIndex) valid(now time.Duration, h holder) bool {
	e := h.endpoint
	if e.removed || h.seen < e.cacheSince || now-h.seen > x.maxAge {
		return false
	}
	return h.seen >= e.gapAt || now-e.gapAt <= x.gapAge
}

func (x *prefixIndex) insert(now time.Duration, e *endpoint, blocks ...uint64) {
	for _, block := range blocks {
		if x.entries >= x.limit/2 {
			x.old, x.young, x.entries = x.young, map[uint64][]holder{}, 0
		}
		list, ok := x.young[block]
		if !ok {
			list = x.old[block]
			delete(x.old, block)
		} else {
			x.entries -= len(list)
		}
		list = renew(list, holder{endpoint: e, seen: now})
		x.young[block] = list
		x.entries += len(list)
	}
}

func renew(list []holder, h holder) []holder {
	oldest := 0
	for i := range list {
		if list[i].endpoint == h.endpoint {
			list[i].seen = h.seen
			return list
		}
		if list[i].seen < list[oldest].seen {
			oldest = i
		}
	}
	if len(list) < maxHolders {
		return append(list, h)
	}
	list[oldest] = h
	return list
}

func (x *prefixIndex) evict(e *endpoint, block uint64) {
	generation := x.young
	list, young := x.young[block]
	if !young {
		generation, list = x.old, x.old[block]
	}
	i := slices.IndexFunc(list, func(h holder) bool { return h.endpoint == e })
	if i < 0 {
		return
	}
	if young {
		x.entries--
	}
	if len(list) == 1 {
		delete(generation, block)
		return
	}
	generation[block] = slices.Delete(list, i, i+1)
}

// depth returns how many leading blocks the endpoint holds. It assumes that an endpoint that holds a block
// holds the ones before it.
func (x *prefixIndex) depth(now time.Duration, e *endpoint, blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if x.has(now, e, blocks[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (x *prefixIndex) has(now time.Duration, e *endpoint, block uint64) bool {
	for _, h := range x.holders(block) {
		if h.endpoint == e {
			return x.valid(now, h)
		}
	}
	return false
}

// deepest returns how many leading blocks any endpoint holds.
func (x *prefixIndex) deepest(now time.Duration, blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if x.anyValid(now, blocks[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (x *prefixIndex) anyValid(now time.Duration, block uint64) bool {
	for _, h := range x.holders(block) {
		if x.valid(now, h) {
			return true
		}
	}
	return false
}
