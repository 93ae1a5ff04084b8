package origin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
)

// Guards against an unproven stream that goes on because another router is told of it without the word that it is unproven, or answers
// without that.
func TestPeersTellUnprovenStreams(t *testing.T) {
	keeper := NewRegistry(Options{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}})
	_, handler := NewService(keeper).Handler()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = peerhttp.UnencryptedHTTP2()
	server.Start()
	t.Cleanup(server.Close)
	peers := &RemotePeers{
		Addresses: func() map[string]string { return map[string]string{"vm0": server.Listener.Addr().String()} },
		Client:    &http.Client{Transport: &http.Transport{Protocols: peerhttp.UnencryptedHTTP2()}},
		Log:       keeper.Log,
	}
	told := map[string]Began{"a": {Unproven: true}, "b": {Software: "v1"}}
	peers.Announce("vm0", told)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		_, ok := keeper.known("a")
		return ok
	}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	for id, want := range told {
		b, ok := keeper.known(id)
		must.True(t, ok)
		must.Eq(t, want, b)
	}
	ask := func(id string) Finding { return peers.Find(t.Context(), []string{"vm0"}, id, "desk") }
	must.Eq(t, Finding{Mixed: true, Answered: true}, ask("a"))
	must.Eq(t, Finding{Software: "v1", Found: true, Answered: true}, ask("b"))
	must.Eq(t, Finding{Answered: true}, ask("c"))
}
