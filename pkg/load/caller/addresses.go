// Package caller sends requests the way callers do: it asks an entry VM for addresses, keeps the answer for its time
// to live, and repeats a request under the same idempotency key at another address until it knows the outcome.
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

// lookupTimeout bounds one address lookup.
const lookupTimeout = time.Second

// AddressAnswer is one answer of the address lookup, kept as evidence.
type AddressAnswer struct {
	At        time.Time
	From      string
	Addresses []string
}

// AddressCache is one caller's copy of the address answer. It is safe for concurrent use.
type AddressCache struct {
	http      *http.Client
	bootstrap []string
	key       string
	onAnswer  func(AddressAnswer)

	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
	expires   time.Time
	refreshed chan struct{}
}

// NewAddressCache returns an empty cache. bootstrap lists the caller addresses of all entry VMs that the caller was
// told once.
func NewAddressCache(client *http.Client, bootstrap []string, key string, seed uint64, onAnswer func(AddressAnswer)) *AddressCache {
	return &AddressCache{http: client, bootstrap: bootstrap, key: key, onAnswer: onAnswer, random: rand.New(rand.NewPCG(seed, 2))}
}

// Addresses returns the addresses in the order in which to try them. It asks again when the time to live is over;
// the old answer is used as long as no entry VM answers.
func (b *AddressCache) Addresses(ctx context.Context) []string {
	b.mu.Lock()
	for time.Now().After(b.expires) || len(b.addresses) == 0 {
		if b.refreshed != nil {
			waiting := b.refreshed
			b.mu.Unlock()
			select {
			case <-waiting:
			case <-ctx.Done():
				return nil
			}
			b.mu.Lock()
			if len(b.addresses) > 0 || ctx.Err() != nil {
				break
			}
			continue
		}
		b.refresh(ctx)
		break
	}
	defer b.mu.Unlock()
	return b.addresses
}

// Forget makes the next call of Addresses ask again. A caller does so when no address has served it.
func (b *AddressCache) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expires = time.Time{}
}

// refresh asks the known addresses and then the bootstrap ones. The caller holds mu, which is released meanwhile.
func (b *AddressCache) refresh(ctx context.Context) {
	done := make(chan struct{})
	b.refreshed = done
	order := append([]string(nil), b.addresses...)
	for _, i := range b.random.Perm(len(b.bootstrap)) {
		order = append(order, b.bootstrap[i])
	}
	b.mu.Unlock()
	var found lookupAnswer
	var err error
	for _, address := range order {
		if found, err = b.lookup(ctx, address); err == nil && len(found.Addresses) > 0 {
			break
		}
		if ctx.Err() != nil {
			break
		}
	}
	b.mu.Lock()
	if err == nil && len(found.Addresses) > 0 {
		b.addresses = nil
		for _, a := range found.Addresses {
			b.addresses = append(b.addresses, a.Address)
		}
		b.expires = time.Now().Add(time.Duration(found.TTLMS) * time.Millisecond)
	}
	b.refreshed = nil
	close(done)
}

type lookupAnswer struct {
	TTLMS     int64 `json:"ttl_ms"`
	Addresses []struct {
		Address string `json:"address"`
		Zone    string `json:"zone"`
	} `json:"addresses"`
}

func (b *AddressCache) lookup(ctx context.Context, address string) (lookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return lookupAnswer{}, fmt.Errorf("address lookup: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+b.key)
	resp, err := b.http.Do(req)
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
	told := AddressAnswer{At: time.Now(), From: address}
	for _, a := range answer.Addresses {
		told.Addresses = append(told.Addresses, a.Address)
	}
	b.onAnswer(told)
	return answer, nil
}
