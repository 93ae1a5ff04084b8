package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a cache that exceeds its capacity or evicts the blocks just used, and against events that don't match
// its content.
func TestCacheIsLRU(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 8).Draw(t, "capacity")
		cachedByEvents := map[uint64]bool{}
		c := newCache(capacity, func(kind string, block uint64) {
			if cachedByEvents[block] == (kind == EventStored) {
				t.Fatalf("block %d: repeated event %s", block, kind)
			}
			cachedByEvents[block] = kind == EventStored
		})
		for range rapid.IntRange(1, 20).Draw(t, "stores") {
			// Each prefix is the start of one of three block sequences.
			sequence := uint64(rapid.IntRange(1, 3).Draw(t, "chain")) * 100
			blocks := make([]uint64, rapid.IntRange(1, 10).Draw(t, "length"))
			for i := range blocks {
				blocks[i] = sequence + uint64(i)
			}
			c.store(blocks)
			if got := c.match(blocks); got != min(len(blocks), capacity) {
				t.Fatalf("%d of %d blocks are cached after store", got, len(blocks))
			}
			if len(c.blocks) > capacity || c.order.Len() != len(c.blocks) {
				t.Fatalf("%d blocks cached, capacity is %d", len(c.blocks), capacity)
			}
			for block, stored := range cachedByEvents {
				if _, cached := c.blocks[block]; cached != stored {
					t.Fatalf("block %d: events report cached %v, which differs from the cache", block, stored)
				}
			}
		}
	})
}

// Guards against events visible before EventLag, dropped events that leave no gap in the numbers, and random gaps that
// differ between runs with the same seed.
func TestCacheEvents(t *testing.T) {
	configure := func(c *Config) { c.EventLag = time.Second }
	withEngine(t, configure, func(t *testing.T, e *Engine) {
		request := newRequest("a", strings.Repeat("abcd", 100), 1)
		must.NoError(t, e.Inject(Fault{Kind: FaultCacheGap, Count: 2}))
		<-startRequest(t, e, request)
		must.SliceEmpty(t, e.CacheEvents(0).Events)
		time.Sleep(time.Second)
		got := e.CacheEvents(0)
		must.Len(t, 4, got.Events)
		must.Eq(t, 3, got.Events[0].Seq)
		must.Eq(t, EventStored, got.Events[0].Kind)
		must.Len(t, 1, e.CacheEvents(5).Events)
		must.Eq(t, 6, got.Newest)
		e.Restart()
		must.Eq(t, 0, e.CacheEvents(6).Newest)
	})
	sequence := func(seed uint64) (seqs []uint64) {
		gaps := func(c *Config) { c.EventGapProbability, c.Seed, c.EventLag = 0.5, seed, 0 }
		withEngine(t, gaps, func(t *testing.T, e *Engine) {
			<-startRequest(t, e, newRequest("a", strings.Repeat("abcd", 1000), 1))
			for _, event := range e.CacheEvents(0).Events {
				seqs = append(seqs, event.Seq)
			}
		})
		return seqs
	}
	must.Eq(t, sequence(1), sequence(1))
	must.NotEq(t, sequence(1), sequence(2))
}
