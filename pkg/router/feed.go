package router

import (
	"context"
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// retryInterval is the pause after a failed platform call.
const retryInterval = 500 * time.Millisecond

// vmList holds the last received VM list.
type vmList struct {
	mu   sync.Mutex
	list admin.VMList
}

func (v *vmList) get() admin.VMList {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list
}

func (v *vmList) set(list admin.VMList) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = list
}

// pollVMs reads the platform's VM list periodically and passes it to the endpoint table.
func (r *Router) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := r.platform.VMs(ctx)
		if err == nil {
			r.vms.set(admin.VMList{VMs: vms, Read: time.Now()})
			r.selector.UpdateVMs(vms)
		} else {
			r.log.WithError(err).Debug("VM list not read")
		}
		sleep(ctx, r.settings.Intervals.VMList.Std())
	}
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
