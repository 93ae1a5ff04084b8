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

// giver gives what is asked for after a time.
type giver struct {
	allowancev1connect.UnimplementedAllowanceServiceHandler
	after time.Duration
}

func (g giver) Give(_ context.Context, req *connect.Request[allowancev1.GiveRequest]) (*connect.Response[allowancev1.GiveResponse], error) {
	time.Sleep(g.after)
	return connect.NewResponse(&allowancev1.GiveResponse{Tokens: req.Msg.GetNeed()}), nil
}

// Guards against losing the tokens of a router that answers slowly: it has taken them off its account.
func TestLateTokensAreKept(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(allowancev1connect.NewAllowanceServiceHandler(giver{after: 3 * answerTimeout}))
	server := httptest.NewServer(mux)
	defer server.Close()
	peers := RemotePeers{
		Addresses: func() map[string]string { return map[string]string{"vm2": server.Listener.Addr().String()} },
		Client:    http.DefaultClient, Log: quietLog(),
	}
	late := make(chan int64, 1)
	answer := peers.RequestTokens(t.Context(), []string{"vm2", "vm1"}, organisation, Shortage{Next: 700, Total: 700}, func(tokens int64) { late <- tokens })
	must.EqOp(t, 0, answer.Tokens)
	must.False(t, answer.Complete)
	must.EqOp(t, 700, <-late)
}

// counter gives some tokens and counts the questions.
type counter struct {
	allowancev1connect.UnimplementedAllowanceServiceHandler
	asked     atomic.Int64
	gives     int64
	exhausted bool
}

func (c *counter) Give(context.Context, *connect.Request[allowancev1.GiveRequest]) (*connect.Response[allowancev1.GiveResponse], error) {
	c.asked.Add(1)
	return connect.NewResponse(&allowancev1.GiveResponse{Tokens: c.gives, Exhausted: c.exhausted}), nil
}

func serveCounter(t *testing.T, c *counter) string {
	mux := http.NewServeMux()
	mux.Handle(allowancev1connect.NewAllowanceServiceHandler(c))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against tokens that pile up at routers with little demand: four allocators that were asked at once each gave
// what was needed. Also guards against questions after an allocator has said that the budget is used up, and against
// waiting again for an allocator that did not answer.
func TestHomesAreAskedInOrder(t *testing.T) {
	first, second := &counter{gives: 700}, &counter{gives: 700}
	addresses := map[string]string{"vm2": serveCounter(t, first), "vm3": serveCounter(t, second)}
	peers := RemotePeers{Addresses: func() map[string]string { return addresses }, Client: http.DefaultClient, Log: quietLog()}
	ask := func(s Shortage) Answer {
		return peers.RequestTokens(t.Context(), []string{"vm2", "vm3"}, organisation, s, func(int64) {})
	}
	must.Eq(t, Answer{Tokens: 700, Complete: true}, ask(Shortage{Next: 700, Total: 700}))
	must.EqOp(t, 0, second.asked.Load())

	first.gives, first.exhausted = 0, true
	must.Eq(t, Answer{Complete: true, Exhausted: true}, ask(Shortage{Next: 700, Total: 700}))
	must.EqOp(t, 0, second.asked.Load())
	first.exhausted = false
	must.Eq(t, Answer{Tokens: 700, Complete: true}, ask(Shortage{Next: 700, Total: 700, NoDraw: true}))

	addresses["vm2"] = "127.0.0.1:1" // Nothing listens there.
	must.Eq(t, Answer{Tokens: 700}, ask(Shortage{Next: 700, Total: 700}))
	must.Eq(t, Answer{Tokens: 700, Complete: true}, ask(Shortage{Next: 700, Total: 700}))
}
