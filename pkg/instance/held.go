package instance

import (
	"context"
	"fmt"
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// HeldError means that an instance can't be closed now, so that its tokens stay held.
type HeldError struct {
	Instance string
	Reason   string
	Cause    Cause
}

// Cause is the kind of reason for which an instance can't be closed.
type Cause string

// Causes. If several apply, the first of this list is used.
const (
	WitnessUnreachable Cause = "witness_unreachable"
	WitnessRestarted   Cause = "witness_restarted"
	LedgerRefuses      Cause = "ledger_refuses"
)

// holdReason is why an instance can't be closed now; its text is empty if it can be closed.
type holdReason struct {
	cause Cause
	text  string
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("instance %s stays held: %s", e.Instance, e.Reason)
}

// ListHeld returns the instances that are being closed, with the reason why their tokens stay held.
func ListHeld(ctx context.Context, store platform.Store) ([]Record, error) {
	records, err := list(ctx, store, Prefix)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(records, func(r Record) bool { return r.State != Closing }), nil
}

// list returns the records whose keys begin with the prefix.
func list(ctx context.Context, store platform.Store, prefix string) ([]Record, error) {
	objects, _, err := store.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("instance: list records: %w", err)
	}
	records := make([]Record, 0, len(objects))
	for _, o := range objects {
		r, err := decode(o.Value)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}
