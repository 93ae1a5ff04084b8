package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

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
)

// pollReports polls the model engines for their load in turn until ctx ends, each once per reportInterval.
func (r *Router) pollReports(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
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

// polledEngines returns the live model engines ordered by name, or nil if there are more than maxPolledEngines.
func (r *Router) polledEngines() []platform.VM {
	config := r.config.Current()
	if config == nil {
		return nil
	}
	var engines []platform.VM
	for _, vm := range r.endpoints.list() {
		if s, ok := config.Service(vm.Service); ok && s.TokensPerEvent > 0 && vm.State == platform.VMLive {
			engines = append(engines, vm)
		}
	}
	if len(engines) > maxPolledEngines {
		return nil
	}
	slices.SortFunc(engines, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

func (r *Router) pollEngine(ctx context.Context, vm platform.VM) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := r.fetchReport(ctx, vm)
	if err != nil {
		r.log.WithField("endpoint", vm.Name).WithError(err).Debug("report_failed")
		return
	}
	r.placement.Report(vm.Name, report)
}

func (r *Router) fetchReport(ctx context.Context, vm platform.VM) (route.LoadReport, error) {
	response, err := r.client.Send(ctx, upstream.Call{Address: vm.Address, Method: http.MethodGet, Target: r.adapter.ReportPath, Host: vm.Address, Header: http.Header{}})
	if err != nil {
		return route.LoadReport{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return route.LoadReport{}, err
	}
	if response.Status != http.StatusOK {
		return route.LoadReport{}, fmt.Errorf("entry: load report request returned status %d", response.Status)
	}
	return r.adapter.DecodeReport(body)
}
