package httpstore_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/httpstore"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// Guards against a refused connection that is reported as an uncertain write, which callers must then read back.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	store := httpstore.New(httpstore.Options{Address: address, ClientID: "a"})
	_, err = store.Put(context.Background(), "k", nil, 0)
	must.ErrorIs(t, err, platform.ErrUnavailable)
	must.False(t, errors.Is(err, platform.ErrUncertain))
}

// Guards against a timed-out write that is reported as not written, and against a client that retries it.
func TestTimedOutWriteIsUncertain(t *testing.T) {
	backing := memstore.New(memstore.Options{})
	store := newHTTPStore(t, backing, "a", 500*time.Millisecond)
	_, err := backing.Inject(memstore.Fault{Kind: memstore.FaultSlow, DelayMS: 1500})
	must.NoError(t, err)
	_, err = store.Put(context.Background(), "k", []byte("v"), 0)
	must.ErrorIs(t, err, platform.ErrUncertain)
	_, err = store.Get(context.Background(), "k")
	must.ErrorIs(t, err, platform.ErrUnavailable)
	backing.Clear(0)
	for {
		if _, err = backing.Client("b").Get(context.Background(), "k"); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, 1, backing.Counters().Writes)
}

// Guards against a call that does not return when its context ends.
func TestCancelledCall(t *testing.T) {
	backing := memstore.New(memstore.Options{})
	store := newHTTPStore(t, backing, "a", callTimeout)
	_, err := backing.Inject(memstore.Fault{Kind: memstore.FaultSlow, DelayMS: 300})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for backing.Counters().Writes == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = store.Put(ctx, "k", nil, 0)
	must.ErrorIs(t, err, platform.ErrUncertain)
	must.ErrorIs(t, err, context.Canceled)
	_, err = store.Put(ctx, "k", nil, 0)
	must.ErrorIs(t, err, platform.ErrUnavailable)
}
