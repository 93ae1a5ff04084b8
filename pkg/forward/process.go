package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/origin"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// errLeaving means that an endpoint has said that it leaves when it was asked for its start time.
var errLeaving = fmt.Errorf("%w: it is leaving", upstream.ErrRefused)

// errOtherVersion means that a stream can't be continued by a process, because its version is another one or isn't known.
var errOtherVersion = fmt.Errorf("%w: it may have another software version than the stream", upstream.ErrRefused)

// versionProof tells what proves the software version of the process that sends an answer.
type versionProof string

const (
	// provenByStart means that the process states the start time of the endpoint's list entry.
	provenByStart versionProof = "start_time"
	// provenByOtherEntry means that another entry of the endpoint, listed a short time ago, has the start time that the process states.
	provenByOtherEntry versionProof = "other_entry"
	// assumedFromList means that neither the process nor the list entry has a start time.
	assumedFromList versionProof = "list"
	// provenByRouter means that the other router through which the answer comes has named the version.
	provenByRouter versionProof = "other_router"
	// notProven means that the process may have another version than the list entry.
	notProven versionProof = "none"
)

// process is the process of an endpoint that sends an answer, as far as it is known.
type process struct {
	run upstream.Run
	// listed is the start time by the list entry by which the endpoint was chosen.
	listed int64
	// software is the version of its software, empty if proof is notProven: routers of an earlier build read nothing else.
	software string
	proof    versionProof
}

// identifyProcess finds the software version of a process. find looks for a list entry of the endpoint, present or earlier, with the start
// time, and returns its version.
//
// It answers endpoints that restart under their name and address with another version: a router that has the list entry of the earlier
// process would join events of two versions.
func identifyProcess(d *route.Decision, run upstream.Run, find func(started int64) (software string, ok bool)) process {
	p := process{run: run, listed: d.Started, proof: notProven}
	switch {
	case !run.Known:
	case run.Started == 0 && d.Started == 0:
		p.software, p.proof = d.Software, assumedFromList
	case run.Started == 0:
	case run.Started == d.Started:
		p.software, p.proof = d.Software, provenByStart
	default:
		if software, ok := find(run.Started); ok {
			p.software, p.proof = software, provenByOtherEntry
		}
	}
	return p
}

// differs reports whether the list entry is that of another process.
func (p *process) differs() bool { return p.run.Known && p.run.Started != p.listed }

// statesStart reports whether the service's endpoints can be asked for their start time.
func (e *exchange) statesStart() bool {
	return e.Identify != nil && e.route.Streaming && e.service.TokensPerEvent > 0
}

// identify asks the process at the other end of a connection for its start time. It fails if the endpoint says that it leaves.
func (e *exchange) identify(ctx context.Context, d *route.Decision, inFlight *route.InFlightRequest, send upstream.SendFunc) (int64, error) {
	started, err := e.Identify(ctx, d.Chosen, d.Address, send)
	if e.Placement.isLeaving(inFlight) {
		return 0, errLeaving
	}
	return started, err
}

// acceptProcess notes which process is to get the latest attempt. It fails if the process must not continue the stream.
func (e *exchange) acceptProcess(d *route.Decision, run upstream.Run) error {
	e.process = identifyProcess(d, run, func(started int64) (string, bool) {
		if e.Origins == nil {
			return "", false
		}
		return e.Origins.SoftwareOf(origin.Run{Endpoint: d.Chosen, Started: started})
	})
	e.Metrics.recordProcess(e.process.proof)
	if e.process.differs() {
		e.logOtherProcess(d)
	}
	if e.begun && (e.process.proof == notProven || e.process.software != e.software) {
		return errOtherVersion
	}
	if !e.begun && !e.onBehalf && e.Origins != nil && e.process.proof == notProven {
		// Other routers should know of it before the first event: this one may be killed just after it.
		e.Origins.RecordUnproven(e.request.ID, e.service.Name, e.processRun())
	}
	return nil
}

// addProcessFields adds what is known of the process that got the latest attempt.
func (e *exchange) addProcessFields(fields log.Fields) {
	if e.process.proof == "" {
		return
	}
	fields["version_proof"] = string(e.process.proof)
	if e.process.differs() {
		fields["started"], fields["listed"] = e.process.run.Started, e.process.listed
	}
}

// logOtherProcess logs that the process that gets a request is not the one of the endpoint's list entry.
func (e *exchange) logOtherProcess(d *route.Decision) {
	skipped, ok := e.otherProcessLimiter.Allow(time.Now())
	if !ok {
		return
	}
	e.Log.WithFields(log.Fields{
		"request": e.request.ID, "endpoint": d.Chosen, "address": d.Address, "started": e.process.run.Started, "listed": e.process.listed,
		"listed_software": d.Software, "proof": string(e.process.proof), "lines_left_out": skipped,
	}).Warn("endpoint_not_as_listed")
}
