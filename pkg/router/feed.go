package router

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// retryInterval is the pause after a failed platform call.
const retryInterval = 500 * time.Millisecond

// vmList returns the newest VM list for the admin API.
func (r *Router) vmList() admin.VMList {
	list := r.vms.Current()
	return admin.VMList{VMs: list.VMs, Read: list.Read}
}

// watchConfig keeps the configuration up to date from the platform.
func (r *Router) watchConfig(ctx context.Context) {
	watcher := config.NewWatcher(r.config, r.platform, r.settings.Intervals.Watch.Std())
	for ctx.Err() == nil {
		changes, err := watcher.Step(ctx)
		if err != nil {
			r.log.WithError(err).Debug("configuration watch failed")
			sleep(ctx, retryInterval)
			continue
		}
		if len(changes) > 0 {
			r.selector.MarksChanged()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
