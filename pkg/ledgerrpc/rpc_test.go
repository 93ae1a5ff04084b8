package ledgerrpc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/claim"
	"github.com/lavendershunt/lavendershunt/pkg/ledgerwriter"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

type fakeRouter struct {
	ops    []budget.Op
	result budget.Result
	err    error
}

func (f *fakeRouter) ApplyLocal(_ context.Context, _ string, ops []budget.Op) ([]budget.Result, error) {
	f.ops = ops
	return []budget.Result{f.result}, f.err
}

func (f *fakeRouter) ReadLocal(context.Context, string) ([]budget.Status, error) {
	return []budget.Status{status}, f.err
}

func (f *fakeRouter) Answer(context.Context, string, string, string) (claim.State, *budget.StoredResult, error) {
	return claim.Finished, storedResult, f.err
}

type fakeView struct{ members []member.Member }

func (v fakeView) Self() member.Member      { return member.Member{} }
func (v fakeView) Members() []member.Member { return v.members }

var (
	budgetID     = budget.ID{Organisation: "svaz", Budget: "drafts"}
	storedResult = &budget.StoredResult{Status: 201, ContentType: "text/plain", Body: []byte("x"), Truncated: true}
	claimRecord  = &budget.ClaimRecord{Key: "k", ID: "a/claim/1", Owner: "a", BodyHash: 1 << 63, CreatedMS: 5, Result: storedResult}
	status       = budget.Status{ID: budgetID, Preference: budget.AvoidRefusal, ToppedUp: 9, Settled: 4,
		Grants: []budget.HolderGrant{{Instance: "a", Tokens: 2}}}
)

// Guards against losing fields or the identity of errors between two routers.
func TestRoundTrip(t *testing.T) {
	router := &fakeRouter{result: budget.Result{
		Code: budget.CodeHeldElsewhere, Granted: 1, Unallocated: 2, Duplicates: []string{"d"},
		Holders: []budget.HolderGrant{{Instance: "b", Tokens: 3}}, Preference: budget.AvoidOverspend, Claim: claimRecord,
		Message: "m",
	}}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(router, router))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	transport := &http.Transport{Protocols: server.Config.Protocols}
	defer transport.CloseIdleConnections()
	address := strings.TrimPrefix(server.URL, "http://")
	peers := NewPeers(&http.Client{Transport: transport}, fakeView{[]member.Member{{Instance: "a", PeerAddress: address}}})

	op := budget.Op{
		ID: "a/1", Kind: budget.OpSettle, Budget: budgetID, Holder: "a", Need: 1, Want: 2, Tokens: 3, To: "b",
		Bills:      []budget.Bill{{Budget: budgetID, Key: "k", Tokens: 4}},
		Transfers:  []budget.Transfer{{ID: "a/2", Budget: budgetID, From: "a", To: "b", Tokens: 5}},
		Preference: budget.AvoidRefusal, Claim: claimRecord, FlushedMS: 6,
	}
	results, err := peers.Apply(t.Context(), address, "svaz", []budget.Op{op})
	must.NoError(t, err)
	must.Eq(t, []budget.Result{router.result}, results)
	must.Eq(t, []budget.Op{op}, router.ops)
	statuses, err := peers.Read(t.Context(), address, "svaz")
	must.NoError(t, err)
	must.Eq(t, []budget.Status{status}, statuses)
	state, result, err := peers.Query(t.Context(), "a", "svaz", "k", "a/claim/1")
	must.NoError(t, err)
	must.Eq(t, claim.Finished, state)
	must.Eq(t, storedResult, result)

	_, _, err = peers.Query(t.Context(), "gone", "svaz", "k", "gone/claim/1")
	must.ErrorIs(t, err, ErrOwnerUnknown)
	for _, want := range []error{platform.ErrUnavailable, ledgerwriter.ErrQueueFull, ledgerwriter.ErrTooManyOps} {
		router.err = want
		_, err = peers.Apply(t.Context(), address, "svaz", []budget.Op{op})
		must.ErrorIs(t, err, want)
	}
	router.err = ledgerwriter.ErrClosed
	_, err = peers.Read(t.Context(), address, "svaz")
	must.ErrorIs(t, err, platform.ErrUnavailable)
}
