package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/withdraw"
)

const (
	// returnAttemptTimeout bounds one attempt to return grants.
	returnAttemptTimeout = 5 * time.Second
	// returnTimeout is the time after which a router without requests stops even if it could not return its grants to
	// the platform. Other routers then close its instance.
	returnTimeout     = 30 * time.Second
	markCheckInterval = time.Second
)

// drainer implements withdraw.Router for this router.
type drainer struct {
	router *Router
	// grantsReturned is set after the grants have been returned.
	grantsReturned atomic.Bool
	// idleSinceNS is the Unix time in ns since which no request has been in progress; 0 while there is one.
	idleSinceNS atomic.Int64
}

var _ withdraw.Router = (*drainer)(nil)

// Announce implements withdraw.Router.
func (d *drainer) Announce(ctx context.Context, leaving bool) error {
	if leaving {
		return d.router.members.Leave(ctx)
	}
	return d.router.members.CancelLeave(ctx)
}

// ReturnGrants implements withdraw.Router. It does nothing while requests are in progress, because they need the
// grants.
func (d *drainer) ReturnGrants(ctx context.Context) error {
	if d.router.gateway.InProgress() > 0 {
		d.idleSinceNS.Store(0)
		return nil
	}
	d.idleSinceNS.CompareAndSwap(0, time.Now().UnixNano())
	if d.grantsReturned.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, returnAttemptTimeout)
	defer cancel()
	if err := d.router.accounting.returnGrants(ctx); err != nil {
		return err
	}
	d.grantsReturned.Store(true)
	return nil
}

// Pending implements withdraw.Router.
func (d *drainer) Pending() []withdraw.PendingWork {
	if n := d.router.gateway.InProgress(); n > 0 {
		return []withdraw.PendingWork{{Name: "requests in progress", Count: n, Remaining: -1}}
	}
	if d.grantsReturned.Load() || d.returnTimedOut() {
		return nil
	}
	return []withdraw.PendingWork{{Name: "sets of grants to be returned", Count: 1, Remaining: -1}}
}

// returnTimedOut reports whether the router has been idle for longer than returnTimeout.
func (d *drainer) returnTimedOut() bool {
	since := d.idleSinceNS.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > returnTimeout
}

// watchOwnVM begins the withdrawal when an operator or the platform marks this VM as leaving, and cancels it when the
// mark is removed, unless the process is stopping.
func (r *Router) watchOwnVM(ctx context.Context) {
	ticker := time.NewTicker(markCheckInterval)
	defer ticker.Stop()
	wasLeaving := false
	for {
		changed := r.config.Changed()
		deadline, leaving := r.ownLeavingMark()
		switch {
		case leaving && !wasLeaving:
			r.withdrawal.Begin(deadline)
		case !leaving && wasLeaving && !r.stopping.Load():
			r.withdrawal.Cancel()
		}
		wasLeaving = leaving
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// ownLeavingMark reports whether an operator or the platform has marked this VM as leaving, and the earliest
// deadline; the zero time if there is none.
func (r *Router) ownLeavingMark() (deadline time.Time, leaving bool) {
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

// withdrawalProgress returns the progress of this router's withdrawal for the admin API; nil if there is no withdrawal.
func (r *Router) withdrawalProgress() []withdraw.Progress {
	progress, leaving := r.withdrawal.Progress()
	if !leaving {
		return nil
	}
	return []withdraw.Progress{progress}
}
