package ledgerwriter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// layoutKey is the key of the object that stores the number of shards.
const layoutKey = "layout"

// ErrInvalidLayout means that the stored layout can't be decoded or has no shards.
var ErrInvalidLayout = errors.New("ledgerwriter: invalid stored layout")

type layout struct {
	Shards int `json:"shards"`
}

// EnsureLayout returns the number of shards stored at the platform. If none is stored, it stores initial. The number
// never changes afterwards, because it determines the shard of each organisation.
func EnsureLayout(ctx context.Context, store platform.Store, initial int) (int, error) {
	for {
		shards, err := readLayout(ctx, store)
		if !errors.Is(err, platform.ErrNotFound) {
			return shards, err
		}
		value, err := json.Marshal(layout{Shards: initial})
		if err != nil {
			return 0, fmt.Errorf("ledgerwriter: encode layout: %w", err)
		}
		_, err = store.Put(ctx, layoutKey, value, 0)
		// After a conflict or a lost response, read the stored layout again: it takes precedence over initial.
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUncertain) {
			return 0, fmt.Errorf("ledgerwriter: store layout: %w", err)
		}
	}
}

func readLayout(ctx context.Context, store platform.Store) (int, error) {
	object, err := store.Get(ctx, layoutKey)
	if err != nil {
		return 0, fmt.Errorf("ledgerwriter: read layout: %w", err)
	}
	var l layout
	if err := json.Unmarshal(object.Value, &l); err != nil || l.Shards < 1 {
		return 0, fmt.Errorf("%w: %q", ErrInvalidLayout, object.Value)
	}
	return l.Shards, nil
}
