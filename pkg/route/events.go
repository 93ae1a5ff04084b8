package route

import "time"

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Evicted  bool
	// Block is the hash of the prefix up to the block.
	Block uint64
}

// ApplyCacheEvents applies the events from one poll of an engine, in the order of their sequence numbers, and returns
// the number after which the next poll continues, or 0 if the VM is not in the table. newest is the number of the
// engine's newest event. At most one poll per engine may be in progress at a time.
//
// A jump of the sequence numbers is a gap: entries from before it are ignored after Options.PrefixGapAge unless they
// are inserted again. If newest is below the last number applied, the engine has restarted, and its earlier entries
// are ignored.
func (t *Table) ApplyCacheEvents(now time.Time, vm string, events []CacheEvent, newest uint64) uint64 {
	e := t.endpoints[vm]
	if e == nil {
		return 0
	}
	elapsed := t.prefix.elapsed(now)
	if newest < e.sequence {
		e.cacheResetAt, e.sequence = elapsed, 0
	}
	for _, event := range events {
		if event.Sequence <= e.sequence {
			continue
		}
		if event.Sequence != e.sequence+1 {
			e.lastGapAt = elapsed
		}
		e.sequence = event.Sequence
		switch {
		case !isSampled(event.Block):
		case event.Evicted:
			t.prefix.evict(e, event.Block)
		default:
			t.prefix.insert(elapsed, e, event.Block)
		}
	}
	return e.sequence
}
