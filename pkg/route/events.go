package route

import "time"

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Evicted  bool
	// Block is the hash of the prefix up to the block.
	Block uint64
}

// CacheEvents applies the answer to a poll of an engine's cache events, in the order of their sequence numbers, and
// returns the number after which the next poll continues. newest is the number of the engine's newest event.
// There must be one poll per engine at a time.
//
// A jump of the sequence numbers is a gap: entries from before it are kept for the option PrefixGapAge unless
// they are seen again. If newest is below the last number seen, the engine has started anew, and all its earlier
// entries are dropped.
func (t *Table) CacheEvents(now time.Time, vm string, events []CacheEvent, newest uint64) uint64 {
	e := t.endpoints[vm]
	if e == nil {
		return 0
	}
	at := t.prefix.clock(now)
	if newest < e.sequence {
		e.cacheSince, e.sequence = at, 0
	}
	for _, event := range events {
		if event.Sequence <= e.sequence {
			continue
		}
		if event.Sequence != e.sequence+1 {
			e.gapAt = at
		}
		e.sequence = event.Sequence
		switch {
		case !sampled(event.Block):
		case event.Evicted:
			t.prefix.evict(e, event.Block)
		default:
			t.prefix.insert(at, e, event.Block)
		}
	}
	return e.sequence
}
