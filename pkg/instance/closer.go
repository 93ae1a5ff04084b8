package instance

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lavendershunt/lavendershunt/internal/counter"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
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
	router    string
	results   counter.ByLabel
}

// NewCloser returns a closer that acts for a router instance. The number of shards is that of the stored layout.
func NewCloser(store platform.Store, witnesses Witnesses, writer ShardWriter, shards int, router string) *Closer {
	return &Closer{store: store, witnesses: witnesses, writer: writer, shards: shards, router: router}
}

// Close closes an instance: its record is set to closing, every named witness closes the journal, the ledger settles
// the bills and takes back the rest, and the record is deleted. It returns a *HeldError if a witness or the ledger
// does not allow it now.
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
	return c.finish(ctx, r, nil, obstacle{}, false)
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
	copies, found := c.collect(ctx, r)
	return c.finish(ctx, r, copies, found, force)
}

func (c *Closer) finish(ctx context.Context, r Record, copies []journal.Copy, found obstacle, force bool) error {
	var err error
	if found.text == "" || force {
		if found, err = c.closeHolder(ctx, r.Instance, journal.Merge(copies)); err != nil {
			return err
		}
	}
	if found.text != "" {
		return c.hold(ctx, r, found)
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
		r.State, r.Closer = Closing, c.router
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
		if r.State == old.State && r.Held == old.Held {
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

// collect closes the journal at all witnesses. There is no obstacle if all have answered.
func (c *Closer) collect(ctx context.Context, r Record) (copies []journal.Copy, found obstacle) {
	var reasons []string
	for _, w := range r.Witnesses {
		content, err := c.witnesses.Close(ctx, w, r.Instance)
		switch {
		case errors.Is(err, journal.ErrNotWitness):
			reasons = append(reasons, fmt.Sprintf("witness %s has restarted and lost its copy", w.Router))
			if found.cause == "" {
				found.cause = WitnessRestarted
			}
		case err != nil:
			reasons = append(reasons, fmt.Sprintf("witness %s at %s is not reachable", w.Router, w.Address))
			found.cause = WitnessUnreachable
		default:
			copies = append(copies, content)
		}
	}
	found.text = strings.Join(reasons, "; ")
	return copies, found
}

// closeHolder ends the holder in every shard. The operation has the same id for every closer, and the journals are
// closed, so every closer sends the same content.
func (c *Closer) closeHolder(ctx context.Context, instance string, f journal.Final) (obstacle, error) {
	for shard, ops := range closeOps(instance, f, c.shards) {
		for batch := range slices.Chunk(ops, maxOps) {
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

// hold records why the closing does not go on.
func (c *Closer) hold(ctx context.Context, r Record, found obstacle) error {
	held := &HeldError{Instance: r.Instance, Reason: found.text, Cause: found.cause}
	if r.Held == found.text {
		return held
	}
	if _, err := c.update(ctx, r.Instance, func(r *Record) { r.Held = found.text }); err != nil {
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
