package upstream

import (
	"errors"
	"sync"
	"time"
)

// ErrTooManyConns means that the client may open no further connection to the endpoint now. It says nothing about the endpoint.
var ErrTooManyConns = errors.New("upstream: too many connections")

// connCounts counts the open connections and those that are being made, also idle ones. It is safe for concurrent use. Its mutex may be
// taken while that of the client is held, not the other way round.
type connCounts struct {
	mu     sync.Mutex
	total  int
	byAddr map[string]int
}

// add counts another connection unless there are as many as allowed, to the address or in total; 0 means no limit.
func (n *connCounts) add(address string, maxToAddress, maxTotal int) (added, addressFull bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if maxToAddress > 0 && n.byAddr[address] >= maxToAddress {
		return false, true
	}
	if maxTotal > 0 && n.total >= maxTotal {
		return false, false
	}
	n.total++
	n.byAddr[address]++
	return true, false
}

func (n *connCounts) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.total--
	if n.byAddr[address]--; n.byAddr[address] == 0 {
		delete(n.byAddr, address)
	}
}

// reserve counts a connection that is about to be made. It closes idle connections that are in its way: those to the address that the
// endpoint has closed by its timeout, and the one to any address whose timeout ends first.
func (c *Client) reserve(address string) error {
	maxToAddress := 0
	if c.MaxConnsTo != nil {
		maxToAddress = c.MaxConnsTo(address)
	}
	for {
		added, addressFull := c.counts.add(address, maxToAddress, c.MaxConns)
		switch {
		case added:
			return nil
		case addressFull && !c.closeExpired(address), !addressFull && !c.closeAnyIdle():
			return ErrTooManyConns
		}
	}
}

// closeExpired closes the idle connections to the address whose timeout has ended, and reports whether there were any.
func (c *Client) closeExpired(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var kept []*conn
	for _, idle := range c.idle[address] {
		if now.Before(idle.idleDeadline) {
			kept = append(kept, idle)
		} else {
			_ = idle.Close() // The endpoint closes it as well.
		}
	}
	closed := len(kept) < len(c.idle[address])
	c.idle[address] = kept
	return closed
}

// closeAnyIdle closes the idle connection whose timeout ends first, and reports whether there was one.
func (c *Client) closeAnyIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first *conn
	var at string
	// The first one of each list was used before the others.
	for address, list := range c.idle {
		if len(list) > 0 && (first == nil || list[0].idleDeadline.Before(first.idleDeadline)) {
			first, at = list[0], address
		}
	}
	if first == nil {
		return false
	}
	c.idle[at] = c.idle[at][1:]
	_ = first.Close() // It is not in use.
	return true
}
