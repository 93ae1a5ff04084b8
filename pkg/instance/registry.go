package instance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// retryInterval is the time between two attempts to change a record.
const retryInterval = 200 * time.Millisecond

// Registry creates and changes the instance records of this router. It implements journal.Registrar.
type Registry struct {
	store      platform.Store
	view       member.View
	scopes     []Scope
	lastNumber atomic.Uint64
}

var _ journal.Registrar = (*Registry)(nil)

// NewRegistry returns a registry for the router of the view. An empty list of scopes stands for DefaultScopes.
func NewRegistry(store platform.Store, view member.View, scopes []Scope) *Registry {
	if len(scopes) == 0 {
		scopes = DefaultScopes
	}
	return &Registry{store: store, view: view, scopes: scopes}
}

// Register implements journal.Registrar.
func (g *Registry) Register(ctx context.Context) (journal.Registration, error) {
	self := g.view.Self()
	id := fmt.Sprintf("%s.%d", self.Instance, g.lastNumber.Add(1))
	r := Record{
		Instance: id, Router: self.Instance, VM: self.VM, Region: self.Region, Zone: self.Zone, State: Open,
		Witnesses: Choose(g.view, id, g.scopes, nil),
	}
	value, err := r.encode()
	if err != nil {
		return journal.Registration{}, err
	}
	if _, err = g.store.Put(ctx, Key(id), value, 0); err != nil && !g.tookEffect(ctx, id, value, err) {
		return journal.Registration{}, fmt.Errorf("instance %s: register: %w", id, err)
	}
	return journal.Registration{Instance: id, Witnesses: r.Witnesses}, nil
}

// tookEffect reports whether a write whose response was lost took effect. Otherwise the id is not used: if the write
// takes effect later, it leaves a record without grants, which is closed like that of a failed instance.
func (g *Registry) tookEffect(ctx context.Context, id string, value []byte, err error) bool {
	if !errors.Is(err, platform.ErrUncertain) {
		return false
	}
	o, err := g.store.Get(ctx, Key(id))
	return err == nil && bytes.Equal(o.Value, value)
}

// ChangeWitnesses implements journal.Registrar.
func (g *Registry) ChangeWitnesses(ctx context.Context, instance string, witnesses []journal.Ref) (changed, closed bool, err error) {
	uncertain := false
	for {
		done, changed, closed, err := g.tryChangeWitnesses(ctx, instance, witnesses, &uncertain)
		if done {
			return changed, closed, nil
		}
		select {
		case <-ctx.Done():
			return false, false, fmt.Errorf("instance %s: change of witnesses: %w", instance, errors.Join(ctx.Err(), err))
		case <-time.After(retryInterval):
		}
	}
}

// tryChangeWitnesses makes one attempt; done means that no other attempt is needed. Once the outcome of a write is
// uncertain, only a later read or write that succeeds can establish it, so an error does not end the attempts.
func (g *Registry) tryChangeWitnesses(ctx context.Context, instance string, witnesses []journal.Ref, uncertain *bool) (done, changed, closed bool, err error) {
	o, err := g.store.Get(ctx, Key(instance))
	if errors.Is(err, platform.ErrNotFound) {
		return true, false, true, nil
	}
	if err != nil {
		return !*uncertain, false, false, err
	}
	r, err := decode(o.Value)
	if err != nil {
		return false, false, false, err
	}
	if r.State != Open {
		return true, false, true, nil
	}
	if equalWitnesses(r.Witnesses, witnesses) {
		return true, true, false, nil
	}
	r.Witnesses = witnesses
	value, err := r.encode()
	if err != nil {
		return false, false, false, err
	}
	_, err = g.store.Put(ctx, Key(instance), value, o.Revision)
	switch {
	case err == nil:
		return true, true, false, nil
	case errors.Is(err, platform.ErrUncertain):
		*uncertain = true
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
	default:
		return !*uncertain, false, false, err
	}
	return false, false, false, err
}
