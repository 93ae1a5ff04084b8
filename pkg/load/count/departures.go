package count

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// countDepartures checks every planned stop of a VM.
func (c *counter) countDepartures() {
	for _, d := range c.observed.Departures {
		if d.IsEntryVM {
			c.countCutByEntryVM(d)
			continue
		}
		c.countWorkAfterLeaving(d)
		c.countCutByEndpoint(d)
	}
}

// countWorkAfterLeaving counts requests that the endpoint accepted later than LeavingBound after its leaving mark, and
// before the mark was removed.
func (c *counter) countWorkAfterLeaving(d observation.Departure) {
	limit := d.MarkedAt.Add(LeavingBound)
	for _, list := range [][]observation.Run{c.observed.EngineRuns, c.observed.ServiceRuns} {
		for _, run := range list {
			if run.VM == d.VM && run.QueuedAt.After(limit) && (d.CancelledAt.IsZero() || run.QueuedAt.Before(d.CancelledAt)) {
				c.counts.WorkAfterLeaving++
				c.addExample("work_after_leaving", "%s took request %s %.2f s after it was marked as leaving", d.VM, run.RequestID, run.QueuedAt.Sub(d.MarkedAt).Seconds())
			}
		}
	}
}

// countCutByEntryVM counts attempts at the entry VM whose connection broke after the stop signal, unless the VM was
// also killed or frozen before its process ended.
func (c *counter) countCutByEntryVM(d observation.Departure) {
	if d.SignalledAt.IsZero() {
		return
	}
	if stopped, ok := c.observed.Stopped[d.VM]; ok && (d.ExitedAt.IsZero() || stopped.Before(d.ExitedAt)) {
		return
	}
	for _, r := range c.observed.Requests {
		for _, a := range r.Attempts {
			if a.Address == d.Address && a.Outcome == observation.ConnectionBroken && !a.TimedOut && a.End.After(d.SignalledAt) {
				c.counts.CutByPlannedStop++
				c.addExample("cut_by_planned_stop", "entry VM %s, signalled at %s: %s", d.VM, d.SignalledAt.Format("15:04:05.000"), describe(r))
			}
		}
	}
}

// countCutByEndpoint counts attempts that failed because the endpoint that ran them was stopped.
func (c *counter) countCutByEndpoint(d observation.Departure) {
	if d.SignalledAt.IsZero() {
		return
	}
	interrupted := map[string]bool{}
	for _, list := range [][]observation.Run{c.observed.EngineRuns, c.observed.ServiceRuns} {
		for _, run := range list {
			if run.VM == d.VM && (run.EndedAt.IsZero() || run.EndedAt.After(d.SignalledAt)) && run.End != "done" && run.End != "cancelled" {
				interrupted[run.RequestID] = true
			}
		}
	}
	for _, r := range c.observed.Requests {
		for _, a := range r.Attempts {
			if interrupted[a.RequestID] && a.Outcome == "unknown" && a.End.After(d.SignalledAt) {
				c.counts.CutByPlannedStop++
				c.addExample("cut_by_planned_stop", "endpoint %s, signalled at %s: %s", d.VM, d.SignalledAt.Format("15:04:05.000"), describe(r))
			}
		}
	}
}

// countConfiguration counts readings with a lower revision than an earlier one, and accepted changes that came into
// force late.
func (c *counter) countConfiguration() {
	type routerObject struct{ router, object string }
	newest := map[routerObject]uint64{}
	routers := map[string]bool{}
	for _, r := range c.observed.Readings {
		routers[r.Router] = true
		key := routerObject{r.Router, r.Object}
		if r.Revision < newest[key] {
			c.counts.ConfigReverts++
			c.addExample("config_reverts", "%s showed %s at revision %d after %d", r.Router, r.Object, r.Revision, newest[key])
		}
		newest[key] = max(newest[key], r.Revision)
	}
	for _, a := range c.observed.Acceptances {
		limit := a.At.Add(ConfigBound + readingDelay)
		if c.observed.End.Before(limit) {
			continue
		}
		for router := range routers {
			if !c.wasStoppedBefore(router, limit) && !c.wasInForceBefore(router, a, limit) {
				c.counts.ConfigLate++
				c.addExample("config_late", "%s did not have %s at revision %d, accepted at %s, within %v", router, a.Object, a.Revision, a.At.Format("15:04:05.000"), ConfigBound)
			}
		}
	}
}

// wasInForceBefore reports whether the router showed the accepted revision, or a newer one, before the limit.
func (c *counter) wasInForceBefore(router string, a observation.Acceptance, limit time.Time) bool {
	for _, r := range c.observed.Readings {
		if r.Router == router && r.Object == a.Object && r.Revision >= a.Revision && r.At.Before(limit) {
			return true
		}
	}
	return false
}

// wasStoppedBefore reports whether the router was killed, frozen or signalled to stop before the given time.
func (c *counter) wasStoppedBefore(router string, at time.Time) bool {
	if stopped, ok := c.observed.Stopped[router]; ok && stopped.Before(at) {
		return true
	}
	for _, d := range c.observed.Departures {
		if d.VM == router && !d.SignalledAt.IsZero() && d.SignalledAt.Before(at) {
			return true
		}
	}
	return false
}
