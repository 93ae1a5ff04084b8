package poison

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// reserveTimeout bounds a call to the owner of a key.
const reserveTimeout = 500 * time.Millisecond

// Isolate asks for the right to run the suspect at the VM: no other run of the fingerprint and no other suspect at the
// VM may be in progress anywhere in the fleet. It returns ok false if there is one; the caller then tries another
// endpoint or waits, after looking at Status again. release must be called when the run has ended, after ReportCrash or
// ReportCompleted.
//
// A VM that has crashed gets no suspect before it has served another request, so that the suspect is not blamed for a
// VM that is still dead.
//
// Each right is granted by the member that the rendezvous hash gives for it. If that member can't be reached, this
// router decides by what it has granted itself, so that a suspect is not refused for the failure of a router; two
// suspects may then meet.
func (g *Guard) Isolate(ctx context.Context, f Fingerprint, vm string) (release func(), ok bool) {
	if g.vms.deadAt(time.Now(), vm) {
		return nil, false
	}
	a := Attempt{Holder: g.view.Self().Instance}
	if !g.do(func(time.Time) { g.attempts++; a.Number = g.attempts }) {
		return nil, false
	}
	undoRequest, ok := g.reserve(ctx, requestKey(f), a)
	if !ok {
		return nil, false
	}
	undoVM, ok := g.reserve(ctx, "vm/"+vm, a)
	if !ok {
		undoRequest()
		return nil, false
	}
	release = func() { undoVM(); undoRequest() }
	// The former holder may have crashed an endpoint before it released the rights.
	if g.Status(f) == Stopped {
		release()
		return nil, false
	}
	return release, true
}

func requestKey(f Fingerprint) string {
	return "request/" + strconv.FormatUint(f.BodyHash, 16) + "/" + f.Organisation
}

func (g *Guard) reserve(ctx context.Context, key string, a Attempt) (undo func(), ok bool) {
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
		// The release is not tied to the caller's context, which may have ended with the request. If it is lost, the
		// reservation expires.
		releaseCtx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		defer cancel()
		_ = g.peers.Release(releaseCtx, owner, key, a)
	}, granted
}

// owner returns the member that grants the key.
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
