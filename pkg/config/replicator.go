package config

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

const (
	// pushPeers is the number of peers to which a router passes on a change.
	pushPeers = 3
	// maxPush bounds the entries of one push. More changes at once, after a gap, reach the others by exchange.
	maxPush = 256
	// pushQueue bounds the pushes that wait; further ones are left to the exchange.
	pushQueue = 64
	// zoneWatchers is the number of routers per availability zone that watch the platform.
	zoneWatchers = 2
	// staleSlack is added to the longest wait of a watch. A router whose state was not confirmed for this long watches
	// the platform itself, because all chosen watchers may be cut off from it.
	staleSlack = 2 * time.Second
	// staleCallsPerSecond bounds the platform calls per second of all routers with a stale state together.
	staleCallsPerSecond = 10
	// idlePoll is how often a router that does not watch checks whether it must.
	idlePoll = time.Second
	// maxWatchPause bounds the pause after a failed watch.
	maxWatchPause = 1500 * time.Millisecond
	peerTimeout   = 2 * time.Second
	// exchangeTries is the number of peers that are tried in one interval. On a network that loses a tenth of the
	// messages one exchange in five fails, and in a fleet of 370 a router that fails several times in a row is not
	// rare.
	exchangeTries = 3
	// maxDeclined is the number of peers that may decline before a router accepts a complete answer.
	maxDeclined = 3
)

// Transport carries messages to peers.
type Transport interface {
	// Push delivers accepted entries to the peer at the address.
	Push(ctx context.Context, address string, entries []Entry) error
	// Exchange asks the peer for one page. The duration is the time since the platform confirmed the peer's state;
	// negative if it never did.
	Exchange(ctx context.Context, address string, r Request) (Page, time.Duration, error)
}

// Options configures a Replicator.
type Options struct {
	Store     *Store
	Platform  platform.Store
	Members   member.View
	Transport Transport
	// Seeds returns peer addresses to ask while no live member is known. It may be nil.
	Seeds func() []string
	// Wait is the longest wait of one watch; Interval is the period of exchanges.
	Wait, Interval time.Duration
	Seed           uint64
	Log            log.Interface
}

// Replicator keeps a store up to date from the platform and the peers, and passes changes on.
type Replicator struct {
	options Options
	pushes  chan []Entry

	mu        sync.Mutex
	random    *rand.Rand
	confirmed time.Time
	started   time.Time
	// relist asks the watch for a list, because the store contradicts a peer.
	relist bool
}

// NewReplicator returns a replicator. Run must be called for it to do anything.
func NewReplicator(options Options) *Replicator {
	return &Replicator{options: options, pushes: make(chan []Entry, pushQueue), random: rand.New(rand.NewPCG(options.Seed, 1)), started: time.Now()}
}

// Run works until ctx ends.
func (s *Replicator) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { s.watch(ctx) })
	loops.Go(func() { s.exchangeAll(ctx) })
	loops.Go(func() { s.pushAll(ctx) })
	loops.Wait()
}

// Publish passes accepted changes on to the peers. It does not block.
func (s *Replicator) Publish(entries []Entry) {
	if len(entries) == 0 || len(entries) > maxPush {
		return
	}
	select {
	case s.pushes <- entries:
	default:
		// The exchange delivers what a full queue drops.
	}
}

// Receive takes over entries that a peer pushed, and passes on those that are new here.
func (s *Replicator) Receive(entries []Entry) {
	s.Publish(s.options.Store.Merge(entries))
}

// Age returns the time since the platform confirmed the state, directly or through peers; negative if it never did.
func (s *Replicator) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed.IsZero() {
		return -1
	}
	return time.Since(s.confirmed)
}

func (s *Replicator) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

func (s *Replicator) float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// watch watches the platform while this router is one of the chosen watchers, or while its state is stale.
func (s *Replicator) watch(ctx context.Context) {
	watcher := NewWatcher(s.options.Store, s.options.Platform, s.options.Wait)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = idlePoll/4, maxWatchPause
	for ctx.Err() == nil {
		if s.takeRelist() {
			watcher.Relist()
		} else if !s.mustWatch() {
			watcher.Reset()
			sleep.For(ctx, idlePoll)
			continue
		}
		started := time.Now()
		accepted, err := watcher.Step(ctx)
		if err != nil {
			s.options.Log.WithError(err).Debug("configuration watch failed")
			sleep.For(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		s.confirm(started)
		s.Publish(accepted)
	}
}

func (s *Replicator) takeRelist() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	relist := s.relist
	s.relist = false
	return relist
}

func (s *Replicator) mustWatch() bool {
	self := s.options.Members.Self()
	var zone []string
	fleet := 0
	for _, m := range s.options.Members.Members() {
		if m.State != member.Alive {
			continue
		}
		fleet++
		if m.Zone == self.Zone {
			zone = append(zone, m.Instance)
		}
	}
	ranked := rendezvous.Rank("config-watch/"+self.Zone, zone)
	if slices.Contains(ranked[:min(zoneWatchers, len(ranked))], self.Instance) {
		return true
	}
	return s.stale() && s.float64() < staleCallsPerSecond/float64(max(fleet, 1))
}

func (s *Replicator) stale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.confirmed
	if last.IsZero() {
		last = s.started
	}
	return time.Since(last) > s.options.Wait+staleSlack
}

// exchangeAll compares the state with one random peer in each interval, and with another one if that does not answer.
func (s *Replicator) exchangeAll(ctx context.Context) {
	declined := 0
	// Routers that start together must not ask all at the same moment.
	sleep.For(ctx, time.Duration(s.float64()*float64(s.options.Interval)))
	for ctx.Err() == nil {
		for _, peer := range s.peers(exchangeTries) {
			wasDeclined, err := s.exchange(ctx, peer, declined >= maxDeclined)
			if err != nil {
				s.options.Log.WithField("peer", peer).WithError(err).Debug("configuration exchange failed")
				continue
			}
			if wasDeclined {
				declined++
			} else {
				declined = 0
			}
			break
		}
		sleep.For(ctx, s.options.Interval)
	}
}

// exchange asks one peer for what this router lacks. It reports whether the peer declined, and an error if it did not
// answer.
func (s *Replicator) exchange(ctx context.Context, address string, full bool) (declined bool, err error) {
	pull := s.options.Store.newPull(full)
	for range maxPages {
		page, age, err := s.ask(ctx, address, pull.request())
		if err != nil {
			return false, err
		}
		if pull.receive(page) {
			continue
		}
		if page.Declined {
			return true, nil
		}
		s.compare(address, page, age)
		return false, nil
	}
	return false, nil
}

// compare takes over the confirmation of a peer, and notices a store that contradicts it.
func (s *Replicator) compare(address string, page Page, age time.Duration) {
	if page.Loaded && age >= 0 && s.options.Store.Summary().Floor >= page.Floor {
		s.confirm(time.Now().Add(-age))
	}
	if s.options.Store.diverges(page.Summary) {
		s.options.Log.WithField("peer", address).Warn("configuration differs from a peer at the same revision; listing from the platform")
		s.mu.Lock()
		s.relist = true
		s.mu.Unlock()
	}
}

func (s *Replicator) ask(ctx context.Context, address string, r Request) (Page, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.options.Transport.Exchange(ctx, address, r)
}

// pushAll passes on changes as they arrive.
func (s *Replicator) pushAll(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case entries := <-s.pushes:
			for _, address := range s.peers(pushPeers) {
				sends.Go(func() {
					ctx, cancel := context.WithTimeout(ctx, peerTimeout)
					defer cancel()
					// A lost push is made up for by the exchange.
					_ = s.options.Transport.Push(ctx, address, entries)
				})
			}
		}
	}
}

// peers returns up to n addresses of random live members, or of seeds if there are none.
func (s *Replicator) peers(n int) []string {
	self := s.options.Members.Self().Instance
	var addresses []string
	for _, m := range s.options.Members.Members() {
		if m.Instance != self && (m.State == member.Alive || m.State == member.Leaving) {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 && s.options.Seeds != nil {
		addresses = slices.Clone(s.options.Seeds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
