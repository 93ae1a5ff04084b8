package workload

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

var boardStart = time.Unix(1_800_000_000, 0)

// Guards against a router's own work coming back to it, against prefixes that are told twice, or not at all after a gap, and against the
// work of routers that are gone.
func TestBoardReturnsTheOthersWork(t *testing.T) {
	b := NewBoard()
	others, aNext := b.Put(boardStart, "a", []route.SharedWork{{VM: "e", PendingTokens: 5, Running: 1, Prefixes: []uint64{1}}}, 0)
	must.SliceEmpty(t, others)
	others, bNext := b.Put(boardStart, "b", []route.SharedWork{{VM: "e", PendingTokens: 7, Running: 2, Prefixes: []uint64{2}}}, 0)
	must.Eq(t, []route.SharedWork{{VM: "e", PendingTokens: 5, Running: 1, Prefixes: []uint64{1}}}, others)
	others, _ = b.Put(boardStart, "a", nil, aNext)
	must.Eq(t, []route.SharedWork{{VM: "e", PendingTokens: 7, Running: 2, Prefixes: []uint64{2}}}, others)
	others, _ = b.Put(boardStart, "b", nil, bNext)
	must.SliceEmpty(t, others)
	others, _ = b.Put(boardStart, "c", nil, 0)
	must.Eq(t, []route.SharedWork{{VM: "e", Prefixes: []uint64{1, 2}}}, others)
	later := boardStart.Add(maxPrefixAge + time.Second)
	others, next := b.Put(later, "d", nil, 0)
	must.SliceEmpty(t, others)
	must.EqOp(t, 2, next)
	must.MapLen(t, 1, b.records)
}

// Guards against a board that grows without bound.
func TestBoardIsBounded(t *testing.T) {
	b := NewBoard()
	prefixes := make([]uint64, 1000)
	for i := range 20 {
		b.Put(boardStart.Add(time.Duration(i)*time.Millisecond), "a", []route.SharedWork{{VM: "e", Prefixes: prefixes}}, 0)
	}
	must.Len(t, maxPrefixes, b.prefixes)
	others, next := b.Put(boardStart.Add(time.Second), "b", nil, 5)
	must.Len(t, maxPrefixes, others[0].Prefixes)
	must.EqOp(t, 20_000, next)
}

// Guards against a keeper that serves more exchanges the more routers there are.
func TestBoardBoundsExchanges(t *testing.T) {
	b := NewBoard()
	b.Put(boardStart, "a", nil, 0)
	must.EqOp(t, interval, b.interval())
	for i := range 99 {
		b.Put(boardStart, string(rune('b'+i)), nil, 0)
	}
	must.EqOp(t, 400*time.Millisecond, b.interval())
}

// Guards against a slow spell that counts for ever: measured times lose their weight within seconds.
func TestBoardForgetsTimes(t *testing.T) {
	b := NewBoard()
	b.Put(boardStart, "a", []route.SharedWork{{VM: "e", Started: 1, PredictedMS: 100, MeasuredMS: 400}}, 0)
	others, _ := b.Put(boardStart.Add(timesHalfLife), "b", nil, 0)
	must.Eq(t, []route.SharedWork{{VM: "e", Started: 1, PredictedMS: 50, MeasuredMS: 200}}, others)
	others, _ = b.Put(boardStart.Add(10*timesHalfLife), "b", nil, 0)
	must.SliceEmpty(t, others)
}

// Guards against an exchange that doesn't reach the keeper, stays with one that is gone, or doesn't take its place if this router is to
// keep the board itself.
func TestExchangeUsesTheNextKeeper(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	keeper := New(Options{Router: "k", Log: logger})
	mux := http.NewServeMux()
	mux.Handle(keeper.Handler())
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = peerhttp.UnencryptedHTTP2()
	server.Start()
	defer server.Close()
	keeper.put("other", []route.SharedWork{{VM: "e", Prefixes: []uint64{9}}}, 0)
	var applied []route.SharedWork
	addresses := map[string]string{"gone": "127.0.0.1:1", "k": server.Listener.Addr().String()}
	order := []string{"gone", "k", "self"}
	x := New(Options{
		Router: "self", Log: logger, Client: &http.Client{Transport: &http.Transport{Protocols: peerhttp.UnencryptedHTTP2()}},
		Keepers: func(int) []string { return order }, Addresses: func() map[string]string { return addresses },
		ApplyWork: func(work []route.SharedWork) { applied = work },
	})
	x.timeout = time.Minute // The test doesn't depend on the machine's speed.
	x.exchange(context.Background(), time.Now(), nil)
	must.Nil(t, applied)
	x.exchange(context.Background(), time.Now(), nil)
	must.Eq(t, []route.SharedWork{{VM: "e", Prefixes: []uint64{9}}}, applied)
	applied = nil
	order = []string{"self"}
	x.exchange(context.Background(), time.Now(), nil)
	must.SliceEmpty(t, applied)
	must.EqOp(t, "self", x.keeper)
}
