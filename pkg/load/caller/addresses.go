// Package caller sends requests the way callers do: it looks up addresses at an entry VM, caches the answer for its
// time to live, and retries a request under the same idempotency key at another address until the outcome is known.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// lookupTimeout is the timeout of one address lookup.
const lookupTimeout = time.Second

// AddressAnswer is one answer to an address lookup, as passed to the onAnswer function of an AddressCache.
type AddressAnswer struct {
	At time.Time
	// From is the address of the entry VM that answered.
	From      string
	Addresses []string
}

// AddressCache caches the latest address answer for one caller. It is safe for concurrent use.
type AddressCache struct {
	http      *http.Client
	bootstrap []string
	key       string
	onAnswer  func(AddressAnswer)

	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
	expires   time.Time
	// refreshDone is closed at the end of the lookup in progress, nil if there is none.
	refreshDone chan struct{}
}

// NewAddressCache returns an empty cache. bootstrap lists the caller addresses of entry VMs in the caller's settings.
// key is the bearer key, and onAnswer is called with each answer.
func NewAddressCache(client *http.Client, bootstrap []string, key string, seed uint64, onAnswer func(AddressAnswer)) *AddressCache {
	return &AddressCache{http: client, bootstrap: bootstrap, key: key, onAnswer: onAnswer, random: rand.New(rand.NewPCG(seed, 2))}
}

// Addresses returns the addresses in the order in which to try them. It looks them up again after their time to live,
// and keeps returning the old ones while no entry VM answers. It returns nil if ctx ends during another call's lookup.
func (c *AddressCache) Addresses(ctx context.Context) []string {
	c.mu.Lock()
	for time.Now().After(c.expires) || len(c.addresses) == 0 {
		if c.refreshDone != nil {
			refreshDone := c.refreshDone
			c.mu.Unlock()
			select {
			case <-refreshDone:
			case <-ctx.Done():
				return nil
			}
			c.mu.Lock()
			if len(c.addresses) > 0 || ctx.Err() != nil {
				break
			}
			continue
		}
		c.refresh(ctx)
		break
	}
	defer c.mu.Unlock()
	return c.addresses
}

// Expire makes the next call of Addresses look the addresses up again. It is for callers that have tried every address
// without success.
func (c *AddressCache) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// refresh looks the addresses up at the cached addresses and then at the bootstrap addresses, until one answers. mu
// must be held; it is released during the lookup.
func (c *AddressCache) refresh(ctx context.Context) {
	done := make(chan struct{})
	c.refreshDone = done
	candidates := append([]string(nil), c.addresses...)
	for _, i := range c.random.Perm(len(c.bootstrap)) {
		candidates = append(candidates, c.bootstrap[i])
	}
	c.mu.Unlock()
	var answer lookupAnswer
	var err error
	for _, address := range candidates {
		if answer, err = c.lookup(ctx, address); err == nil && len(answer.Addresses) > 0 {
			break
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.mu.Lock()
	if err == nil && len(answer.Addresses) > 0 {
		c.addresses = nil
		for _, a := range answer.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.expires = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
	}
	c.refreshDone = nil
	close(done)
}

// lookupAnswer is the body of an answer to an address lookup.
type lookupAnswer struct {
	TTLMS     int64 `json:"ttl_ms"`
	Addresses []struct {
		Address string `json:"address"`
		Zone    string `json:"zone"`
	} `json:"addresses"`
}

func (c *AddressCache) lookup(ctx context.Context, address string) (lookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return lookupAnswer{}, fmt.Errorf("address lookup: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return lookupAnswer{}, fmt.Errorf("address lookup: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil || resp.StatusCode != http.StatusOK {
		return lookupAnswer{}, fmt.Errorf("address lookup: status %d", resp.StatusCode)
	}
	var answer lookupAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return lookupAnswer{}, fmt.Errorf("address lookup: %w", err)
	}
	received := AddressAnswer{At: time.Now(), From: address}
	for _, a := range answer.Addresses {
		received.Addresses = append(received.Addresses, a.Address)
	}
	c.onAnswer(received)
	return answer, nil
}
