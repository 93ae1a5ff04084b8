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
	// pushFanout is the number of peers to which a router pushes a change.
	pushFanout = 3
	// maxPushEntries limits the entries of one push. More changes at once, after a gap, reach the peers by exchange.
	maxPushEntries = 256
	// maxQueuedPushes limits the queued pushes. Changes beyond them reach the peers by exchange.
	maxQueuedPushes = 64
	// watchersPerZone is the number of routers per availability zone that watch the platform.
	watchersPerZone = 2
	// staleMargin is added to the maximum wait of a watch. A router whose state was not confirmed for the sum watches
	// the platform itself, because all chosen watchers may be cut off from it.
	staleMargin = 2 * time.Second
	// staleCallsPerSecond limits the platform calls per second of all routers with a stale state together.
	staleCallsPerSecond = 10
	// idleCheckInterval is the interval at which a router that does not watch checks whether it must.
	idleCheckInterval = time.Second
	// maxWatchBackoff limits the delay after a failed watch.
	maxWatchBackoff = 1500 * time.Millisecond
	peerTimeout     = 2 * time.Second
	// maxExchangeAttempts is the number of peers that are tried in one interval. On a network that loses a tenth of
	// the messages, one exchange in five fails. In a fleet of 370 routers it is then not rare that some router fails
	// several times in a row.
	maxExchangeAttempts = 3
	// maxDeclinedExchanges is the number of peers that may decline before a router accepts a complete answer.
	maxDeclinedExchanges = 3
)

// Transport sends messages to peers. Implementations must be safe for concurrent use.
type Transport interface {
	// Push sends accepted entries to the peer at the address.
	Push(ctx context.Context, address string, entries []Entry) error
	// Exchange requests one page from the peer. The duration is the time since the platform confirmed the peer's state;
	// negative if it never did.
	Exchange(ctx context.Context, address string, r Request) (Page, time.Duration, error)
}

// Options configures a Replicator.
type Options struct {
	Store     *Store
	Platform  platform.Store
	Members   member.View
	Transport Transport
	// Seeds returns the addresses of peers to use while there is no live member. It may be nil.
	Seeds func() []string
	// MaxWatchWait is the maximum wait of one watch; Interval is the time between exchanges.
	MaxWatchWait, Interval time.Duration
	Seed                   uint64
	Log                    log.Interface
}

// Replicator keeps a store up to date from the platform and the peers, and pushes changes to peers. Its methods are
// safe for concurrent use; Run is called once.
type Replicator struct {
	options Options
	queue   chan []Entry

	mu          sync.Mutex
	random      *rand.Rand
	confirmedAt time.Time
	startedAt   time.Time
	// listRequested makes the watch list all objects, because the store diverges from a peer's.
	listRequested bool
}

// NewReplicator returns a replicator that is not running yet.
func NewReplicator(options Options) *Replicator {
	return &Replicator{options: options, queue: make(chan []Entry, maxQueuedPushes), random: rand.New(rand.NewPCG(options.Seed, 1)), startedAt: time.Now()}
}

// Run watches the platform, exchanges changes with peers and pushes queued changes until ctx ends.
func (s *Replicator) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { s.runWatch(ctx) })
	loops.Go(func() { s.runExchanges(ctx) })
	loops.Go(func() { s.runPushes(ctx) })
	loops.Wait()
}

// Publish queues accepted changes to be pushed to peers. It does not block.
func (s *Replicator) Publish(entries []Entry) {
	if len(entries) == 0 || len(entries) > maxPushEntries {
		return
	}
	select {
	case s.queue <- entries:
	default:
		// The queue is full; the exchange delivers these changes.
	}
}

// Receive merges entries that a peer pushed, and publishes those that are new to the store.
func (s *Replicator) Receive(entries []Entry) {
	s.Publish(s.options.Store.Merge(entries))
}

// SinceConfirmed returns the time since the platform confirmed the state, directly or through peers; negative if it
// never did.
func (s *Replicator) SinceConfirmed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return -1
	}
	return time.Since(s.confirmedAt)
}

func (s *Replicator) recordConfirmation(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

func (s *Replicator) randomFloat64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// runWatch watches the platform while this router is one of the chosen watchers, or while its state is stale.
func (s *Replicator) runWatch(ctx context.Context) {
	watcher := NewWatcher(s.options.Store, s.options.Platform, s.options.MaxWatchWait)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = idleCheckInterval/4, maxWatchBackoff
	for ctx.Err() == nil {
		if s.consumeListRequest() {
			watcher.Relist()
		} else if !s.mustWatch() {
			watcher.Reset()
			sleep.For(ctx, idleCheckInterval)
			continue
		}
		startedAt := time.Now()
		accepted, err := watcher.Step(ctx)
		if err != nil {
			s.options.Log.WithError(err).Debug("configuration watch failed")
			sleep.For(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		s.recordConfirmation(startedAt)
		s.Publish(accepted)
	}
}

// consumeListRequest reports whether a list was requested since the last call.
func (s *Replicator) consumeListRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	requested := s.listRequested
	s.listRequested = false
	return requested
}

func (s *Replicator) mustWatch() bool {
	self := s.options.Members.Self()
	var zoneInstances []string
	aliveCount := 0
	for _, m := range s.options.Members.Members() {
		if m.State != member.Alive {
			continue
		}
		aliveCount++
		if m.Zone == self.Zone {
			zoneInstances = append(zoneInstances, m.Instance)
		}
	}
	ranked := rendezvous.Rank("config-watch/"+self.Zone, zoneInstances)
	if slices.Contains(ranked[:min(watchersPerZone, len(ranked))], self.Instance) {
		return true
	}
	return s.isStale() && s.randomFloat64() < staleCallsPerSecond/float64(max(aliveCount, 1))
}

func (s *Replicator) isStale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.confirmedAt
	if last.IsZero() {
		last = s.startedAt
	}
	return time.Since(last) > s.options.MaxWatchWait+staleMargin
}

// runExchanges exchanges changes with one random peer in each interval, and with another one if that does not answer.
func (s *Replicator) runExchanges(ctx context.Context) {
	declined := 0
	// A random delay spreads the exchanges of routers that start together.
	sleep.For(ctx, time.Duration(s.randomFloat64()*float64(s.options.Interval)))
	for ctx.Err() == nil {
		for _, peer := range s.randomPeers(maxExchangeAttempts) {
			wasDeclined, err := s.exchange(ctx, peer, declined >= maxDeclinedExchanges)
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

// exchange requests the entries that this router may be missing from one peer. It reports whether the peer declined,
// and returns an error if the peer did not answer.
func (s *Replicator) exchange(ctx context.Context, address string, full bool) (declined bool, err error) {
	session := s.options.Store.newPullSession(full)
	for range maxPages {
		page, sinceConfirmed, err := s.requestPage(ctx, address, session.request())
		if err != nil {
			return false, err
		}
		if session.handlePage(page) {
			continue
		}
		if page.Declined {
			return true, nil
		}
		s.comparePeer(address, page, sinceConfirmed)
		return false, nil
	}
	return false, nil
}

// comparePeer records the peer's confirmation by the platform if this store has reached the peer's floor, and requests
// a list if this store diverges from the peer's.
func (s *Replicator) comparePeer(address string, page Page, sinceConfirmed time.Duration) {
	if page.Loaded && sinceConfirmed >= 0 && s.options.Store.Summary().Floor >= page.Floor {
		s.recordConfirmation(time.Now().Add(-sinceConfirmed))
	}
	if s.options.Store.divergesFrom(page.Summary) {
		s.options.Log.WithField("peer", address).Warn("configuration differs from a peer at the same revision; listing from the platform")
		s.mu.Lock()
		s.listRequested = true
		s.mu.Unlock()
	}
}

func (s *Replicator) requestPage(ctx context.Context, address string, r Request) (Page, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.options.Transport.Exchange(ctx, address, r)
}

// runPushes pushes queued changes to peers.
func (s *Replicator) runPushes(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case entries := <-s.queue:
			for _, address := range s.randomPeers(pushFanout) {
				sends.Go(func() {
					ctx, cancel := context.WithTimeout(ctx, peerTimeout)
					defer cancel()
					// The error is ignored: the exchange delivers the changes of a lost push.
					_ = s.options.Transport.Push(ctx, address, entries)
				})
			}
		}
	}
}

// randomPeers returns up to n random addresses of live members, or of seeds if there are no live members.
func (s *Replicator) randomPeers(n int) []string {
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
