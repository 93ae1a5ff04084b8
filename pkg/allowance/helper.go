package allowance

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	allowancev1 "github.com/lavendershunt/lavendershunt/api/ls/allowance/v1"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// helperProbes is the number of routers that are asked at once whether they reach the store, and helperProbeInterval the time
	// between two such groups.
	helperProbes        = 4
	helperProbeInterval = 100 * time.Millisecond
	// minSearchPause is the time without probes after all routers were asked in vain. It doubles up to maxSearchPause, so that a silent
	// store costs few messages.
	minSearchPause = time.Second
	maxSearchPause = 4 * time.Second
	// helperTrust is the time for which a router that could draw is asked again without a further probe.
	helperTrust = 2 * time.Second
)

// helperSearch decides whom to ask for a router that reaches the store, while this one and the allocators don't. It answers a
// partition of most routers from the store in which these still reach the others: any router may draw. It does no I/O and reads no
// clock.
type helperSearch struct {
	// name is the router found, and trustedUntil the end of the time for which it counts as such.
	name         string
	trustedUntil time.Time
	// running is set while a search is in progress, and asked holds the routers asked in it.
	running bool
	asked   map[string]bool
	// nextAt is the earliest start of the next search, and pause the time without probes after the last one.
	nextAt time.Time
	pause  time.Duration
}

// helper returns the router found, if it still counts.
func (s *helperSearch) helper(now time.Time) string {
	if now.Before(s.trustedUntil) {
		return s.name
	}
	return ""
}

// start reports whether a search should start now.
func (s *helperSearch) start(now time.Time) bool {
	if s.running || s.helper(now) != "" || now.Before(s.nextAt) {
		return false
	}
	s.running, s.asked = true, map[string]bool{}
	return true
}

// next returns the routers to ask now, none if the search has ended. candidates are in the order in which to ask them.
func (s *helperSearch) next(now time.Time, candidates []string) []string {
	var ask []string
	if s.helper(now) == "" {
		for _, name := range candidates {
			if !s.asked[name] && len(ask) < helperProbes {
				s.asked[name] = true
				ask = append(ask, name)
			}
		}
	}
	if len(ask) == 0 {
		s.running = false
		if s.helper(now) == "" {
			s.pause = min(max(minSearchPause, 2*s.pause), maxSearchPause)
			s.nextAt = now.Add(s.pause)
		}
	}
	return ask
}

// found records a router that reaches the store.
func (s *helperSearch) found(now time.Time, name string) {
	s.name, s.trustedUntil, s.pause, s.nextAt = name, now.Add(helperTrust), 0, time.Time{}
}

// failed records that a router could not draw.
func (s *helperSearch) failed(name string) {
	if s.name == name {
		s.trustedUntil = time.Time{}
	}
}

// Helper implements Peers.
func (r *RemotePeers) Helper(organisation string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name := r.search.helper(time.Now()); name != "" {
		return name
	}
	if r.search.start(time.Now()) {
		go r.findHelper(organisation)
	}
	return ""
}

// helperInstead returns a known router that reaches the store, unless it is one of the allocators, which are asked in any case.
func (r *RemotePeers) helperInstead(allocators []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name := r.search.helper(time.Now()); !slices.Contains(allocators, name) {
		return name
	}
	return ""
}

// learnHelper records a router that another one has found.
func (r *RemotePeers) learnHelper(name string) {
	if _, ok := r.Addresses()[name]; !ok {
		return // None, or this router itself.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.search.helper(time.Now()) == "" {
		r.search.found(time.Now(), name)
	}
}

// findHelper asks routers whether they reach the store, until one does or all were asked.
func (r *RemotePeers) findHelper(organisation string) {
	started := time.Now()
	for {
		candidates := r.Routers()
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		r.mu.Lock()
		ask := r.search.next(time.Now(), candidates)
		name, asked := r.search.helper(time.Now()), len(r.search.asked)
		r.mu.Unlock()
		if len(ask) == 0 {
			r.Log.WithFields(log.Fields{"organisation": organisation, "helper": name, "asked": asked, "took_ms": time.Since(started).Milliseconds()}).Info("allowance_helper_search")
			return
		}
		for _, name := range ask {
			go r.probe(name, organisation)
		}
		time.Sleep(helperProbeInterval)
	}
}

// probe asks a router whether it reaches the store. One of an earlier version says that it doesn't.
func (r *RemotePeers) probe(name, organisation string) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	response, err := r.client(peer{name, r.Addresses()[name]}).Give(ctx, connect.NewRequest(&allowancev1.GiveRequest{Organisation: organisation, Probe: true}))
	if err != nil || !response.Msg.GetReachesStore() {
		return // findHelper logs what the search has found.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.search.found(time.Now(), name)
}

// requestFromHelper asks a router that reaches the store for what the allocators didn't give.
func (r *RemotePeers) requestFromHelper(ctx context.Context, result *RequestResult, allocators []string, organisation string, shortage Shortage, late func(int64)) {
	name := r.helperInstead(allocators)
	addresses := r.Addresses()
	isAllocator := slices.ContainsFunc(allocators, func(a string) bool { _, ok := addresses[a]; return !ok })
	if name == "" && (isAllocator || !result.Complete) {
		name = r.Helper(organisation) // The other routers are told by the allocators.
	}
	address, ok := addresses[name]
	if !ok || slices.Contains(allocators, name) {
		return
	}
	before := result.Tokens
	r.requestFromBatch(ctx, result, []peer{{name, address}}, organisation, shortage, late)
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Tokens > before || result.Exhausted {
		r.search.found(time.Now(), name)
	} else {
		r.search.failed(name)
	}
}

// reachesStore reports whether the store answers this router now.
func (acc *Accounts) reachesStore(ctx context.Context, organisation string) bool {
	_, err := acc.Store.Get(ctx, objectKind+"/"+organisation)
	return err == nil || errors.Is(err, platform.ErrNotFound)
}
