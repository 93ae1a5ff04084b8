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
func (r *Replicator) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { r.runWatch(ctx) })
	loops.Go(func() { r.runExchanges(ctx) })
	loops.Go(func() { r.runPushes(ctx) })
	loops.Wait()
}

// Publish queues accepted changes to be pushed to peers. It does not block.
func (r *Replicator) Publish(entries []Entry) {
	if len(entries) == 0 || len(entries) > maxPushEntries {
		return
	}
	select {
	case r.queue <- entries:
	default:
		// The queue is full; the exchange delivers these changes.
	}
}

// Receive merges entries that a peer pushed, and publishes those that are new to the store.
func (r *Replicator) Receive(entries []Entry) {
	r.Publish(r.options.Store.Merge(entries))
}

// SinceConfirmed returns the time since the platform confirmed the state, directly or through peers; negative if it
// never did.
func (r *Replicator) SinceConfirmed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmedAt.IsZero() {
		return -1
	}
	return time.Since(r.confirmedAt)
}

func (r *Replicator) recordConfirmation(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

func (r *Replicator) randomFloat64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// runWatch watches the platform while this router is one of the chosen watchers, or while its state is stale.
func (r *Replicator) runWatch(ctx context.Context) {
	watcher := NewWatcher(r.options.Store, r.options.Platform, r.options.MaxWatchWait)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = idleCheckInterval/4, maxWatchBackoff
	for ctx.Err() == nil {
		if r.consumeListRequest() {
			watcher.Relist()
		} else if !r.mustWatch() {
			watcher.Reset()
			sleep.For(ctx, idleCheckInterval)
			continue
		}
		startedAt := time.Now()
		accepted, err := watcher.Step(ctx)
		if err != nil {
			r.options.Log.WithError(err).Debug("configuration watch failed")
			sleep.For(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		r.recordConfirmation(startedAt)
		r.Publish(accepted)
	}
}

// consumeListRequest reports whether a list was requested since the last call.
func (r *Replicator) consumeListRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	requested := r.listRequested
	r.listRequested = false
	return requested
}

func (r *Replicator) mustWatch() bool {
	self := r.options.Members.Self()
	var zoneInstances []string
	aliveCount := 0
	for _, m := range r.options.Members.Members() {
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
	return r.isStale() && r.randomFloat64() < staleCallsPerSecond/float64(max(aliveCount, 1))
}

func (r *Replicator) isStale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.confirmedAt
	if last.IsZero() {
		last = r.startedAt
	}
	return time.Since(last) > r.options.MaxWatchWait+staleMargin
}

// runExchanges exchanges changes with one random peer in each interval. If a peer does not answer, it tries another one
// at once, at most maxExchangeAttempts peers in all.
func (r *Replicator) runExchanges(ctx context.Context) {
	declined := 0
	// A random delay spreads the exchanges of routers that start together.
	sleep.For(ctx, time.Duration(r.randomFloat64()*float64(r.options.Interval)))
	for ctx.Err() == nil {
		for _, peer := range r.randomPeers(maxExchangeAttempts) {
			wasDeclined, err := r.exchange(ctx, peer, declined >= maxDeclinedExchanges)
			if err != nil {
				r.options.Log.WithField("peer", peer).WithError(err).Debug("configuration exchange failed")
				continue
			}
			if wasDeclined {
				declined++
			} else {
				declined = 0
			}
			break
		}
		sleep.For(ctx, r.options.Interval)
	}
}

// exchange requests the entries that this router may be missing from one peer. It reports whether the peer declined,
// and returns an error if the peer did not answer.
func (r *Replicator) exchange(ctx context.Context, address string, full bool) (declined bool, err error) {
	session := r.options.Store.newPullSession(full)
	for range maxPages {
		page, sinceConfirmed, err := r.requestPage(ctx, address, session.request())
		if err != nil {
			return false, err
		}
		if session.handlePage(page) {
			continue
		}
		if page.Declined {
			return true, nil
		}
		r.comparePeer(address, page, sinceConfirmed)
		return false, nil
	}
	return false, nil
}

// comparePeer records the peer's confirmation by the platform if this store has reached the peer's floor, and requests
// a list if this store diverges from the peer's.
func (r *Replicator) comparePeer(address string, page Page, sinceConfirmed time.Duration) {
	if page.Loaded && sinceConfirmed >= 0 && r.options.Store.Summary().Floor >= page.Floor {
		r.recordConfirmation(time.Now().Add(-sinceConfirmed))
	}
	if r.options.Store.divergesFrom(page.Summary) {
		r.options.Log.WithField("peer", address).Warn("configuration differs from a peer at the same revision; listing from the platform")
		r.mu.Lock()
		r.listRequested = true
		r.mu.Unlock()
	}
}

func (r *Replicator) requestPage(ctx context.Context, address string, request Request) (Page, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return r.options.Transport.Exchange(ctx, address, request)
}

// runPushes pushes queued changes to peers.
func (r *Replicator) runPushes(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case entries := <-r.queue:
			for _, address := range r.randomPeers(pushFanout) {
				sends.Go(func() {
					ctx, cancel := context.WithTimeout(ctx, peerTimeout)
					defer cancel()
					// The error is ignored: the exchange delivers the changes of a lost push.
					_ = r.options.Transport.Push(ctx, address, entries)
				})
			}
		}
	}
}

// randomPeers returns up to n random addresses of live members, or of seeds if there are no live members.
func (r *Replicator) randomPeers(n int) []string {
	self := r.options.Members.Self().Instance
	var addresses []string
	for _, m := range r.options.Members.Members() {
		if m.Instance != self && (m.State == member.Alive || m.State == member.Leaving) {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 && r.options.Seeds != nil {
		addresses = slices.Clone(r.options.Seeds())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}
