package origin

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// keepers is the number of routers that remember a stream besides the one that began it, so that it survives the loss of some.
	keepers = 3
	// announceDelay collects announcements to the same router into one call.
	announceDelay = 10 * time.Millisecond
	// peerTimeout bounds the question to other routers, and storeTimeout that to the store. A caller's request waits for both.
	peerTimeout  = 100 * time.Millisecond
	storeTimeout = 300 * time.Millisecond
	// storeInterval is the time between two writes of a router's streams in a fleet of up to smallFleet routers. What begins in
	// between is forgotten if all routers lose power.
	storeInterval = 400 * time.Millisecond
	smallFleet    = 16
	// listInterval is the least time between two lists of all routers' streams.
	listInterval = 300 * time.Millisecond
	// writeInterval is the period at which the record of a service is written again if the store lacks it.
	writeInterval = 2 * time.Second
	// maxQueued bounds the announcements that wait; further ones are dropped.
	maxQueued = 1024
)

// Source tells how a router found the version at which a stream began.
type Source string

// Sources.
const (
	// SourceOnly means that the service has had one version only.
	SourceOnly Source = "only_version"
	// SourceStream means that this router remembers the stream, SourcePeer that another one does.
	SourceStream Source = "stream"
	SourcePeer   Source = "peer"
	// SourceStored means that the router which began the stream wrote it into the store.
	SourceStored Source = "stored"
	// SourceRecord means that the service has had one version only, by its record in the store.
	SourceRecord Source = "record"
	// SourceUnknown means that nobody knows.
	SourceUnknown Source = "unknown"
)

// Store is the part of the platform's store that a Registry uses.
type Store interface {
	platform.ObjectWriter
	List(ctx context.Context, prefix string) ([]platform.Object, uint64, error)
}

// Options configures a Registry.
type Options struct {
	Store Store
	// VM is this router's name.
	VM  string
	Log log.Interface
	// Routers returns the number of routers of the fleet.
	Routers func() int
	// FirstStart is set if the whole system starts for the first time, so that no stream began before.
	FirstStart bool
	// Keepers returns the names of at most n routers that remember a stream, this router's own may be among them.
	Keepers func(stream string, n int) []string
	// IsFirst reports whether this router is the first of those that are alive for the key. One router writes a service's record.
	IsFirst func(key string) bool
	Peers   Peers
	// IsViewCurrent asks the store whether this router knows the endpoints as they are now. Optional.
	IsViewCurrent func(ctx context.Context) bool
}

// Peers calls other routers by name.
type Peers interface {
	// Announce tells a router where streams began, by the streams' ids. It doesn't wait.
	Announce(router string, began map[string]Began)
	// Find asks routers at the same time, until one of them knows the stream or all have answered.
	Find(ctx context.Context, routers []string, stream, service string) Finding
}

// Finding is what other routers know of a stream and of the versions of the service that is to continue it.
type Finding struct {
	// Software is the version at which the stream began, if Found is set.
	Software string
	Found    bool
	// Mixed is set if one of them has seen several versions of the service, or knows that the stream began at an unknown one.
	Mixed bool
	// Answered is set if one of them has answered, or if there is no other router.
	Answered bool
}

// Registry finds the versions at which streams began. It is safe for concurrent use.
type Registry struct {
	Options
	// queue holds the streams to announce, and changed a value after a change of the versions.
	queue   chan stream
	changed chan struct{}
	// begun holds a value while streams have begun that the store lacks.
	begun chan struct{}
	// object is this router's object with its streams.
	object *platform.OwnedObject
	// listing is held during a list of all routers' streams, so that several requests share one.
	listing sync.Mutex

	mu       sync.Mutex
	services map[string]*service
	streams  streams
	runs     runs
	// stored holds the streams of all routers by the latest list, and listed is set once there is one. The latest attempt to list them
	// ended at triedAt with the error listErr.
	stored  map[string]stream
	listed  bool
	triedAt time.Time
	listErr error
	// era is the store's era.
	era uint64
}

// service is what a router knows of a service.
type service struct {
	versions
	object *platform.OwnedObject
	// stored is the record as this router has read or written it last, and read is set once it has done so.
	stored record
	read   bool
}

// NewRegistry returns a Registry that knows no streams.
func NewRegistry(o Options) *Registry {
	return &Registry{
		Options: o, object: &platform.OwnedObject{Store: o.Store, Key: streamKind + "/" + o.VM},
		queue: make(chan stream, maxQueued), changed: make(chan struct{}, 1), begun: make(chan struct{}, 1), services: map[string]*service{}, streams: streams{byID: map[string]stream{}}, runs: runs{},
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// StoreReached tells the registry a revision that the store has reached. After a restore from an older copy the records are written
// again.
func (r *Registry) StoreReached(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = max(r.era, platform.Era(revision))
}

// Update sets the endpoints. When a service gets a second version, the streams that this router knows are announced.
func (r *Registry) Update(vms []platform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.runs.update(now, vms)
	r.resolve(now)
	current := map[string]map[string]bool{}
	for _, vm := range vms {
		if current[vm.Service] == nil {
			current[vm.Service] = map[string]bool{}
		}
		current[vm.Service][vm.Software] = true
	}
	for name, software := range current {
		s := r.service(name)
		_, wasSettled := s.settled(now)
		first := s.current == nil
		if !s.update(now, software) {
			continue
		}
		if first && r.FirstStart {
			s.since = now.Add(-MaxStreamAge - maxClockSkew)
		}
		r.Log.WithFields(log.Fields{"service": name, "versions": len(software), "was_settled": wasSettled}).Info("software_versions_changed")
		for _, st := range r.streams.own(now, func(st *stream) bool { return st.service == name }, maxQueued) {
			r.enqueue(st)
		}
		signal(r.changed)
		signal(r.begun)
	}
}

// service returns what is known of a service. r.mu must be held.
func (r *Registry) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{object: &platform.OwnedObject{Store: r.Store, Key: Kind + "/" + name}}
		r.services[name] = s
	}
	return s
}

// enqueue queues a stream to be announced. r.mu may be held.
func (r *Registry) enqueue(st stream) {
	select {
	case r.queue <- st:
	default:
		r.Log.WithField("stream", st.id).Warn("stream_not_announced")
	}
}

// Record remembers that a stream began at a version of the service's software.
func (r *Registry) Record(id, serviceName, software string) {
	r.record(stream{id: streamName(id), service: serviceName, Began: Began{Software: software}})
}

// RecordUnproven remembers that a stream began at a process whose version isn't known. The stream can go on once a list entry of the
// process arrives, if run is known.
func (r *Registry) RecordUnproven(id, serviceName string, run Run) {
	if software, ok := r.SoftwareOf(run); ok {
		r.Record(id, serviceName, software)
		return
	}
	r.record(stream{id: streamName(id), service: serviceName, Began: Began{Unproven: true}, run: run})
}

// SoftwareOf returns the version of the software of a process by its list entry.
func (r *Registry) SoftwareOf(run Run) (software string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen, ok := r.runs[run]
	return seen.software, ok
}

func (r *Registry) record(st stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st.at = time.Now()
	wasUnproven := r.streams.byID[st.id].Unproven // Others were told so.
	r.streams.add(st.at, st)
	if r.isToldOthers(&st) || wasUnproven {
		r.enqueue(st)
		signal(r.begun)
	}
}

// isToldOthers reports whether other routers couldn't tell by the versions of the service where the stream began. r.mu must be held.
func (r *Registry) isToldOthers(st *stream) bool {
	software, settled := r.service(st.service).settled(time.Now())
	return !settled || st.Unproven || st.Software != software
}

// resolve finds the versions of unproven streams whose process has a list entry by now. r.mu must be held.
func (r *Registry) resolve(now time.Time) {
	for _, st := range r.streams.own(now, func(st *stream) bool { return st.Unproven }, maxQueued) {
		seen, ok := r.runs[st.run]
		if !ok {
			continue
		}
		st.Began = Began{Software: seen.software}
		r.streams.add(now, st)
		r.enqueue(st)
		signal(r.begun)
		r.Log.WithFields(log.Fields{"stream": st.id, "endpoint": st.run.Endpoint, "started": st.run.Started, "software": seen.software}).Info("stream_version_found")
	}
}

// Forget forgets a stream that has been delivered to its end.
func (r *Registry) Forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams.byID, streamName(id))
}

// Learn remembers streams that another router has announced.
func (r *Registry) Learn(began map[string]Began) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, b := range began {
		if len(b.Software) <= maxNameBytes {
			r.streams.add(now, stream{id: streamName(id), Began: b, at: now})
		}
	}
}

// known returns where a stream began, if this router remembers it.
func (r *Registry) known(id string) (b Began, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams.find(time.Now(), id)
}

// Answer answers another router's question for a stream and for the versions of a service.
func (r *Registry) Answer(id, serviceName string) Finding {
	b, ok := r.known(streamName(id))
	return Finding{Software: b.Software, Found: ok && !b.Unproven, Mixed: ok && b.Unproven || r.IsMixed(serviceName), Answered: true}
}

// Find returns the version at which a stream of the service began. With SourceUnknown nobody knows, and the stream can't go on.
//
// It answers a router that doesn't know of a newer version yet, because it is cut off from the store or its watch lags: other routers
// are asked before its own view of the versions counts.
func (r *Registry) Find(ctx context.Context, id, serviceName string) (software string, source Source) {
	id = streamName(id)
	if b, ok := r.known(id); ok {
		return r.whereBegan(id, b, SourceStream)
	}
	peers := r.askPeers(ctx, id, serviceName)
	if peers.Found {
		return peers.Software, SourcePeer
	}
	isTrusted := !peers.Mixed && (peers.Answered || r.isViewCurrent(ctx))
	r.mu.Lock()
	software, settled := r.service(serviceName).settled(time.Now())
	r.mu.Unlock()
	if settled && isTrusted {
		return software, SourceOnly
	}
	if id != "" {
		if b, ok := r.findStored(ctx, id); ok {
			return r.whereBegan(id, b, SourceStored)
		}
	}
	if isTrusted {
		if software, ok := r.onlyByRecord(ctx, serviceName); ok {
			return software, SourceRecord
		}
	}
	r.Log.WithFields(log.Fields{
		"stream": id, "service": serviceName, "settled": settled, "mixed_at_peer": peers.Mixed, "peer_answered": peers.Answered,
	}).Info("stream_origin_unknown")
	return "", SourceUnknown
}

func (r *Registry) isViewCurrent(ctx context.Context) bool {
	if r.IsViewCurrent == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.IsViewCurrent(ctx)
}

// whereBegan returns the version at which a stream began, or SourceUnknown if it is unproven.
func (r *Registry) whereBegan(id string, b Began, source Source) (string, Source) {
	if b.Unproven {
		r.Log.WithFields(log.Fields{"stream": id, "known_by": string(source)}).Info("stream_origin_unproven")
		return "", SourceUnknown
	}
	return b.Software, source
}

// askPeers asks the routers that remember the stream. If none of them answers, it asks once more: a router that was paused finds the
// time for the first question over.
func (r *Registry) askPeers(ctx context.Context, id, serviceName string) (f Finding) {
	const questions = 2
	for range questions {
		askCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		f = r.Peers.Find(askCtx, r.Keepers(id, keepers), id, serviceName)
		cancel()
		if f.Answered {
			break
		}
	}
	return f
}

// IsMixed reports whether this router has seen several versions of the service within MaxStreamAge.
func (r *Registry) IsMixed(serviceName string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[serviceName]
	return s != nil && s.isMixed(time.Now())
}

// Run announces streams and writes the records of services until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { r.runRecords(ctx) })
	tasks.Go(func() { r.runStreams(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case st := <-r.queue:
			if !sleep.For(ctx, announceDelay) {
				return
			}
			r.announce(st)
		}
	}
}

// announce tells the keepers of the queued streams, one call a router.
func (r *Registry) announce(st stream) {
	byRouter := map[string]map[string]Began{}
	for more := true; more; {
		for _, router := range r.Keepers(st.id, keepers) {
			if byRouter[router] == nil {
				byRouter[router] = map[string]Began{}
			}
			byRouter[router][st.id] = st.Began
		}
		select {
		case st = <-r.queue:
		default:
			more = false
		}
	}
	for router, began := range byRouter {
		r.Peers.Announce(router, began)
	}
}
