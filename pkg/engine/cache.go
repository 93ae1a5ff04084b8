package engine

import (
	"container/list"
	"fmt"
	"time"
)

// Values of CacheEvent.Kind.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
)

// maxEvents is the largest number of published cache events kept for callers.
const maxEvents = 8192

// CacheEvent reports that a prefix block was stored or evicted.
type CacheEvent struct {
	// Seq numbers all events from 1. A gap in the numbers stands for events that were not published.
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Block is the hash of the prefix up to the block, as 16 hexadecimal digits.
	Block string `json:"block"`

	createdAt time.Time
}

// CacheEvents is the response body of PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Oldest is the number of the oldest event that is still kept, 0 if there is none.
	Oldest uint64 `json:"oldest"`
	// Newest is the number of the newest visible event. After a restart it is below the number that the caller sent.
	Newest uint64 `json:"newest"`
}

// cache is a prefix cache that evicts the least recently used block.
type cache struct {
	capacity int
	order    *list.List // of uint64, most recently used first
	blocks   map[uint64]*list.Element
	onChange func(kind string, block uint64)
}

func newCache(capacity int, onChange func(kind string, block uint64)) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}, onChange: onChange}
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

// store adds the missing blocks and marks all of them as most recently used, up to the capacity. The first block ends
// up in front, so that a prefix is evicted from its end.
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
		c.onChange(EventStored, block)
	}
}

func (c *cache) evict() {
	element := c.order.Back()
	block := c.order.Remove(element).(uint64)
	delete(c.blocks, block)
	c.onChange(EventEvicted, block)
}

// utilisation returns the share of the capacity that is in use, from 0 to 1.
func (c *cache) utilisation() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(len(c.blocks)) / float64(c.capacity)
}

// eventLog holds the published cache events.
type eventLog struct {
	lastSeq uint64
	events  []CacheEvent
}

// publishCacheEvent adds an event to the log, unless a fault or EventGapProbability drops it. A dropped event uses up a
// number. The caller holds mu.
func (e *Engine) publishCacheEvent(kind string, block uint64) {
	events := &e.events
	events.lastSeq++
	if e.faults.consume(FaultCacheGap) || (e.config.EventGapProbability > 0 && e.random.Float64() < e.config.EventGapProbability) {
		return
	}
	events.events = append(events.events, CacheEvent{
		Seq: events.lastSeq, Kind: kind, Block: fmt.Sprintf("%016x", block), createdAt: e.clock.Now(),
	})
	if len(events.events) > maxEvents {
		events.events = append([]CacheEvent(nil), events.events[len(events.events)-maxEvents/2:]...)
	}
}

// CacheEvents returns the published events with numbers above after whose age is at least EventLag.
func (e *Engine) CacheEvents(after uint64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := e.clock.Now().Add(-e.config.EventLag)
	response := CacheEvents{Events: []CacheEvent{}}
	for i, event := range e.events.events {
		if i == 0 {
			response.Oldest = event.Seq
		}
		if event.createdAt.After(cutoff) {
			break
		}
		response.Newest = event.Seq
		if event.Seq > after {
			response.Events = append(response.Events, event)
		}
	}
	return response
}
