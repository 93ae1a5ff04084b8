// Package observe collects what the stand-ins, the platform and the routers' configuration show during a run.
package observe

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/control"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/service"
)

// recordInterval is short, because the record of an engine is lost with its process.
const recordInterval = 200 * time.Millisecond

// Records follows the record of one endpoint.
type Records struct {
	client  *control.Client
	process fleet.Process
	service bool

	mu   sync.Mutex
	runs []observation.Run
	// open is the number of the oldest run that had not ended when it was read.
	open   uint64
	counts map[string]int
	// failed is the latest error, nil if the latest read succeeded.
	failed error
	lost   uint64
	// closed is set when the endpoint is about to be stopped by plan.
	closed bool
}

// NewRecords returns a follower of an engine's or a service's record.
func NewRecords(client *control.Client, process fleet.Process, isService bool) *Records {
	return &Records{client: client, process: process, service: isService, open: 1, counts: map[string]int{}}
}

// Run reads the record until ctx ends.
func (r *Records) Run(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Read(ctx)
		}
	}
}

// Close reads what is new for the last time, before the endpoint is stopped by plan.
func (r *Records) Close(ctx context.Context) {
	r.Read(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Read reads what is new.
func (r *Records) Read(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	path := fmt.Sprintf("/control/record?after=%d", r.open-1)
	if r.service {
		var answer service.Records
		r.failed = r.client.Do(ctx, http.MethodGet, r.process.Address, path, nil, &answer)
		if r.failed == nil {
			r.takeService(answer)
		}
		return
	}
	var answer engine.Records
	r.failed = r.client.Do(ctx, http.MethodGet, r.process.Address, path, nil, &answer)
	if r.failed == nil {
		r.takeEngine(answer)
	}
}

// numbered is a run with its number in the endpoint's record.
type numbered struct {
	n   uint64
	run observation.Run
}

func (r *Records) takeEngine(answer engine.Records) {
	r.lost = answer.Dropped
	var runs []numbered
	for _, record := range answer.Records {
		runs = append(runs, numbered{record.N, observation.Run{
			VM: r.process.VM, RequestID: record.RequestID, Organisation: record.Organisation, Key: record.IdempotencyKey,
			Queued: record.QueuedAt, Started: record.StartedAt, Ended: record.EndedAt, End: record.End, Tokens: record.Tokens,
		}})
	}
	r.take(runs)
}

func (r *Records) takeService(answer service.Records) {
	r.lost, r.counts = answer.Dropped, answer.Runs
	var runs []numbered
	for _, record := range answer.Records {
		runs = append(runs, numbered{record.N, observation.Run{
			VM: r.process.VM, RequestID: record.RequestID, Organisation: record.Organisation, Key: record.IdempotencyKey,
			Queued: record.StartedAt, Started: record.RanAt, Ended: record.RanAt,
		}})
	}
	r.take(runs)
}

// take replaces what was read from the oldest open run on.
func (r *Records) take(runs []numbered) {
	r.runs = r.runs[:min(len(r.runs), int(r.open-1))]
	open := r.open
	ended := true
	for _, n := range runs {
		r.runs = append(r.runs, n.run)
		ended = ended && !n.run.Ended.IsZero()
		if ended {
			open = n.n + 1
		}
	}
	r.open = open
}

// Result returns the runs seen, the runs by <organisation>/<key> of a service, and what was lost.
func (r *Records) Result() ([]observation.Run, map[string]int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.failed != nil:
		return r.runs, r.counts, fmt.Sprintf("%s: the record could not be read at the end: %v", r.process.VM, r.failed)
	case r.lost > 0:
		return r.runs, r.counts, fmt.Sprintf("%s: the endpoint dropped its %d oldest records", r.process.VM, r.lost)
	}
	return r.runs, r.counts, ""
}
