package workload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/api/ls/workload/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/workload/v1/workloadv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

const (
	// interval is the time between two exchanges of a router that has requests in progress. It is of the order of the prefill of a
	// prompt of some thousand tokens: older figures describe prompts that are done.
	interval = 100 * time.Millisecond
	// maxExchangesPerSecond bounds the exchanges that a keeper serves. Each takes a fraction of a ms of a VM that may have a fifth of a
	// processor, and has callers to serve.
	maxExchangesPerSecond = 250
	// exchangeTimeout limits one exchange. A round trip within a region takes a few ms.
	exchangeTimeout = 150 * time.Millisecond
	// idleInterval is the time between two exchanges of a router without requests in progress, and idleAfter the time after its last
	// one from which it exchanges nothing. A router that gets requests now and then is to know where their prompts are when they come.
	idleInterval = 700 * time.Millisecond
	idleAfter    = 15 * time.Second
	// checkInterval is the time between two checks whether the fleet shares its work.
	checkInterval = time.Second
	// keepers is the number of routers that may keep the board, in order of preference; retryKeeper is the time after which a router
	// that did not answer is asked again.
	keepers     = 3
	retryKeeper = 2 * time.Second
)

// Options configure an Exchange.
type Options struct {
	Router string
	Log    log.Interface
	Client connect.HTTPClient
	// Keepers returns the n routers that are to keep the board, in order, and Addresses the peer addresses of the others.
	Keepers   func(n int) []string
	Addresses func() map[string]string
	// Applies reports whether the fleet shares its work at present.
	Applies func() bool
	// OwnWork returns this router's work, and ApplyWork takes that of the others.
	OwnWork   func() []route.SharedWork
	ApplyWork func([]route.SharedWork)
}

// Exchange gives this router's work to the others and gets theirs. It is safe for concurrent use.
type Exchange struct {
	workloadv1connect.UnimplementedWorkloadServiceHandler
	options Options
	timeout time.Duration
	// instance identifies this start of the router, and so its board.
	instance uint64

	mu    sync.Mutex
	board *Board

	// The rest belongs to Run. next is the position in the sequence of the board named boardID.
	keeper        string
	boardID, next uint64
	silent        map[string]time.Time
	lost          bool
	// pause is the time between two exchanges that the keeper has asked for.
	pause time.Duration
}

// New returns an Exchange.
func New(o Options) *Exchange {
	return &Exchange{options: o, timeout: exchangeTimeout, instance: rand.Uint64(), board: NewBoard(), silent: map[string]time.Time{}}
}

// Handler returns the path and the handler for the peer API.
func (x *Exchange) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return workloadv1connect.NewWorkloadServiceHandler(x, options...)
}

// Exchange implements WorkloadService.
func (x *Exchange) Exchange(_ context.Context, req *connect.Request[workloadv1.ExchangeRequest]) (*connect.Response[workloadv1.ExchangeResponse], error) {
	m := req.Msg
	next := m.GetNext()
	if m.GetBoard() != x.instance {
		next = 0
	}
	others, next, pause := x.put(m.GetRouter(), decodeWork(m.GetWork()), next)
	return connect.NewResponse(&workloadv1.ExchangeResponse{Work: encodeWork(others), Board: x.instance, Next: next, IntervalMs: uint32(pause.Milliseconds())}), nil
}

func (x *Exchange) put(router string, work []route.SharedWork, next uint64) (others []route.SharedWork, newNext uint64, pause time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	others, newNext = x.board.Put(time.Now(), router, work, next)
	return others, newNext, x.board.interval()
}

// Run exchanges work until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var busyAt, exchangedAt, checkedAt time.Time
	applies := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(checkedAt) >= checkInterval {
			applies, checkedAt = x.options.Applies(), now
		}
		if !applies || now.Sub(exchangedAt) < x.pause-interval/2 {
			continue
		}
		work := x.options.OwnWork()
		if len(work) > 0 {
			busyAt = now
		}
		if len(work) > 0 || now.Sub(busyAt) < idleAfter && now.Sub(exchangedAt) >= idleInterval {
			exchangedAt = now
			x.exchange(ctx, now, work)
		}
	}
}

// exchange gives work to the first keeper that answers. What no keeper got is lost, except for the requests in progress.
func (x *Exchange) exchange(ctx context.Context, now time.Time, work []route.SharedWork) {
	addresses := x.options.Addresses()
	for _, keeper := range x.options.Keepers(keepers) {
		if keeper == x.options.Router {
			if x.keeper != keeper {
				x.keeper, x.next = keeper, 0
			}
			others, next, _ := x.put(keeper, work, x.next)
			x.next = next
			x.options.ApplyWork(others)
			x.setLost(nil)
			return
		}
		address, ok := addresses[keeper]
		if !ok || now.Sub(x.silent[keeper]) < retryKeeper {
			continue
		}
		if x.keeper != keeper {
			x.keeper, x.boardID, x.next = keeper, 0, 0
		}
		callCtx, cancel := context.WithTimeout(ctx, x.timeout)
		client := workloadv1connect.NewWorkloadServiceClient(x.options.Client, "http://"+address, connect.WithReadMaxBytes(peerhttp.MaxMessageBytes))
		response, err := client.Exchange(callCtx, connect.NewRequest(&workloadv1.ExchangeRequest{
			Router: x.options.Router, Work: encodeWork(work), Board: x.boardID, Next: x.next,
		}))
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				clear(x.silent) // Bounds it to the keepers of the last changes of the fleet.
				x.silent[keeper] = now
				x.setLost(err)
			}
			return // The next keeper is asked with newer work.
		}
		x.boardID, x.next, x.pause = response.Msg.GetBoard(), response.Msg.GetNext(), time.Duration(response.Msg.GetIntervalMs())*time.Millisecond
		x.options.ApplyWork(decodeWork(response.Msg.GetWork()))
		x.setLost(nil)
		return
	}
}

func (x *Exchange) setLost(err error) {
	lost := err != nil
	if lost == x.lost {
		return
	}
	x.lost = lost
	entry := x.options.Log.WithField("keeper", x.keeper)
	if lost {
		entry.WithError(err).Info("work_exchange_lost")
		return
	}
	entry.Info("work_exchange_regained")
}

func encodeWork(work []route.SharedWork) []*workloadv1.EndpointWork {
	encoded := make([]*workloadv1.EndpointWork, len(work))
	for i, w := range work {
		encoded[i] = &workloadv1.EndpointWork{
			Endpoint: w.VM, Started: w.Started, PendingTokens: uint32(w.PendingTokens), Running: uint32(w.Running), Prefixes: w.Prefixes,
			PredictedMs: float32(w.PredictedMS), MeasuredMs: float32(w.MeasuredMS),
		}
	}
	return encoded
}

func decodeWork(work []*workloadv1.EndpointWork) []route.SharedWork {
	decoded := make([]route.SharedWork, len(work))
	for i, w := range work {
		decoded[i] = route.SharedWork{
			VM: w.GetEndpoint(), Started: w.GetStarted(), PendingTokens: int(w.GetPendingTokens()), Running: int(w.GetRunning()), Prefixes: w.GetPrefixes(),
			PredictedMS: float64(w.GetPredictedMs()), MeasuredMS: float64(w.GetMeasuredMs()),
		}
	}
	return decoded
}
