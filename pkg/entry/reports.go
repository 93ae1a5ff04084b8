package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/forward"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

const (
	// reportInterval is the time between two load reports of the same engine. A report is about 200 ms old on arrival.
	reportInterval = time.Second
	// reportTimeout limits one report request. An engine responds to it without waiting for a free slot.
	reportTimeout  = 300 * time.Millisecond
	maxReportBytes = 64 << 10
	// maxPolledEngines is the number of engines up to which a router polls them. With more engines, polling would cost
	// more than better placement gains.
	maxPolledEngines = 32
	// limitPollAge is the time without an answer of a limited engine after which it is polled in any case: a router that may
	// not send to it learns only so that the limit has ended. maxLimitPolls bounds these engines.
	limitPollAge  = 4 * time.Second
	maxLimitPolls = 8
	// limitForgetInterval is the time between two routers of a fleet that forget the limit of an endpoint that they may not
	// send to and can't poll. The next answer names it again if it still holds.
	limitForgetInterval = 10 * time.Second
)

// pollReports polls the model engines for their load in turn until ctx ends, each once per reportInterval.
func (r *Router) pollReports(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		r.placement.ForgetLimits(limitForgetInterval * time.Duration(r.roster.Count()))
		engines := r.polledEngines()
		pause := reportInterval
		if len(engines) > 0 {
			next = (next + 1) % len(engines)
			go r.pollEngine(ctx, engines[next])
			pause /= time.Duration(len(engines))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// polledEngines returns the live model engines outside of evacuated zones ordered by name. If there are more than maxPolledEngines, it returns only those
// whose limits may have ended.
func (r *Router) polledEngines() []platform.VM {
	config := r.config.Current()
	if config == nil {
		return nil
	}
	var engines []platform.VM
	for _, vm := range r.endpoints.list() {
		if s, ok := config.Service(vm.Service); ok && s.TokensPerEvent > 0 && vm.State == platform.VMLive && !r.isEvacuated(vm.Zone) {
			engines = append(engines, vm)
		}
	}
	if len(engines) > maxPolledEngines {
		engines = r.withStaleLimits(engines)
	}
	slices.SortFunc(engines, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

// sharesWork reports whether the routers tell each other what they have at the engines: with more of them than are polled, a router
// knows nothing else of the work of the others.
func (r *Router) sharesWork() bool {
	config := r.config.Current()
	if config == nil || r.roster.Count() == 1 {
		return false
	}
	engines := 0
	for _, vm := range r.endpoints.list() {
		if s, ok := config.Service(vm.Service); ok && s.TokensPerEvent > 0 && vm.State == platform.VMLive {
			engines++
		}
	}
	return engines > maxPolledEngines
}

// isEvacuated reports whether nothing is sent to the zone.
func (r *Router) isEvacuated(zone string) bool {
	return r.evacuations != nil && r.evacuations.isEvacuated(zone)
}

// withStaleLimits returns at most maxLimitPolls of the engines whose limits have not been named for limitPollAge.
func (r *Router) withStaleLimits(engines []platform.VM) []platform.VM {
	stale := r.placement.StaleLimits(limitPollAge)
	engines = slices.DeleteFunc(engines, func(vm platform.VM) bool { return !slices.Contains(stale, vm.Name) })
	return engines[:min(maxLimitPolls, len(engines))]
}

// limitShare returns how many requests a second this router may send to an endpoint that takes so many from all routers.
func (r *Router) limitShare(endpoint string, perSecond float64) float64 {
	sharers := r.roster.PreferenceList("limit/"+endpoint, route.LimitSharers(perSecond))
	if !slices.Contains(sharers, r.settings.VM) {
		return 0
	}
	return route.LimitShare(perSecond, len(sharers))
}

// brittleShare returns how many requests this router may have in progress at a brittle endpoint whose load it doesn't know, and
// the number of routers that send to it. If there are more routers than slots, only as many as slots may send.
func (r *Router) brittleShare(endpoint string) (share, routers int) {
	slots := max(1, r.endpoints.slots(endpoint))
	sharers := r.roster.PreferenceList("brittle/"+endpoint, slots)
	routers = r.roster.PrimaryCount()
	if !slices.Contains(sharers, r.settings.VM) {
		return 0, routers
	}
	return route.BrittleShare(slots, len(sharers)), routers
}

func (r *Router) pollEngine(ctx context.Context, vm platform.VM) {
	if r.placement.IsCold(vm.Name) {
		return // All that a cold engine gets counts.
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, _, err := r.fetchReport(ctx, vm, r.client.Send)
	if err != nil {
		r.log.WithField("endpoint", vm.Name).WithError(err).Debug("report_failed")
		r.links.Suspect()
		return
	}
	r.placement.Report(vm.Name, report)
}

// startOf asks an engine for the start time of its process. It is 0 if the engine doesn't say it: its whole report has none, or it has no
// such call. Without a whole report, or with any other status, the process isn't known.
func (r *Router) startOf(ctx context.Context, address string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, response, err := r.requestReport(ctx, address, r.client.Send)
	return statedStart(report, response, err)
}

// statedStart returns the start time that an engine has stated, by what requestReport has returned.
func statedStart(report route.LoadReport, response *upstream.Response, err error) (int64, error) {
	if response != nil && (response.Status == http.StatusNotFound || response.Status == http.StatusNotImplemented) {
		return 0, nil
	}
	return report.Started, err
}

// identify asks the model engine at the other end of a connection for the start time of its process, and records its load report. It
// returns 0 if the engine answers without saying it.
func (r *Router) identify(ctx context.Context, endpoint, address string, send upstream.SendFunc) (started int64, err error) {
	report, response, err := r.fetchReport(ctx, platform.VM{Name: endpoint, Address: address}, send)
	if err == nil {
		r.placement.Report(endpoint, report)
	}
	return statedStart(report, response, err)
}

// fetchReport asks for an engine's load report and records what the answer says besides.
func (r *Router) fetchReport(ctx context.Context, vm platform.VM, send upstream.SendFunc) (route.LoadReport, *upstream.Response, error) {
	sentAt := time.Now()
	report, response, err := r.requestReport(ctx, vm.Address, send)
	if response != nil {
		r.placement.RecordAnswer(forward.NewAnswer(r.adapter.Dialect, vm.Name, sentAt, response), r.log)
	}
	return report, response, err
}

// requestReport returns an engine's load report. The response is nil if there was none; its body has been read.
func (r *Router) requestReport(ctx context.Context, address string, send upstream.SendFunc) (route.LoadReport, *upstream.Response, error) {
	response, err := send(ctx, upstream.Call{Address: address, Method: http.MethodGet, Target: r.adapter.ReportPath, Host: address, Header: http.Header{}})
	if err != nil {
		return route.LoadReport{}, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return route.LoadReport{}, response, err
	}
	if response.Status != http.StatusOK {
		return route.LoadReport{}, response, fmt.Errorf("entry: load report request returned status %d", response.Status)
	}
	report, err := r.adapter.DecodeReport(body)
	return report, response, err
}
