package route

import (
	"slices"
	"time"
)

// maxHolders limits the endpoints that the index keeps for one block. If more endpoints hold a prefix, one of them is
// found among the random candidates anyway.
const maxHolders = 16

// holder is an endpoint that held a block at the time insertedAt.
type holder struct {
	endpoint   *endpoint
	insertedAt time.Duration
}

// prefixIndex maps block hashes to the endpoints that hold the block. It has two generations: when the young one has
// half of the allowed entries, it replaces the old one. Entries that are inserted again move back to the young
// generation, so memory is bounded and unused entries disappear.
type prefixIndex struct {
	young      map[uint64][]holder
	old        map[uint64][]holder
	entries    int
	maxEntries int
	maxAge     time.Duration
	gapAge     time.Duration
	origin     time.Time
}

func newPrefixIndex(o Options) prefixIndex {
	return prefixIndex{young: map[uint64][]holder{}, maxEntries: o.MaxPrefixEntries, maxAge: o.PrefixAge, gapAge: o.PrefixGapAge}
}

// elapsed returns the time since the first use of the index. With it, a holder takes half the space that it would take
// with a time.Time.
func (x *prefixIndex) elapsed(now time.Time) time.Duration {
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

// isValid reports whether the entry still counts. After a gap in an endpoint's events, which may have hidden evictions,
// its older entries count only for gapAge unless they are inserted again.
func (x *prefixIndex) isValid(elapsed time.Duration, h holder) bool {
	e := h.endpoint
	if e.removed || h.insertedAt < e.cacheResetAt || elapsed-h.insertedAt > x.maxAge {
		return false
	}
	return h.insertedAt >= e.lastGapAt || elapsed-e.lastGapAt <= x.gapAge
}

func (x *prefixIndex) insert(elapsed time.Duration, e *endpoint, blocks ...uint64) {
	for _, block := range blocks {
		if x.entries >= x.maxEntries/2 {
			x.old, x.young, x.entries = x.young, map[uint64][]holder{}, 0
		}
		list, ok := x.young[block]
		if !ok {
			list = x.old[block]
			delete(x.old, block)
		} else {
			x.entries -= len(list)
		}
		list = upsertHolder(list, holder{endpoint: e, insertedAt: elapsed})
		x.young[block] = list
		x.entries += len(list)
	}
}

func upsertHolder(list []holder, h holder) []holder {
	oldest := 0
	for i := range list {
		if list[i].endpoint == h.endpoint {
			list[i].insertedAt = h.insertedAt
			return list
		}
		if list[i].insertedAt < list[oldest].insertedAt {
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

// depth returns how many leading blocks the endpoint holds. The binary search assumes that an endpoint that holds a
// block holds the ones before it.
func (x *prefixIndex) depth(elapsed time.Duration, e *endpoint, blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if x.holdsBlock(elapsed, e, blocks[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (x *prefixIndex) holdsBlock(elapsed time.Duration, e *endpoint, block uint64) bool {
	for _, h := range x.holders(block) {
		if h.endpoint == e {
			return x.isValid(elapsed, h)
		}
	}
	return false
}

// maxDepth returns the largest number of leading blocks that any endpoint holds.
func (x *prefixIndex) maxDepth(elapsed time.Duration, blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if x.hasValidHolder(elapsed, blocks[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (x *prefixIndex) hasValidHolder(elapsed time.Duration, block uint64) bool {
	for _, h := range x.holders(block) {
		if x.isValid(elapsed, h) {
			return true
		}
	}
	return false
}
