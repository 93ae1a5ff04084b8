// Package counter counts events by a label from a small, fixed set, such as a reason.
package counter

import (
	"maps"
	"sync"
)

// ByLabel counts events by label. Its zero value is ready to use. It is safe for concurrent use.
type ByLabel struct {
	mu     sync.Mutex
	counts map[string]int64
}

// Add counts one event with the label.
func (c *ByLabel) Add(label string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[label]++
}

// Counts returns a copy of the counts.
func (c *ByLabel) Counts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
