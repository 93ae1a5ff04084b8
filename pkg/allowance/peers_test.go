package allowance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	allowancev1 "github.com/lavendershunt/lavendershunt/api/ls/allowance/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/allowance/v1/allowancev1connect"
)

// delayedPeer transfers the requested tokens after a delay.
type delayedPeer struct {
	allowancev1connect.UnimplementedAllowanceServiceHandler
	delay time.Duration
}

func (p delayedPeer) Give(_ context.Context, req *connect.Request[allowancev1.GiveRequest]) (*connect.Response[allowancev1.GiveResponse], error) {
	time.Sleep(p.delay)
	return connect.NewResponse(&allowancev1.GiveResponse{Tokens: req.Msg.GetNeed()}), nil
}

// Guards against losing the tokens of a router that answers slowly: it has deducted them from its account.
func TestLateTokensAreKept(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(allowancev1connect.NewAllowanceServiceHandler(delayedPeer{delay: 3 * answerTimeout}))
	server := httptest.NewServer(mux)
	defer server.Close()
	peers := RemotePeers{
		Addresses: func() map[string]string { return map[string]string{"vm2": server.Listener.Addr().String()} },
		Client:    http.DefaultClient, Log: discardLog(),
	}
	late := make(chan int64, 1)
	result := peers.RequestTokens(t.Context(), []string{"vm2", "vm1"}, organisation, Shortage{Next: 700, Total: 700}, func(tokens int64) { late <- tokens })
	must.EqOp(t, 0, result.Tokens)
	must.False(t, result.Complete)
	must.EqOp(t, 700, <-late)
}

// countingPeer transfers a fixed number of tokens and counts the requests.
type countingPeer struct {
	allowancev1connect.UnimplementedAllowanceServiceHandler
	requests  atomic.Int64
	tokens    int64
	exhausted bool
}

func (c *countingPeer) Give(context.Context, *connect.Request[allowancev1.GiveRequest]) (*connect.Response[allowancev1.GiveResponse], error) {
	c.requests.Add(1)
	return connect.NewResponse(&allowancev1.GiveResponse{Tokens: c.tokens, Exhausted: c.exhausted}), nil
}

func servePeer(t *testing.T, c *countingPeer) string {
	mux := http.NewServeMux()
	mux.Handle(allowancev1connect.NewAllowanceServiceHandler(c))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against tokens that accumulate at routers with little demand: four allocators that were asked at once each
// transferred what was needed. Also guards against further requests after an allocator has reported the budget as
// exhausted, and against waiting again for an allocator that did not answer.
func TestAllocatorsAreAskedInOrder(t *testing.T) {
	first, second := &countingPeer{tokens: 700}, &countingPeer{tokens: 700}
	addresses := map[string]string{"vm2": servePeer(t, first), "vm3": servePeer(t, second)}
	peers := RemotePeers{Addresses: func() map[string]string { return addresses }, Client: http.DefaultClient, Log: discardLog()}
	request := func(s Shortage) RequestResult {
		return peers.RequestTokens(t.Context(), []string{"vm2", "vm3"}, organisation, s, func(int64) {})
	}
	must.Eq(t, RequestResult{Tokens: 700, Complete: true}, request(Shortage{Next: 700, Total: 700}))
	must.EqOp(t, 0, second.requests.Load())

	first.tokens, first.exhausted = 0, true
	must.Eq(t, RequestResult{Complete: true, Exhausted: true}, request(Shortage{Next: 700, Total: 700}))
	must.EqOp(t, 0, second.requests.Load())
	first.exhausted = false
	must.Eq(t, RequestResult{Tokens: 700, Complete: true}, request(Shortage{Next: 700, Total: 700, NoDraw: true}))

	addresses["vm2"] = "127.0.0.1:1" // Nothing listens there.
	must.Eq(t, RequestResult{Tokens: 700}, request(Shortage{Next: 700, Total: 700}))
	must.Eq(t, RequestResult{Tokens: 700, Complete: true}, request(Shortage{Next: 700, Total: 700}))
}
