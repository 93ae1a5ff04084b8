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

// maxOpsPerCall bounds the operations of one call to the ledger.
const maxOpsPerCall = 64

// maxUpdateAttempts bounds the attempts to change or delete a record that others change at the same time.
const maxUpdateAttempts = 8

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

// Closer closes instances. It is safe for concurrent use. Several closers may close the same instance at the same time,
// and any of them may resume what another has begun: every step can be repeated.
type Closer struct {
	store     platform.Store
	witnesses Witnesses
	writer    ShardWriter
	shards    int
	view      member.View
	results   counter.ByLabel
}

// NewCloser returns a closer that acts for the router of the view. shards is the number of shards in the
// stored layout.
func NewCloser(store platform.Store, witnesses Witnesses, writer ShardWriter, shards int, view member.View) *Closer {
	return &Closer{store: store, witnesses: witnesses, writer: writer, shards: shards, view: view}
}

// Close closes an instance: its record is set to closing, every named witness closes the journal, the ledger settles
// the bills and takes back the rest, and the record is deleted. It returns a *HeldError if a witness or the ledger
// does not allow this now. Closing an instance without a record returns nil.
//
// If some witnesses have ended for good and all others have closed the journal, no witness can acknowledge an entry any
// more. The bills that the others have are then settled, and the rest stays held until an operator releases it, because
// the ended witnesses may have had further bills. If an instance and a witness fail together, entries can be lost that
// only this witness had acknowledged and the other one had not received yet. If the other one answered, these are
// entries of the last two round trips.
func (c *Closer) Close(ctx context.Context, instance string) error {
	return c.close(ctx, instance, false)
}

// Release closes an instance without the witnesses that do not answer. It is for operators: bills that only such a
// witness has are lost, so tokens of the budget may be spent twice to that extent.
func (c *Closer) Release(ctx context.Context, instance string) error {
	return c.close(ctx, instance, true)
}

// closeDrained closes an instance that has stopped and whose bills and transfers the ledger has. It needs no witness.
func (c *Closer) closeDrained(ctx context.Context, instance string) error {
	r, err := c.updateRecord(ctx, instance, func(r *Record) { c.setClosing(r) })
	if err != nil {
		return ignoreNotFound(err)
	}
	return c.finish(ctx, r, witnessAnswers{}, false)
}

func ignoreNotFound(err error) error {
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

// Results returns the number of attempts to close an instance by result: closed, failed, or held_ and a Cause.
func (c *Closer) Results() map[string]int64 { return c.results.Counts() }

func (c *Closer) countResult(err error) {
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
	defer func() { c.countResult(err) }()
	r, err := c.updateRecord(ctx, instance, func(r *Record) { c.setClosing(r) })
	if err != nil {
		return ignoreNotFound(err)
	}
	return c.finish(ctx, r, c.collectCopies(ctx, r), force)
}

// finish closes the holder in the ledger if all witnesses have closed the journal or an operator forces it. If a copy is
// missing, the bills are settled by separate operations, which can be repeated for as long as the holder is open.
func (c *Closer) finish(ctx context.Context, r Record, answers witnessAnswers, force bool) error {
	state, reason, fenced := journal.Merge(answers.copies), answers.holdReason(), answers.isFenced()
	canClose := reason.text == "" || force
	if fenced && !r.BillsSettled || canClose && (r.BillsSettled || reason.text != "") {
		refusal, err := c.apply(ctx, r.Instance, settleOps(r.Instance, state, c.shards))
		if err != nil {
			return err
		}
		if refusal.text != "" {
			return c.recordHold(ctx, r, refusal, false)
		}
		state.SettleOps, state.Bills = nil, nil
	}
	if canClose {
		var err error
		if reason, err = c.apply(ctx, r.Instance, closeOps(r.Instance, state, c.shards)); err != nil {
			return err
		}
	} else if fenced {
		reason.text += "; the bills of the other witnesses are settled, an operator may release the rest"
		return c.recordHold(ctx, r, reason, true)
	}
	if reason.text != "" {
		return c.recordHold(ctx, r, reason, false)
	}
	if err := c.deleteRecord(ctx, r.Instance); err != nil {
		return err
	}
	for _, w := range r.Witnesses {
		// A copy that is not dropped now is dropped by Prune later.
		_ = c.witnesses.Forget(ctx, w, r.Instance)
	}
	return nil
}

func (c *Closer) setClosing(r *Record) {
	if r.State != Closing {
		r.State, r.Closer = Closing, c.view.Self().Instance
	}
}

// updateRecord changes the record by conditional update and returns the result. A lost response is resolved by reading
// the record back.
func (c *Closer) updateRecord(ctx context.Context, instance string, change func(*Record)) (Record, error) {
	var lastErr error
	for range maxUpdateAttempts {
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
		if r.State == old.State && r.HeldReason == old.HeldReason && r.BillsSettled == old.BillsSettled {
			return r, nil
		}
		if _, lastErr = c.store.Put(ctx, Key(instance), value, o.Revision); lastErr == nil {
			return r, nil
		}
		if !errors.Is(lastErr, platform.ErrConflict) && !errors.Is(lastErr, platform.ErrUncertain) {
			break
		}
	}
	return Record{}, fmt.Errorf("instance %s: change record: %w", instance, lastErr)
}

// apply applies the operations of each shard, and returns a reason if the ledger refuses one. The operations have the
// same ids for every closer, and the journals are closed, so every closer sends the same content.
func (c *Closer) apply(ctx context.Context, instance string, ops [][]budget.Op) (holdReason, error) {
	for shard := range ops {
		for batch := range slices.Chunk(ops[shard], maxOpsPerCall) {
			results, err := c.writer.Apply(ctx, shard, batch)
			if err != nil {
				return holdReason{}, fmt.Errorf("instance %s: close in shard %d: %w", instance, shard, err)
			}
			if reason := refusalReason(batch, results); reason != "" {
				return holdReason{LedgerRefuses, fmt.Sprintf("ledger shard %d refuses the closing: %s", shard, reason)}, nil
			}
		}
	}
	return holdReason{}, nil
}

// refusalReason describes the first refused operation. It is empty if none was refused.
func refusalReason(ops []budget.Op, results []budget.Result) string {
	if len(results) != len(ops) {
		return fmt.Sprintf("%d results for %d operations", len(results), len(ops))
	}
	for i, r := range results {
		if ops[i].Kind == budget.OpTransfer {
			// The operation that closes the holder applies the transfers again and fails if one is missing.
			continue
		}
		switch r.Code {
		case budget.CodeOK, budget.CodeHolderClosed:
		case budget.CodeStale:
			// Settle operations reach the ledger in order, so a stale one was applied before.
		default:
			return fmt.Sprintf("%s %s: %s %s", ops[i].Kind, ops[i].ID, r.Code, r.Message)
		}
	}
	return ""
}

// recordHold records why the instance can't be closed now and whether its known bills are settled, and returns a
// *HeldError.
func (c *Closer) recordHold(ctx context.Context, r Record, reason holdReason, billsSettled bool) error {
	held := &HeldError{Instance: r.Instance, Reason: reason.text, Cause: reason.cause}
	billsSettled = billsSettled || r.BillsSettled
	if r.HeldReason == reason.text && r.BillsSettled == billsSettled {
		return held
	}
	if _, err := c.updateRecord(ctx, r.Instance, func(r *Record) { r.HeldReason, r.BillsSettled = reason.text, billsSettled }); err != nil {
		return errors.Join(held, err)
	}
	return held
}

// deleteRecord deletes the record of a closed instance.
func (c *Closer) deleteRecord(ctx context.Context, instance string) error {
	var lastErr error
	for range maxUpdateAttempts {
		o, err := c.store.Get(ctx, Key(instance))
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("instance %s: read record: %w", instance, err)
		}
		lastErr = c.store.Delete(ctx, Key(instance), o.Revision)
		if lastErr == nil || errors.Is(lastErr, platform.ErrNotFound) {
			return nil
		}
		if !errors.Is(lastErr, platform.ErrConflict) && !errors.Is(lastErr, platform.ErrUncertain) {
			break
		}
	}
	return fmt.Errorf("instance %s: delete record: %w", instance, lastErr)
}
