package poison

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/lavendershunt/lavendershunt/pkg/member"
)

const (
	// pushTimeout bounds how long a caller waits for a router that does not answer.
	pushTimeout = time.Second
	// pushParallel bounds the calls in progress; 370 members are reached in 6 rounds.
	pushParallel = 64
)

// push sends the records to the members and returns when each has answered or timed out. Members that were not
// reached get all records later.
func (g *Guard) push(ctx context.Context, to []member.Member, records []Record) {
	if len(records) == 0 {
		return
	}
	var mu sync.Mutex
	var missed []string
	workers := pool.New().WithMaxGoroutines(pushParallel)
	for _, m := range to {
		workers.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			if err := g.peers.SendRecords(callCtx, m, records); err != nil {
				mu.Lock()
				missed = append(missed, m.Instance)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	g.do(func(time.Time) {
		for _, instance := range missed {
			g.behind[instance] = true
		}
	})
}

// maintain expires records and reservations and sends all records to the members that are behind, one push at a
// time.
func (g *Guard) maintain(ctx context.Context, now time.Time, pushes *conc.WaitGroup, sending chan struct{}) {
	g.records.Expire(now)
	g.vms.expire(now)
	failed := map[string]bool{}
	present := map[string]bool{}
	for _, m := range g.view.Members() {
		present[m.Instance] = true
		failed[m.Instance] = m.State == member.Failed
	}
	g.reserved.expire(now, func(holder string) bool { return failed[holder] })
	var targets []member.Member
	for _, m := range g.others() {
		if (g.behind[m.Instance] || !g.known[m.Instance]) && m.State != member.Unreachable {
			targets = append(targets, m)
		}
	}
	g.forget(present)
	if len(targets) == 0 {
		return
	}
	select {
	case sending <- struct{}{}:
	default:
		return
	}
	for _, m := range targets {
		g.known[m.Instance] = true
		delete(g.behind, m.Instance)
	}
	records := g.records.Records()
	pushes.Go(func() {
		defer func() { <-sending }()
		g.push(ctx, targets, records)
	})
}

// forget drops the instances that are no longer members.
func (g *Guard) forget(present map[string]bool) {
	for _, set := range []map[string]bool{g.behind, g.known} {
		for instance := range set {
			if !present[instance] {
				delete(set, instance)
			}
		}
	}
}
