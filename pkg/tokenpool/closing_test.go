package tokenpool

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// verdict decides what becomes of one call of a closer.
type verdict int

const (
	succeed verdict = iota
	// refuse fails the call before it takes effect.
	refuse
	// loseAnswer fails the call after it took effect.
	loseAnswer
)

// closing is a closer that the test runs call by call. Only one goroutine runs at a time.
type closing struct {
	w        *world
	node     *node
	instance string
	next     chan verdict
	parked   chan bool
	to       string
	ended    bool
	err      error
}

// startClosing starts a closer on a VM; it waits before its first call.
func (w *world) startClosing(vm, id string) *closing {
	c := &closing{w: w, node: w.nodes[vm], instance: id, next: make(chan verdict), parked: make(chan bool)}
	w.closers = append(w.closers, c)
	go func() {
		c.err = instance.NewCloser(closingStore{c}, closingWitnesses{c}, closingWriter{c}, 1, closingView{c}).Close(context.Background(), id)
		c.ended = true
		c.parked <- true
	}()
	<-c.parked
	return c
}

// wait lets the test decide about the next call to a VM or the platform.
func (c *closing) wait(to string) verdict {
	c.to = to
	c.parked <- true
	return <-c.next
}

// step runs the next call of the closer.
func (c *closing) step(v verdict) {
	if c.ended || c.node.frozen {
		return
	}
	if c.node.dead || c.w.cut[link(c.node.vm, c.to)] || c.to != platformVM && (c.w.nodes[c.to].frozen || c.w.nodes[c.to].dead) {
		v = refuse
	}
	c.next <- v
	<-c.parked
}

// finish runs the closer to its end with the same verdict for all calls.
func (c *closing) finish(v verdict) error {
	for !c.ended {
		c.node.frozen = false
		c.step(v)
	}
	return c.err
}

// closingView is the membership view of the closer: the newest process of each VM.
type closingView struct{ *closing }

func (v closingView) Self() member.Member {
	return member.Member{Instance: v.node.router, VM: v.node.vm}
}

func (v closingView) Members() []member.Member {
	var out []member.Member
	for _, vm := range v.w.vms {
		out = append(out, member.Member{Instance: v.w.nodes[vm].router, VM: vm, State: member.Alive})
	}
	return out
}

type closingStore struct{ *closing }

func (s closingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if s.wait(platformVM) != succeed {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.w.store.Get(ctx, key)
}

func (s closingStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	v := s.wait(platformVM)
	if v == refuse {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, err := s.w.store.Put(ctx, key, value, ifRevision)
	if v == loseAnswer {
		return platform.Object{}, platform.ErrUncertain
	}
	return o, err
}

func (s closingStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	v := s.wait(platformVM)
	if v == refuse {
		return platform.ErrUnavailable
	}
	err := s.w.store.Delete(ctx, key, ifRevision)
	if v == loseAnswer {
		return platform.ErrUncertain
	}
	return err
}

func (s closingStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	return s.w.store.List(ctx, prefix)
}

func (s closingStore) Poll(context.Context, string, uint64, time.Duration) ([]platform.Object, uint64, error) {
	return nil, 0, platform.ErrUnavailable
}

func (s closingStore) VMs(context.Context) ([]platform.VM, error) {
	return nil, platform.ErrUnavailable
}

type closingWitnesses struct{ *closing }

func (c closingWitnesses) Close(_ context.Context, ref journal.Ref, id string) (journal.Copy, error) {
	v := c.wait(ref.Address)
	if v == refuse {
		return journal.Copy{}, journal.ErrUnreachable
	}
	content, ok := c.w.nodes[ref.Address].copies.Close(id, ref.Router)
	c.w.log("close %s at %s: %+v %v", id, ref.Router, content, ok)
	if v == loseAnswer {
		return journal.Copy{}, journal.ErrUnreachable
	}
	if !ok {
		return journal.Copy{}, journal.ErrNotWitness
	}
	return content, nil
}

func (c closingWitnesses) Forget(_ context.Context, ref journal.Ref, id string) error {
	if c.wait(ref.Address) != refuse {
		c.w.nodes[ref.Address].copies.Forget(id, ref.Router)
	}
	return nil
}

type closingWriter struct{ *closing }

func (c closingWriter) Apply(_ context.Context, _ int, ops []budget.Op) ([]budget.Result, error) {
	v := c.wait(platformVM)
	if v == refuse {
		return nil, platform.ErrUnavailable
	}
	results := c.w.apply(ops)
	if v == loseAnswer {
		return nil, platform.ErrUncertain
	}
	return results, nil
}
