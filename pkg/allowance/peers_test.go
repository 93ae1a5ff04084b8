package allowance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	pursev1 "github.com/lavendershunt/lavendershunt/api/ls/purse/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/purse/v1/pursev1connect"
)

// giver gives what is asked for after a time.
type giver struct {
	pursev1connect.UnimplementedPurseServiceHandler
	after time.Duration
}

func (g giver) Transfer(_ context.Context, req *connect.Request[pursev1.TransferRequest]) (*connect.Response[pursev1.TransferResponse], error) {
	time.Sleep(g.after)
	return connect.NewResponse(&pursev1.TransferResponse{Tokens: req.Msg.GetNeed()}), nil
}

// Guards against losing the tokens of a router that answers slowly: it has taken them off its account.
func TestLateTokensAreKept(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(pursev1connect.NewPurseServiceHandler(giver{after: 3 * answerTimeout}))
	server := httptest.NewServer(mux)
	defer server.Close()
	peers := RemotePeers{
		Addresses: func() map[string]string { return map[string]string{"vm2": server.Listener.Addr().String()} },
		Client:    http.DefaultClient, VM: "vm1", Log: quietLog(),
	}
	late := make(chan int64, 1)
	got, complete := peers.Ask(t.Context(), nil, organisation, Shortage{Next: 700, Total: 700, Want: 900}, func(tokens int64) { late <- tokens })
	must.EqOp(t, 0, got)
	must.False(t, complete)
	must.EqOp(t, 700, <-late)
}
