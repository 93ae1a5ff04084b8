package allowance

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
)

const (
	// recallCheckInterval is the period at which a router that has started looks for routers to ask.
	recallCheckInterval = 50 * time.Millisecond
	// recallPause is the time between two questions to a router that doesn't answer.
	recallPause = informTimeout
	// maxRecallRouters bounds the routers that one asks after its start.
	maxRecallRouters = 16
	// maxRecalledOrganisations bounds the organisations in an answer, so that it stays under peerhttp.MaxMessageBytes.
	maxRecalledOrganisations = 20_000
)

// recall decides whom a router that has started asks for the draws that it has missed: if the store comes back from an older
// copy, those that were told may be gone by then. It does no I/O and reads no clock.
type recall struct {
	startedAt time.Time
	// askedAt holds the time of the last question to each router, and answered the routers that have answered.
	askedAt  map[string]time.Time
	answered map[string]bool
}

func newRecall(startedAt time.Time) *recall {
	return &recall{startedAt: startedAt, askedAt: map[string]time.Time{}, answered: map[string]bool{}}
}

// isOver reports whether any copy from which the store may be restored has the draws from before the start.
func (r *recall) isOver(now time.Time) bool { return now.Sub(r.startedAt) >= maxCopyAge }

// next returns the routers to ask now.
func (r *recall) next(now time.Time, routers []string) []string {
	var ask []string
	for _, name := range routers {
		askedAt, asked := r.askedAt[name]
		if r.answered[name] || asked && now.Sub(askedAt) < recallPause || !asked && len(r.askedAt) >= maxRecallRouters {
			continue
		}
		r.askedAt[name] = now
		ask = append(ask, name)
	}
	return ask
}

// recallDraws asks other routers for recent draws until they have answered, or until it isn't needed any more.
func (acc *Accounts) recallDraws(ctx context.Context) {
	ticker := time.NewTicker(recallCheckInterval)
	defer ticker.Stop()
	for {
		routers, over := acc.Peers.Routers(), false
		var ask []string
		if !acc.owner.Do(func(t *accountTable) {
			now := time.Now()
			ask, over = t.recall.next(now, routers), t.recall.isOver(now)
		}) || over {
			return
		}
		for _, name := range ask {
			go acc.recallFrom(ctx, name)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// recallFrom asks a router for recent draws and learns those of the organisations of which this router is an allocator.
func (acc *Accounts) recallFrom(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, informTimeout)
	defer cancel()
	recalled, err := acc.Peers.Recall(ctx, name)
	if err != nil {
		acc.Log.WithField("peer", name).WithError(err).Info("allowance_not_recalled")
		return
	}
	acc.owner.Post(func(t *accountTable) {
		t.recall.answered[name] = true
		learnt := 0
		for organisation, draws := range recalled {
			if slices.Contains(acc.Allocators(organisation), acc.VM) {
				t.account(organisation).recalled(time.Now(), draws)
				learnt++
			}
		}
		acc.Log.WithFields(log.Fields{"peer": name, "organisations": learnt}).Info("allowance_recalled")
	})
}

// RecentDraws returns the draws of all organisations of which this router has heard within maxCopyAge.
func (acc *Accounts) RecentDraws() map[string]Draws {
	recent := map[string]Draws{}
	acc.owner.Do(func(t *accountTable) {
		now := time.Now()
		for name, a := range t.accounts {
			if a.hasRecentDraws(now) && len(recent) < maxRecalledOrganisations {
				recent[name] = maps.Clone(a.known)
			}
		}
	})
	return recent
}

// hasRecentDraws reports whether the store may be restored from a copy that lacks draws that this router knows.
func (a *account) hasRecentDraws(now time.Time) bool {
	return len(a.known) > 0 && now.Sub(a.knownAt) < maxCopyAge
}

// recalled adds draws from before the router's start, as another router remembers them. They say nothing about what others have
// drawn before a restore, so this router still waits for these as if it knew nothing.
func (a *account) recalled(now time.Time, d Draws) {
	a.onlyRecalled = a.onlyRecalled || len(a.known) == 0
	a.learn(now, d)
}

// remembersRestore reports whether this router knew the budget before a restore of the store that it finds in the record.
func (a *account) remembersRestore() bool { return len(a.known) > 0 && !a.onlyRecalled }
