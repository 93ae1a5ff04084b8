package ledgerwriter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// layoutKey is the key of the object that holds the number of shards.
const layoutKey = "layout"

// ErrLayout means that the stored layout can't be used.
var ErrLayout = errors.New("ledgerwriter: stored layout is not usable")

type layout struct {
	Shards int `json:"shards"`
}

// Layout returns the number of shards stored at the platform. If none is stored, it stores want. The number never
// changes afterwards, because it decides which shard holds an organisation.
func Layout(ctx context.Context, store platform.Store, want int) (int, error) {
	for {
		n, err := storedLayout(ctx, store)
		if !errors.Is(err, platform.ErrNotFound) {
			return n, err
		}
		value, err := json.Marshal(layout{Shards: want})
		if err != nil {
			return 0, fmt.Errorf("ledgerwriter: encode layout: %w", err)
		}
		_, err = store.Put(ctx, layoutKey, value, 0)
		// After a conflict or a lost response the stored layout decides.
		if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUncertain) {
			return 0, fmt.Errorf("ledgerwriter: store layout: %w", err)
		}
	}
}

func storedLayout(ctx context.Context, store platform.Store) (int, error) {
	object, err := store.Get(ctx, layoutKey)
	if err != nil {
		return 0, fmt.Errorf("ledgerwriter: read layout: %w", err)
	}
	var l layout
	if err := json.Unmarshal(object.Value, &l); err != nil || l.Shards < 1 {
		return 0, fmt.Errorf("%w: %q", ErrLayout, object.Value)
	}
	return l.Shards, nil
}
