package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/withdraw"
)

const (
	// returnTry bounds one try to give grants back.
	returnTry = 5 * time.Second
	// returnTimeout is the time after which a router without requests stops although the platform did not take its
	// grants back. Other routers close its instance then.
	returnTimeout = 30 * time.Second
	markInterval  = time.Second
)

// drain is what a withdrawal does with this router.
type drain struct {
	router *Router
	// returned is set when the grants were given back.
	returned atomic.Bool
	// idleSince is the time since which no request has been in progress, in ns; 0 while there is one.
	idleSince atomic.Int64
}

var _ withdraw.Router = (*drain)(nil)

// Announce implements withdraw.Router.
func (d *drain) Announce(ctx context.Context, leaving bool) error {
	if leaving {
		return d.router.members.Leave(ctx)
	}
	return d.router.members.CancelLeave(ctx)
}

// ReturnGrants implements withdraw.Router. Grants are needed until the last request has ended.
func (d *drain) ReturnGrants(ctx context.Context) error {
	if d.router.gateway.InProgress() > 0 {
		d.idleSince.Store(0)
		return nil
	}
	d.idleSince.CompareAndSwap(0, time.Now().UnixNano())
	if d.returned.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, returnTry)
	defer cancel()
	if err := d.router.accounting.stop(ctx); err != nil {
		return err
	}
	d.returned.Store(true)
	return nil
}

// Pending implements withdraw.Router.
func (d *drain) Pending() []withdraw.PendingWork {
	if n := d.router.gateway.InProgress(); n > 0 {
		return []withdraw.PendingWork{{Name: "requests in progress", Count: n, Remaining: -1}}
	}
	if d.returned.Load() || d.gaveUp() {
		return nil
	}
	return []withdraw.PendingWork{{Name: "sets of grants to be returned", Count: 1, Remaining: -1}}
}

// gaveUp reports whether the platform had its time to take the grants back.
func (d *drain) gaveUp() bool {
	since := d.idleSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > returnTimeout
}

// watchOwnVM begins the withdrawal when an operator or the platform marks this VM as leaving, and ends it when the mark
// is taken back.
func (r *Router) watchOwnVM(ctx context.Context) {
	ticker := time.NewTicker(markInterval)
	defer ticker.Stop()
	marked := false
	for {
		changed := r.config.Changed()
		deadline, leaving := r.ownMark()
		switch {
		case leaving && !marked:
			r.withdrawal.Begin(deadline)
		case !leaving && marked && !r.stopping.Load():
			r.withdrawal.Cancel()
		}
		marked = leaving
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// ownMark returns whether this VM is leaving, and by when.
func (r *Router) ownMark() (deadline time.Time, leaving bool) {
	if mark, ok := r.config.Mark(r.self.VM); ok && mark.Leaving {
		leaving = true
		if mark.Deadline != nil {
			deadline = *mark.Deadline
		}
	}
	for _, vm := range r.vms.Current().VMs {
		if vm.Name == r.self.VM && vm.State == platform.VMLeaving {
			leaving = true
			if vm.Deadline != nil && (deadline.IsZero() || vm.Deadline.Before(deadline)) {
				deadline = *vm.Deadline
			}
		}
	}
	return deadline, leaving
}

// drains returns the progress of this router's withdrawal for the admin API.
func (r *Router) drains() []withdraw.Progress {
	progress, leaving := r.withdrawal.Progress()
	if !leaving {
		return nil
	}
	return []withdraw.Progress{progress}
}
