package instance

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/lavendershunt/lavendershunt/internal/counter"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxOps bounds the operations of one call to the ledger.
const maxOps = 64

// maxAttempts bounds the repeated reads of a record that others change at the same time.
const maxAttempts = 8

// Witnesses calls the witnesses of other instances.
type Witnesses interface {
	// Close closes the journal and returns its content. It returns journal.ErrNotWitness if the callee is not the
	// named witness any more.
	Close(ctx context.Context, w journal.Ref, instance string) (journal.Copy, error)
	// Forget drops the content of a closed journal.
	Forget(ctx context.Context, w journal.Ref, instance string) error
}

// ShardWriter applies operations to ledger shards; ledgerwriter.Writer implements it.
type ShardWriter interface {
	Apply(ctx context.Context, shard int, ops []budget.Op) ([]budget.Result, error)
}

// Closer closes instances. Several closers may close the same instance at the same time, and any of them may
// resume what another has begun: every step can be repeated.
type Closer struct {
	store     platform.Store
	witnesses Witnesses
	writer    ShardWriter
	shards    int
	view      member.View
	results   counter.ByLabel
}

// NewCloser returns a closer that acts for the router of the view. The number of shards is that of the stored layout.
func NewCloser(store platform.Store, witnesses Witnesses, writer ShardWriter, shards int, view member.View) *Closer {
	return &Closer{store: store, witnesses: witnesses, writer: writer, shards: shards, view: view}
}

// Close closes an instance: its record is set to closing, every named witness closes the journal, the ledger settles
// the bills and takes back the rest, and the record is deleted. It returns a *HeldError if a witness or the ledger
// does not allow it now.
//
// If some witnesses are gone for good and all others have closed the journal, nobody can acknowledge an entry any more.
// The bills that the others have are then settled, and the rest stays held until an operator releases it, because the
// witnesses that are gone may have had more. What an instance and a witness that died together can lose is what only
// that witness had acknowledged and the other one had not received yet: if it answered, of the last two round trips.
func (c *Closer) Close(ctx context.Context, instance string) error {
	return c.close(ctx, instance, false)
}

// Release closes an instance without the witnesses that do not answer. It is for operators: bills that only such a
// witness had are lost, so the budget may be spent twice to that extent.
func (c *Closer) Release(ctx context.Context, instance string) error {
	return c.close(ctx, instance, true)
}

// closeDrained closes an instance that has stopped and whose bills and transfers the ledger has. It needs no witness.
func (c *Closer) closeDrained(ctx context.Context, instance string) error {
	r, err := c.update(ctx, instance, func(r *Record) { c.setClosing(r) })
	if err != nil {
		return ignoreNotFound(err)
	}
	return c.finish(ctx, r, collected{}, false)
}

func ignoreNotFound(err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

// Results returns the number of attempts to close an instance by their result: closed, failed, or held_ and a cause.
func (c *Closer) Results() map[string]int64 { return c.results.Counts() }

func (c *Closer) count(err error) {
	var held *HeldError
	switch {
	case err == nil:
		c.results.Add("closed")
	case errors.As(err, &held):
		c.results.Add("held_" + string(held.Cause))
	default:
		c.results.Add("failed")
	}
}

func (c *Closer) close(ctx context.Context, instance string, force bool) (err error) {
	defer func() { c.count(err) }()
	r, err := c.update(ctx, instance, func(r *Record) { c.setClosing(r) })
	if err != nil {
		return ignoreNotFound(err)
	}
	return c.finish(ctx, r, c.collect(ctx, r), force)
}

// finish closes the holder if all witnesses have closed the journal or an operator forces it. If a copy is missing, the
// bills are settled by operations of their own, which can be repeated for as long as the holder is open.
func (c *Closer) finish(ctx context.Context, r Record, got collected, force bool) error {
	f, found, fenced := journal.Merge(got.copies), got.obstacle(), got.fenced()
	closing := found.text == "" || force
	if fenced && !r.Settled || closing && (r.Settled || found.text != "") {
		refused, err := c.apply(ctx, r.Instance, settleOps(r.Instance, f, c.shards))
		if err != nil {
			return err
		}
		if refused.text != "" {
			return c.hold(ctx, r, refused, false)
		}
		f.SettleOps, f.Bills = nil, nil
	}
	if closing {
		var err error
		if found, err = c.apply(ctx, r.Instance, closeOps(r.Instance, f, c.shards)); err != nil {
			return err
		}
	} else if fenced {
		found.text += "; the bills of the other witnesses are settled, an operator may release the rest"
		return c.hold(ctx, r, found, true)
	}
	if found.text != "" {
		return c.hold(ctx, r, found, false)
	}
	if err := c.remove(ctx, r.Instance); err != nil {
		return err
	}
	for _, w := range r.Witnesses {
		// What is not dropped now is dropped by Prune.
		_ = c.witnesses.Forget(ctx, w, r.Instance)
	}
	return nil
}

func (c *Closer) setClosing(r *Record) {
	if r.State != Closing {
		r.State, r.Closer = Closing, c.view.Self().Instance
	}
}

// update changes the record by conditional update and returns the result. A lost response is resolved by reading
// the record back.
func (c *Closer) update(ctx context.Context, instance string, change func(*Record)) (Record, error) {
	var last error
	for range maxAttempts {
		o, err := c.store.Get(ctx, Key(instance))
		if err != nil {
			return Record{}, fmt.Errorf("instance %s: read record: %w", instance, err)
		}
		old, err := decode(o.Value)
		if err != nil {
			return Record{}, err
		}
		r := old
		change(&r)
		value, err := r.encode()
		if err != nil {
			return Record{}, err
		}
		if r.State == old.State && r.Held == old.Held && r.Settled == old.Settled {
			return r, nil
		}
		if _, last = c.store.Put(ctx, Key(instance), value, o.Revision); last == nil {
			return r, nil
		}
		if !errors.Is(last, platform.ErrConflict) && !errors.Is(last, platform.ErrUncertain) {
			break
		}
	}
	return Record{}, fmt.Errorf("instance %s: change record: %w", instance, last)
}

// apply applies operations by shard. The operations have the same ids for every closer, and the journals are closed,
// so every closer sends the same content.
func (c *Closer) apply(ctx context.Context, instance string, ops [][]budget.Op) (obstacle, error) {
	for shard := range ops {
		for batch := range slices.Chunk(ops[shard], maxOps) {
			results, err := c.writer.Apply(ctx, shard, batch)
			if err != nil {
				return obstacle{}, fmt.Errorf("instance %s: close in shard %d: %w", instance, shard, err)
			}
			if reason := refused(batch, results); reason != "" {
				return obstacle{LedgerRefuses, fmt.Sprintf("ledger shard %d refuses the closing: %s", shard, reason)}, nil
			}
		}
	}
	return obstacle{}, nil
}

func refused(ops []budget.Op, results []budget.Result) string {
	if len(results) != len(ops) {
		return fmt.Sprintf("%d results for %d operations", len(results), len(ops))
	}
	for i, r := range results {
		if ops[i].Kind == budget.OpTransfer {
			// The closing itself applies the transfers again and tells if one is missing.
			continue
		}
		switch r.Code {
		case budget.CodeOK, budget.CodeHolderClosed:
		case budget.CodeStale:
			// Settle operations reach the ledger in order, so an outdated one was applied.
		default:
			return fmt.Sprintf("%s %s: %s %s", ops[i].Kind, ops[i].ID, r.Code, r.Message)
		}
	}
	return ""
}

// hold records why the closing does not go on, and whether the bills that are known are settled.
func (c *Closer) hold(ctx context.Context, r Record, found obstacle, settled bool) error {
	held := &HeldError{Instance: r.Instance, Reason: found.text, Cause: found.cause}
	settled = settled || r.Settled
	if r.Held == found.text && r.Settled == settled {
		return held
	}
	if _, err := c.update(ctx, r.Instance, func(r *Record) { r.Held, r.Settled = found.text, settled }); err != nil {
		return errors.Join(held, err)
	}
	return held
}

// remove deletes the record of a closed instance.
func (c *Closer) remove(ctx context.Context, instance string) error {
	var last error
	for range maxAttempts {
		o, err := c.store.Get(ctx, Key(instance))
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("instance %s: read record: %w", instance, err)
		}
		last = c.store.Delete(ctx, Key(instance), o.Revision)
		if last == nil || errors.Is(last, platform.ErrNotFound) {
			return nil
		}
		if !errors.Is(last, platform.ErrConflict) && !errors.Is(last, platform.ErrUncertain) {
			break
		}
	}
	return fmt.Errorf("instance %s: delete record: %w", instance, last)
}
