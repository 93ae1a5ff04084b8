package engine

import (
	"container/list"
	"fmt"
	"time"
)

// Kinds of cache events.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
)

// maxEvents bounds the published cache events that an engine keeps.
const maxEvents = 8192

// CacheEvent tells that a prefix block was stored or evicted.
type CacheEvent struct {
	// Seq numbers all events; a missing number is an event that was not published.
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Block is the hash of the prefix up to the block, as 16 hexadecimal digits.
	Block string `json:"block"`

	at time.Time
}

// CacheEvents answers PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Oldest is the number of the oldest event that the engine still has, 0 if it has none.
	Oldest uint64 `json:"oldest"`
	// Newest is the number of the newest visible event. It is below the caller's number after a restart.
	Newest uint64 `json:"newest"`
}

// cache is a prefix cache that evicts the least recently used block.
type cache struct {
	capacity int
	order    *list.List // of uint64, most recently used first
	blocks   map[uint64]*list.Element
	changed  func(kind string, block uint64)
}

func newCache(capacity int, changed func(kind string, block uint64)) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}, changed: changed}
}

// match returns how many blocks of the prefix are cached.
func (c *cache) match(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// store makes the blocks the most recently used ones. The first block is touched last, so that prefixes are evicted
// from their end.
func (c *cache) store(blocks []uint64) {
	if len(blocks) > c.capacity {
		blocks = blocks[:c.capacity]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.blocks[blocks[i]]; ok {
			c.order.MoveToFront(element)
		}
	}
	for i, block := range blocks {
		if _, ok := c.blocks[block]; ok {
			continue
		}
		for len(c.blocks) >= c.capacity {
			c.evict()
		}
		if i == 0 {
			c.blocks[block] = c.order.PushFront(block)
		} else {
			c.blocks[block] = c.order.InsertAfter(block, c.blocks[blocks[i-1]])
		}
		c.changed(EventStored, block)
	}
}

func (c *cache) evict() {
	element := c.order.Back()
	block := c.order.Remove(element).(uint64)
	delete(c.blocks, block)
	c.changed(EventEvicted, block)
}

// use returns the share of the capacity that is in use.
func (c *cache) use() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(len(c.blocks)) / float64(c.capacity)
}

// eventLog holds the published events.
type eventLog struct {
	seq    uint64
	events []CacheEvent
}

// cacheEvent publishes an event, unless it falls into a gap. The caller holds mu.
func (e *Engine) cacheEvent(kind string, block uint64) {
	events := &e.events
	events.seq++
	if e.faults.take(FaultCacheGap) || (e.config.EventGapProbability > 0 && e.random.Float64() < e.config.EventGapProbability) {
		return
	}
	events.events = append(events.events, CacheEvent{
		Seq: events.seq, Kind: kind, Block: fmt.Sprintf("%016x", block), at: e.clock.Now(),
	})
	if len(events.events) > maxEvents {
		events.events = append([]CacheEvent(nil), events.events[len(events.events)-maxEvents/2:]...)
	}
}

// CacheEvents returns the published events after a number that are older than the lag.
func (e *Engine) CacheEvents(after uint64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := e.clock.Now().Add(-e.config.EventLag)
	answer := CacheEvents{Events: []CacheEvent{}}
	for i, event := range e.events.events {
		if i == 0 {
			answer.Oldest = event.Seq
		}
		if event.at.After(limit) {
			break
		}
		answer.Newest = event.Seq
		if event.Seq > after {
			answer.Events = append(answer.Events, event)
		}
	}
	return answer
}
