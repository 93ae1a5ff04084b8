package vmlist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

type view []member.Member

func (v view) Self() member.Member      { return member.Member{Instance: "self"} }
func (v view) Members() []member.Member { return v }

func task(store platform.Store, members view, got *[]platform.VM) *Task {
	return New(Options{
		Platform: store, Members: members, Client: http.DefaultClient, Interval: time.Second,
		OnList: func(vms []platform.VM) { *got = vms }, Log: &log.Logger{Handler: discard.New()},
	})
}

// Guards against new work for a leaving VM by a router that is cut off from the platform.
func TestListComesFromPeerWithoutPlatform(t *testing.T) {
	store := memstore.New(memstore.Options{})
	store.SetVMs([]platform.VM{{Name: "e1", Role: platform.RoleEngine, State: platform.VMLeaving}})
	_, err := store.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"cut"}})
	must.NoError(t, err)

	var unused, got []platform.VM
	peer := task(store.Client("peer"), nil, &unused)
	mux := http.NewServeMux()
	mux.Handle(peer.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	cut := task(store.Client("cut"), view{{Instance: "peer", PeerAddress: address, State: member.Alive}}, &got)

	cut.step(t.Context())
	must.Len(t, 0, got)
	peer.step(t.Context())
	cut.step(t.Context())
	must.Len(t, 1, got)
	must.Eq(t, platform.VMLeaving, got[0].State)
}

// Guards against going back to an older list that a peer still has.
func TestOlderListIsIgnored(t *testing.T) {
	var got []platform.VM
	own := task(nil, nil, &got)
	now := time.Now()
	own.accept(List{VMs: []platform.VM{{Name: "new"}}, Read: now})
	own.accept(List{VMs: []platform.VM{{Name: "old"}}, Read: now.Add(-time.Second)})
	must.Eq(t, "new", got[0].Name)
	must.Eq(t, "new", own.Current().VMs[0].Name)
}
