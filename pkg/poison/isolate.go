package poison

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// reserveTimeout is the timeout of a call to the owner of a key.
const reserveTimeout = 500 * time.Millisecond

// Isolate reserves the fingerprint and the VM for one run of a suspect: no other run of the fingerprint and no other
// suspect at the VM may be in progress anywhere in the fleet. It returns ok false if there is one or if the request has
// been stopped; the caller must then call Status again before it tries another endpoint or waits. If ok is true,
// release must be called when the run has ended, after ReportCrash or ReportCompleted.
//
// A VM that has crashed gets no suspect until it has served another request or maxDownTime has passed, so that the
// suspect is not held responsible for a VM that is still down.
//
// Each reservation is granted by the owner of its key, which rendezvous hashing determines. If the owner can't be
// reached, this router decides from the reservations that it has granted itself, so that the failure of a router does
// not block suspects; two suspects may then run at the same VM.
func (g *Guard) Isolate(ctx context.Context, f Fingerprint, vm string) (release func(), ok bool) {
	if g.crashedVMs.isDown(time.Now(), vm) {
		return nil, false
	}
	a := Attempt{Holder: g.view.Self().Instance}
	if !g.do(func(time.Time) { g.lastAttempt++; a.Number = g.lastAttempt }) {
		return nil, false
	}
	releaseRequest, ok := g.reserve(ctx, requestKey(f), a)
	if !ok {
		return nil, false
	}
	releaseVM, ok := g.reserve(ctx, "vm/"+vm, a)
	if !ok {
		releaseRequest()
		return nil, false
	}
	release = func() { releaseVM(); releaseRequest() }
	// The previous holder may have reported another crash before it released the reservations.
	if g.Status(f) == Stopped {
		release()
		return nil, false
	}
	return release, true
}

func requestKey(f Fingerprint) string {
	return "request/" + strconv.FormatUint(f.BodyHash, 16) + "/" + f.Organisation
}

// reserve asks the owner of the key for a reservation. release must be called if ok is true.
func (g *Guard) reserve(ctx context.Context, key string, a Attempt) (release func(), ok bool) {
	owner := g.owner(key)
	if owner.Instance == a.Holder {
		return func() { g.Revoke(key, a) }, g.Grant(key, a)
	}
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	granted, err := g.peers.Reserve(callCtx, owner, key, a)
	if err != nil {
		granted = g.Grant(key, a)
	}
	return func() {
		g.Revoke(key, a)
		// The call does not use the caller's context, which may have ended with the request. If it fails, the
		// reservation expires.
		releaseCtx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		defer cancel()
		_ = g.peers.Release(releaseCtx, owner, key, a)
	}, granted
}

// owner returns the member that grants reservations of the key: the first alive member in the key's rendezvous ranking,
// or this router if no member is alive.
func (g *Guard) owner(key string) member.Member {
	members := g.view.Members()
	var ids []string
	for _, m := range members {
		if m.State == member.Alive {
			ids = append(ids, m.Instance)
		}
	}
	if len(ids) == 0 {
		return g.view.Self()
	}
	first := rendezvous.Rank(key, ids)[0]
	return members[slices.IndexFunc(members, func(m member.Member) bool { return m.Instance == first })]
}
