package engine

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// Guards against a fetch that succeeds although the weight store refused it or the context has ended.
func TestWeightFetcher(t *testing.T) {
	store := memstore.New(memstore.Options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := standin.NewServer("test", memstore.NewServer(store, 0).Handle, memstore.MaxBodyBytes)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { must.NoError(t, server.Shutdown()) })
	fetch := NewWeightFetcher(listener.Addr().String())
	must.NoError(t, fetch(context.Background(), "m@1", 1<<20))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	must.ErrorIs(t, fetch(ended, "m@1", 1<<20), context.Canceled)
	_, err = store.Inject(memstore.Fault{Kind: memstore.FaultDown})
	must.NoError(t, err)
	must.ErrorContains(t, fetch(context.Background(), "m@1", 1), "status 503")
}
