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

// callResult is the outcome that the test chooses for one call of a closer.
type callResult int

const (
	succeed callResult = iota
	// refuse fails the call before it takes effect.
	refuse
	// loseAnswer fails the call after it has taken effect.
	loseAnswer
)

// closerRun is a run of a closer that the test advances call by call. Either the test or the closer runs at a time,
// never both.
type closerRun struct {
	fleet    *fleet
	node     *node
	instance string
	results  chan callResult
	paused   chan bool
	target   string
	ended    bool
	err      error
}

// startCloser starts closing an instance from a VM. The closer pauses before its first call.
func (f *fleet) startCloser(vm, id string) *closerRun {
	c := &closerRun{fleet: f, node: f.nodes[vm], instance: id, results: make(chan callResult), paused: make(chan bool)}
	f.closers = append(f.closers, c)
	go func() {
		c.err = instance.NewCloser(closerStore{c}, closerWitnesses{c}, closerWriter{c}, 1, closerView{c}).Close(context.Background(), id)
		c.ended = true
		c.paused <- true
	}()
	<-c.paused
	return c
}

// waitForResult pauses the closer before a call to a VM or the platform until the test has chosen the result.
func (c *closerRun) waitForResult(target string) callResult {
	c.target = target
	c.paused <- true
	return <-c.results
}

// step runs the next call of the closer with the given result, or with refuse if the target can't be reached.
func (c *closerRun) step(v callResult) {
	if c.ended || c.node.frozen {
		return
	}
	if c.node.crashed || c.fleet.cutLinks[linkKey(c.node.vm, c.target)] || c.target != platformVM && (c.fleet.nodes[c.target].frozen || c.fleet.nodes[c.target].crashed) {
		v = refuse
	}
	c.results <- v
	<-c.paused
}

// finish runs the closer to its end with the same result for all calls.
func (c *closerRun) finish(v callResult) error {
	for !c.ended {
		c.node.frozen = false
		c.step(v)
	}
	return c.err
}

// closerView is the membership view of the closer: the latest process of each VM.
type closerView struct{ *closerRun }

func (v closerView) Self() member.Member {
	return member.Member{Instance: v.node.router, VM: v.node.vm}
}

func (v closerView) Members() []member.Member {
	var out []member.Member
	for _, vm := range v.fleet.vms {
		out = append(out, member.Member{Instance: v.fleet.nodes[vm].router, VM: vm, State: member.Alive})
	}
	return out
}

type closerStore struct{ *closerRun }

func (s closerStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if s.waitForResult(platformVM) != succeed {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.fleet.store.Get(ctx, key)
}

func (s closerStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	v := s.waitForResult(platformVM)
	if v == refuse {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, err := s.fleet.store.Put(ctx, key, value, ifRevision)
	if v == loseAnswer {
		return platform.Object{}, platform.ErrUncertain
	}
	return o, err
}

func (s closerStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	v := s.waitForResult(platformVM)
	if v == refuse {
		return platform.ErrUnavailable
	}
	err := s.fleet.store.Delete(ctx, key, ifRevision)
	if v == loseAnswer {
		return platform.ErrUncertain
	}
	return err
}

func (s closerStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	return s.fleet.store.List(ctx, prefix)
}

func (s closerStore) Poll(context.Context, string, uint64, time.Duration) ([]platform.Object, uint64, error) {
	return nil, 0, platform.ErrUnavailable
}

func (s closerStore) VMs(context.Context) ([]platform.VM, error) {
	return nil, platform.ErrUnavailable
}

type closerWitnesses struct{ *closerRun }

func (c closerWitnesses) Close(_ context.Context, ref journal.Ref, id string) (journal.Copy, error) {
	v := c.waitForResult(ref.Address)
	if v == refuse {
		return journal.Copy{}, journal.ErrUnreachable
	}
	content, ok := c.fleet.nodes[ref.Address].copies.Close(id, ref.Router)
	c.fleet.log("close %s at %s: %+v %v", id, ref.Router, content, ok)
	if v == loseAnswer {
		return journal.Copy{}, journal.ErrUnreachable
	}
	if !ok {
		return journal.Copy{}, journal.ErrNotWitness
	}
	return content, nil
}

func (c closerWitnesses) Forget(_ context.Context, ref journal.Ref, id string) error {
	if c.waitForResult(ref.Address) != refuse {
		c.fleet.nodes[ref.Address].copies.Forget(id, ref.Router)
	}
	return nil
}

type closerWriter struct{ *closerRun }

func (c closerWriter) Apply(_ context.Context, _ int, ops []budget.Op) ([]budget.Result, error) {
	v := c.waitForResult(platformVM)
	if v == refuse {
		return nil, platform.ErrUnavailable
	}
	results := c.fleet.apply(ops)
	if v == loseAnswer {
		return nil, platform.ErrUncertain
	}
	return results, nil
}
