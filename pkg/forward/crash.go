package forward

import (
	"context"
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

const (
	// answeredEvents is the number of events of one attempt that prove that the endpoint can answer the request. The first
	// one may have been sent just before a crash.
	answeredEvents = 2
	// crashCheckTTL is how long the result of a crash check counts for other requests that broke at the same run.
	crashCheckTTL = time.Second
	// crashCheckWait is how long a broken request waits for the check before it may be sent again. A crashed endpoint
	// refuses a connection within a round trip; a dark one doesn't answer at all.
	crashCheckWait = 20 * time.Millisecond
	// stoppedRetryAfter is the Retry-After of requests whose content crashes endpoints.
	stoppedRetryAfter = 30 * time.Second
)

// crashDetector finds out whether an endpoint at which requests broke has crashed. Their connections break for other
// reasons as well: a faulty endpoint resets single ones, and a link may fail. A crashed endpoint refuses connections, and so
// does each one for a VM that has lost its links to all of them. It is safe for concurrent use.
type crashDetector struct {
	client   *upstream.Client
	registry *poison.Registry
	// linksLost waits until it is known whether the VM has lost its links, and reports it. Optional.
	linksLost func(context.Context) bool

	mu     sync.Mutex
	checks map[string]*crashCheck
}

// crashCheck is the check of one run of an endpoint.
type crashCheck struct {
	startedAt time.Time
	done      chan struct{}
	crashed   bool
}

// report checks the run in the background and reports its crash to the registry. The returned channel is closed at the end.
func (d *crashDetector) report(run, address string, features []poison.Feature, begun bool) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if d.hasCrashed(run, address) {
			d.registry.ReportCrash(run, features, begun)
		}
	}()
	return done
}

// hasCrashed checks the run, or returns the result of a check that has just been made.
func (d *crashDetector) hasCrashed(run, address string) bool {
	now := time.Now()
	d.mu.Lock()
	for name, c := range d.checks {
		if now.Sub(c.startedAt) > crashCheckTTL {
			delete(d.checks, name)
		}
	}
	check := d.checks[run]
	if check != nil {
		d.mu.Unlock()
		<-check.done
		return check.crashed
	}
	check = &crashCheck{startedAt: now, done: make(chan struct{})}
	d.checks[run] = check
	d.mu.Unlock()
	ctx := context.Background() // The client limits the time of a connection attempt.
	check.crashed = d.client.Refuses(ctx, address) && (d.linksLost == nil || !d.linksLost(ctx))
	close(check.done)
	return check.crashed
}

// contentFeatures returns the features of the request, which are computed once.
func (e *exchange) contentFeatures() []poison.Feature {
	if e.features == nil {
		organisation := ""
		if e.org != nil {
			organisation = e.org.Name
		}
		e.features = e.request.features(organisation)
	}
	return e.features
}

// checkContent returns a failure if the content of the request crashes endpoints.
func (e *exchange) checkContent() *outcome.Failure {
	if e.CrashRecords == nil || e.CrashRecords.IsEmpty() {
		return nil
	}
	feature, stopped := e.CrashRecords.Find(e.contentFeatures())
	if !stopped {
		return nil
	}
	e.Metrics.recordStopped()
	failure := poison.StopFailure(e.mayHaveRun)
	failure.Message += ": " + feature.Name
	if failure.Outcome == outcome.NotRun {
		failure.RetryAfter = stoppedRetryAfter
	}
	return failure
}

// recordAnswered reports that the endpoint can answer the request.
func (e *exchange) recordAnswered() {
	if e.CrashRecords == nil || e.attemptAnswered {
		return
	}
	e.attemptAnswered = true
	if !e.CrashRecords.IsEmpty() {
		e.CrashRecords.ReportCompleted(e.contentFeatures())
	}
}

// reportBroken reports that the attempt broke, so that its endpoint may have crashed by the content of the request. It waits
// for a short time, so that a request that is stopped by this crash isn't sent again.
func (e *exchange) reportBroken(address string, inFlight *route.InFlightRequest) {
	if e.CrashRecords == nil || e.attemptAnswered {
		return
	}
	if run, ok := e.Placement.servingRun(inFlight, e.process.run.Started); ok {
		select {
		case <-e.crashes.report(run, address, e.contentFeatures(), e.answerBegun):
		case <-time.After(crashCheckWait):
		}
	}
}
