package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// errCold means that an endpoint is cold and this router has sent it what it may, or may send it nothing.
var errCold = fmt.Errorf("%w: it is cold", upstream.ErrRefused)

const (
	// coldLinesPerSecond limits the log lines on endpoints that become cold or warm: a zone of them does so at once.
	coldLinesPerSecond = 100
	// coldPollInterval is the time between two attempts to ask a cold endpoint whose answer is to be confirmed.
	coldPollInterval = 20 * time.Millisecond
)

// gateCold makes the call ask for permission before each thing that it sends. Configurations without cold endpoints don't need it.
func (e *exchange) gateCold(call *upstream.Call, inFlight *route.InFlightRequest) {
	if e.service.ColdPerSecond <= 0 {
		return
	}
	if ask := call.Identify; ask != nil {
		call.Identify = func(ctx context.Context, send upstream.SendFunc) (int64, error) {
			if err := e.admitCold(inFlight, false); err != nil {
				return 0, err
			}
			return ask(ctx, send)
		}
	}
	accept := call.Accept
	call.Accept = func(run upstream.Run) error {
		if accept != nil {
			if err := accept(run); err != nil {
				return err
			}
		}
		return e.admitCold(inFlight, true)
	}
}

// admitCold returns errCold if the request, or a question before it, must not be sent to its endpoint now.
func (e *exchange) admitCold(inFlight *route.InFlightRequest, isLast bool) error {
	cold, ok := e.Placement.admitCold(inFlight, isLast)
	if cold {
		e.Metrics.recordCold(ok)
	}
	if !ok {
		return errCold
	}
	return nil
}

// awaitCold waits until the endpoint of an answer that is to be confirmed may be asked.
func (c *endCheck) awaitCold(ctx context.Context) error {
	for c.service.ColdPerSecond > 0 && c.admitCold(c.inFlight, false) != nil {
		if !sleep.For(ctx, coldPollInterval) {
			return errCold
		}
	}
	return nil
}

// SetColdPermit sets what says how many requests this router may send to a cold endpoint now, and where the changes are logged. It must be
// called before Run. The permit must not call the Placement.
func (p *Placement) SetColdPermit(permit func(platform.VM) route.ColdPermit, logger log.Interface) {
	p.coldLog = logger
	p.owner.Post(func(t *table) { t.SetColdPermit(permit) })
}

// admitCold reports whether something may be sent to the request's endpoint at this moment. cold is set if the endpoint is cold.
func (p *Placement) admitCold(inFlight *route.InFlightRequest, isLast bool) (cold, ok bool) {
	p.owner.Do(func(t *table) { cold, ok = t.AdmitCold(time.Now(), inFlight, isLast) })
	return cold, ok
}

// IsCold reports whether the endpoint is cold.
func (p *Placement) IsCold(vm string) (cold bool) {
	p.owner.Do(func(t *table) { cold = t.IsCold(vm) })
	return cold
}

// logCold logs what the table says of endpoints that have become cold or warm.
func (p *Placement) logCold(t *table) {
	for _, c := range t.TakeColdChanges() {
		skipped, ok := p.coldLines.Allow(time.Now())
		if !ok {
			continue
		}
		p.coldLog.WithFields(log.Fields{
			"endpoint": c.VM, "cold": c.Remaining > 0, "remaining_ms": c.Remaining.Milliseconds(), "source": string(c.Source), "per_second": c.PerSecond,
			"most": c.Most, "share": c.PerRouter, "sharers": c.Sharers(), "lines_left_out": skipped,
		}).Info("endpoint_cold")
	}
}
