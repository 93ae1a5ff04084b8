package platform

import (
	"context"
	"errors"
	"sync"
)

// ObjectWriter is the part of a Store that an OwnedObject uses.
type ObjectWriter interface {
	Get(ctx context.Context, key string) (Object, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (Object, error)
}

// OwnedObject is an object that only one VM writes. It is safe for concurrent use.
type OwnedObject struct {
	Store ObjectWriter
	Key   string

	mu       sync.Mutex
	revision uint64
}

// Write replaces the value. It also replaces what an earlier process of the VM wrote, or a write whose response was lost.
func (o *OwnedObject) Write(ctx context.Context, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	object, err := o.Store.Put(ctx, o.Key, value, o.revision)
	switch {
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound), errors.Is(err, ErrUncertain):
		current, getErr := o.Store.Get(ctx, o.Key)
		if getErr != nil && !errors.Is(getErr, ErrNotFound) {
			return getErr
		}
		if object, err = o.Store.Put(ctx, o.Key, value, current.Revision); err != nil {
			return err
		}
	case err != nil:
		return err
	}
	o.revision = object.Revision
	return nil
}

// Revision returns the revision of the last write that was acknowledged, 0 before the first one.
func (o *OwnedObject) Revision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revision
}
