package allowance

import (
	"context"
	"net/http"
	"net/http/httptest"
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
		Client:    http.DefaultClient, VM: "vm1", Log: quietLog(),
	}
	late := make(chan int64, 1)
	answer := peers.Ask(t.Context(), nil, organisation, Shortage{Next: 700, Total: 700, Want: 900}, func(tokens int64) { late <- tokens })
	must.EqOp(t, 0, answer.Tokens)
	must.False(t, answer.Complete)
	must.EqOp(t, 700, <-late)
}
