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
	// pushTimeout is the longest time for which a caller waits for a router that does not respond.
	pushTimeout = time.Second
	// maxParallelPushes is the largest number of calls in progress; 370 members are reached in 6 rounds.
	maxParallelPushes = 64
)

// push sends the records to the members and returns when each has responded or timed out. Members that were not
// reached are sent all records later, by maintain.
func (g *Guard) push(ctx context.Context, to []member.Member, records []Record) {
	if len(records) == 0 {
		return
	}
	var mu sync.Mutex
	var unreached []string
	workers := pool.New().WithMaxGoroutines(maxParallelPushes)
	for _, m := range to {
		workers.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			if err := g.peers.SendRecords(callCtx, m, records); err != nil {
				mu.Lock()
				unreached = append(unreached, m.Instance)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	g.do(func(time.Time) {
		for _, instance := range unreached {
			g.needsPush[instance] = true
		}
	})
}

// maintain expires records and reservations, and sends all records to the members that are new or in needsPush, in the
// background. pushSlot limits this to one push at a time; if one is in progress, the members wait for the next call.
func (g *Guard) maintain(ctx context.Context, now time.Time, pushes *conc.WaitGroup, pushSlot chan struct{}) {
	g.records.Expire(now)
	g.crashedVMs.expire(now)
	failed := map[string]bool{}
	present := map[string]bool{}
	for _, m := range g.view.Members() {
		present[m.Instance] = true
		failed[m.Instance] = m.State == member.Failed
	}
	g.reservations.expire(now, func(holder string) bool { return failed[holder] })
	var targets []member.Member
	for _, m := range g.otherMembers() {
		if (g.needsPush[m.Instance] || !g.pushedOnce[m.Instance]) && m.State != member.Unreachable {
			targets = append(targets, m)
		}
	}
	g.removeNonMembers(present)
	if len(targets) == 0 {
		return
	}
	select {
	case pushSlot <- struct{}{}:
	default:
		return
	}
	for _, m := range targets {
		g.pushedOnce[m.Instance] = true
		delete(g.needsPush, m.Instance)
	}
	records := g.records.Records()
	pushes.Go(func() {
		defer func() { <-pushSlot }()
		g.push(ctx, targets, records)
	})
}

// removeNonMembers removes the instances that are no longer members from needsPush and pushedOnce.
func (g *Guard) removeNonMembers(present map[string]bool) {
	for _, set := range []map[string]bool{g.needsPush, g.pushedOnce} {
		for instance := range set {
			if !present[instance] {
				delete(set, instance)
			}
		}
	}
}
