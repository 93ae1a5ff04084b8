package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

const testKey = "config/class/a"

func newWriter(store *memstore.Store, id string) *Writer {
	return NewWriter(store.Client(id), NewStore(), nil)
}

// Guards against operators whose concurrent changes overwrite each other, and against a conflict error without the
// newer value.
func TestConcurrentOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{Seed: 1})
		first, err := newWriter(store, "setup").Put(t.Context(), testKey, []byte("0"), 0)
		must.NoError(t, err)
		var group sync.WaitGroup
		outcomes := make([]error, 8)
		for i := range outcomes {
			group.Go(func() {
				_, outcomes[i] = newWriter(store, fmt.Sprint(i)).Put(t.Context(), testKey, []byte(fmt.Sprint("by ", i)), first.Revision)
			})
		}
		group.Wait()
		successes := 0
		for i, err := range outcomes {
			if err == nil {
				successes++
				current, err := store.Client("check").Get(t.Context(), testKey)
				must.NoError(t, err)
				must.Eq(t, fmt.Sprint("by ", i), string(current.Value))
				continue
			}
			var conflict *ConflictError
			must.True(t, errors.As(err, &conflict))
			must.Greater(t, first.Revision, conflict.Current.Revision)
			must.StrContains(t, string(conflict.Current.Value), "by ")
		}
		must.Eq(t, 1, successes)
	})
}

// Guards against lost responses that are reported as failures, are written twice, or hide another operator's change.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{Seed: 1})
		w := newWriter(store, "a")
		_, err := store.Inject(memstore.Fault{Kind: memstore.FaultLost, Count: 1})
		must.NoError(t, err)
		// The platform's history does not reach back to the write, so only the object itself shows whether it took effect.
		gap, err := store.Inject(memstore.Fault{Kind: memstore.FaultGap})
		must.NoError(t, err)
		created, err := w.Put(t.Context(), testKey, []byte("1"), 0)
		must.NoError(t, err)
		store.Clear(gap)
		held, found := w.store.Lookup(testKey)
		must.True(t, found)
		must.Eq(t, created, held)

		_, err = store.Inject(memstore.Fault{Kind: memstore.FaultLost, Count: 1})
		must.NoError(t, err)
		must.NoError(t, w.Delete(t.Context(), testKey, created.Revision))
		_, err = store.Client("check").Get(t.Context(), testKey)
		must.ErrorIs(t, err, platform.ErrNotFound)
		held, _ = w.store.Lookup(testKey)
		must.True(t, held.Deleted)

		// The platform becomes unreachable after the response was lost: the change may be in force.
		_, err = store.Inject(memstore.Fault{Kind: memstore.FaultLost})
		must.NoError(t, err)
		failing := &failingAfter{Store: store.Client("a"), writes: 1}
		_, err = NewWriter(failing, NewStore(), nil).Put(t.Context(), testKey, []byte("2"), 0)
		must.ErrorIs(t, err, ErrUncertain)
	})
}

// failingAfter is a platform that becomes unreachable after some writes.
type failingAfter struct {
	platform.Store
	writes int
}

func (f *failingAfter) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	if f.writes--; f.writes < 0 {
		return platform.Object{}, platform.ErrUnavailable
	}
	return f.Store.Put(ctx, key, value, ifRevision)
}

// Guards against accepted changes that are lost, and against rejected ones that take effect, while operators change the
// same object concurrently and responses are lost. Each operator appends its ids by conditional updates.
func TestAcceptedChangesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{Seed: 7, WritesPerSecond: -1, ReadsPerSecond: -1})
		_, err := store.Inject(memstore.Fault{Kind: memstore.FaultLost, Probability: 0.3})
		must.NoError(t, err)
		var group sync.WaitGroup
		var mu sync.Mutex
		accepted, uncertain := map[string]bool{}, 0
		for operator := range 4 {
			group.Go(func() {
				w := newWriter(store, fmt.Sprint(operator))
				for change := range 25 {
					id := fmt.Sprintf("%d-%d;", operator, change)
					ok, isUncertain := appendID(t, w, id)
					mu.Lock()
					accepted[id] = ok
					if isUncertain {
						uncertain++
					}
					mu.Unlock()
				}
			})
		}
		group.Wait()
		store.Clear(0)
		final, err := store.Client("check").Get(t.Context(), testKey)
		must.NoError(t, err)
		for id, ok := range accepted {
			if ok {
				must.Eq(t, 1, strings.Count(string(final.Value), ";"+id))
			}
		}
		t.Logf("%d changes, %d uncertain", len(accepted), uncertain)
		must.Eq(t, 0, uncertain)
	})
}

// appendID adds an id to the object until the change is accepted or its outcome is unknown.
func appendID(t *testing.T, w *Writer, id string) (accepted, uncertain bool) {
	for {
		current, err := w.Get(t.Context(), testKey)
		if len(current.Value) == 0 {
			current.Value = []byte(";")
		}
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			continue
		}
		_, err = w.Put(t.Context(), testKey, append(current.Value, id...), current.Revision)
		var conflict *ConflictError
		switch {
		case err == nil:
			return true, false
		case errors.As(err, &conflict) && !conflict.MaybeApplied:
			continue
		default:
			return false, true
		}
	}
}
