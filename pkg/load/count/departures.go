package count

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

func (c *counter) departures() {
	for _, d := range c.e.Departures {
		if d.Entry {
			c.cutAtEntry(d)
			continue
		}
		c.lateWork(d)
		c.cutAtEndpoint(d)
	}
}

// lateWork counts runs that an endpoint took later than the bound after its mark.
func (c *counter) lateWork(d observation.Departure) {
	limit := d.Marked.Add(LeavingBound)
	for _, list := range [][]observation.Run{c.e.EngineRuns, c.e.ServiceRuns} {
		for _, run := range list {
			if run.VM == d.VM && run.Queued.After(limit) && (d.Cancelled.IsZero() || run.Queued.Before(d.Cancelled)) {
				c.counts.WorkAfterLeaving++
				c.example("work_after_leaving", "%s took request %s %.2f s after it was marked as leaving", d.VM, run.RequestID, run.Queued.Sub(d.Marked).Seconds())
			}
		}
	}
}

// cutAtEntry counts attempts at an entry VM whose connection ended between the stop signal and the end of the process.
func (c *counter) cutAtEntry(d observation.Departure) {
	if d.Signalled.IsZero() {
		return
	}
	if stopped, ok := c.e.Stopped[d.VM]; ok && (d.Exited.IsZero() || stopped.Before(d.Exited)) {
		return
	}
	for _, r := range c.e.Requests {
		for _, a := range r.Attempts {
			if a.Address == d.Address && a.Outcome == observation.ConnectionBroken && !a.TimedOut && a.End.After(d.Signalled) {
				c.counts.CutByPlannedStop++
				c.example("cut_by_planned_stop", "entry VM %s, signalled at %s: %s", d.VM, d.Signalled.Format("15:04:05.000"), describe(r))
			}
		}
	}
}

// cutAtEndpoint counts attempts that failed because the endpoint that ran them was stopped.
func (c *counter) cutAtEndpoint(d observation.Departure) {
	if d.Signalled.IsZero() {
		return
	}
	cut := map[string]bool{}
	for _, list := range [][]observation.Run{c.e.EngineRuns, c.e.ServiceRuns} {
		for _, run := range list {
			if run.VM == d.VM && (run.Ended.IsZero() || run.Ended.After(d.Signalled)) && run.End != "done" && run.End != "cancelled" {
				cut[run.RequestID] = true
			}
		}
	}
	for _, r := range c.e.Requests {
		for _, a := range r.Attempts {
			if cut[a.RequestID] && a.Outcome == "unknown" && a.End.After(d.Signalled) {
				c.counts.CutByPlannedStop++
				c.example("cut_by_planned_stop", "endpoint %s, signalled at %s: %s", d.VM, d.Signalled.Format("15:04:05.000"), describe(r))
			}
		}
	}
}

// configuration counts readings that went back and accepted changes that came into force late.
func (c *counter) configuration() {
	type place struct{ router, object string }
	newest := map[place]uint64{}
	routers := map[string]bool{}
	for _, r := range c.e.Readings {
		routers[r.Router] = true
		p := place{r.Router, r.Object}
		if r.Revision < newest[p] {
			c.counts.ConfigReverts++
			c.example("config_reverts", "%s showed %s at revision %d after %d", r.Router, r.Object, r.Revision, newest[p])
		}
		newest[p] = max(newest[p], r.Revision)
	}
	for _, a := range c.e.Acceptances {
		limit := a.At.Add(ConfigBound + readingSlack)
		if c.e.End.Before(limit) {
			continue
		}
		for router := range routers {
			if !c.gone(router, limit) && !c.inForce(router, a, limit) {
				c.counts.ConfigLate++
				c.example("config_late", "%s did not have %s at revision %d, accepted at %s, within %v", router, a.Object, a.Revision, a.At.Format("15:04:05.000"), ConfigBound)
			}
		}
	}
}

func (c *counter) inForce(router string, a observation.Acceptance, limit time.Time) bool {
	for _, r := range c.e.Readings {
		if r.Router == router && r.Object == a.Object && r.Revision >= a.Revision && r.At.Before(limit) {
			return true
		}
	}
	return false
}

// gone reports whether the router was stopped in any way before the time.
func (c *counter) gone(router string, at time.Time) bool {
	if stopped, ok := c.e.Stopped[router]; ok && stopped.Before(at) {
		return true
	}
	for _, d := range c.e.Departures {
		if d.VM == router && !d.Signalled.IsZero() && d.Signalled.Before(at) {
			return true
		}
	}
	return false
}
