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
	// reportInterval is the time between two reports of the same engine. Reports are about 200 ms old when they arrive.
	reportInterval = time.Second
	// reportTimeout bounds one question; an engine answers without waiting for a place.
	reportTimeout = 300 * time.Millisecond
	// maxReportBytes bounds a report.
	maxReportBytes = 64 << 10
	// maxReported is the number of engines up to which a router asks all of them. Above it, the questions would cost more
	// than better placement gains.
	maxReported = 32
)

// pollReports asks the model engines for their load in turn until ctx ends.
func (r *Router) pollReports(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		engines := r.reported()
		pause := reportInterval
		if len(engines) > 0 {
			next = (next + 1) % len(engines)
			go r.pollReport(ctx, engines[next])
			pause /= time.Duration(len(engines))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// reported returns the engines to ask, in a fixed order.
func (r *Router) reported() []platform.VM {
	config := r.config.Current()
	if config == nil {
		return nil
	}
	var engines []platform.VM
	for _, vm := range r.endpoints.current() {
		if s, ok := config.Service(vm.Service); ok && s.TokensPerEvent > 0 && vm.State == platform.VMLive {
			engines = append(engines, vm)
		}
	}
	if len(engines) > maxReported {
		return nil
	}
	slices.SortFunc(engines, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

func (r *Router) pollReport(ctx context.Context, vm platform.VM) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := r.report(ctx, vm)
	if err != nil {
		r.log.WithField("endpoint", vm.Name).WithError(err).Debug("report_failed")
		return
	}
	r.placement.Report(vm.Name, report)
}

func (r *Router) report(ctx context.Context, vm platform.VM) (route.LoadReport, error) {
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
		return route.LoadReport{}, fmt.Errorf("entry: report with status %d", response.Status)
	}
	return r.adapter.DecodeReport(body)
}
