// Package observe collects observations during a run: the records of the stand-ins, the ledger at the platform and the
// configuration in force at the routers.
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

// recordInterval is the time between two reads of a record. It is short because an engine's record is lost with its
// process.
const recordInterval = 200 * time.Millisecond

// Records polls the record of one endpoint. Read and Close may be called while Run is running.
type Records struct {
	client    *control.Client
	process   fleet.Process
	isService bool

	mu   sync.Mutex
	runs []observation.Run
	// oldestOpen is the number of the oldest run in the record, counted from 1, that had not ended at the latest read.
	oldestOpen uint64
	// counts holds the number of runs of a service by <organisation>/<key>.
	counts map[string]int
	// readErr is the error of the latest read, nil if it succeeded.
	readErr error
	// dropped is the number of records that the endpoint has dropped.
	dropped uint64
	// closed is set before a planned stop of the endpoint. Later reads do nothing.
	closed bool
}

// NewRecords returns an observer of the record of an engine, or of a service.
func NewRecords(client *control.Client, process fleet.Process, isService bool) *Records {
	return &Records{client: client, process: process, isService: isService, oldestOpen: 1, counts: map[string]int{}}
}

// Run reads the record at regular intervals until ctx ends.
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

// Close reads the record for the last time, before a planned stop of the endpoint.
func (r *Records) Close(ctx context.Context) {
	r.Read(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Read reads the record from the oldest open run on. Result reports the error of the latest read.
func (r *Records) Read(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	path := fmt.Sprintf("/control/record?after=%d", r.oldestOpen-1)
	if r.isService {
		var answer service.Records
		r.readErr = r.client.Do(ctx, http.MethodGet, r.process.Address, path, nil, &answer)
		if r.readErr == nil {
			r.applyServiceRecords(answer)
		}
		return
	}
	var answer engine.Records
	r.readErr = r.client.Do(ctx, http.MethodGet, r.process.Address, path, nil, &answer)
	if r.readErr == nil {
		r.applyEngineRecords(answer)
	}
}

// numberedRun is a run with its number in the endpoint's record.
type numberedRun struct {
	n   uint64
	run observation.Run
}

func (r *Records) applyEngineRecords(answer engine.Records) {
	r.dropped = answer.Dropped
	var runs []numberedRun
	for _, record := range answer.Records {
		runs = append(runs, numberedRun{record.N, observation.Run{
			VM: r.process.VM, RequestID: record.RequestID, Organisation: record.Organisation, Key: record.IdempotencyKey,
			QueuedAt: record.QueuedAt, StartedAt: record.StartedAt, EndedAt: record.EndedAt, End: record.End, Tokens: record.Tokens,
		}})
	}
	r.replaceOpenRuns(runs)
}

func (r *Records) applyServiceRecords(answer service.Records) {
	r.dropped, r.counts = answer.Dropped, answer.Runs
	var runs []numberedRun
	for _, record := range answer.Records {
		runs = append(runs, numberedRun{record.N, observation.Run{
			VM: r.process.VM, RequestID: record.RequestID, Organisation: record.Organisation, Key: record.IdempotencyKey,
			QueuedAt: record.StartedAt, StartedAt: record.RanAt, EndedAt: record.RanAt,
		}})
	}
	r.replaceOpenRuns(runs)
}

// replaceOpenRuns replaces the runs from the oldest open one on by the runs just read.
func (r *Records) replaceOpenRuns(runs []numberedRun) {
	r.runs = r.runs[:min(len(r.runs), int(r.oldestOpen-1))]
	oldestOpen := r.oldestOpen
	allEnded := true
	for _, n := range runs {
		r.runs = append(r.runs, n.run)
		allEnded = allEnded && !n.run.EndedAt.IsZero()
		if allEnded {
			oldestOpen = n.n + 1
		}
	}
	r.oldestOpen = oldestOpen
}

// Result returns the runs, the number of runs by <organisation>/<key> of a service, and a text about missing records,
// which is empty if the latest read succeeded and nothing was dropped.
func (r *Records) Result() ([]observation.Run, map[string]int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.readErr != nil:
		return r.runs, r.counts, fmt.Sprintf("%s: the record could not be read at the end: %v", r.process.VM, r.readErr)
	case r.dropped > 0:
		return r.runs, r.counts, fmt.Sprintf("%s: the endpoint dropped its %d oldest records", r.process.VM, r.dropped)
	}
	return r.runs, r.counts, ""
}
