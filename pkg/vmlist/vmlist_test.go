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

// members is a member.View with fixed members besides the router itself.
type members []member.Member

func (m members) Self() member.Member      { return member.Member{Instance: "self"} }
func (m members) Members() []member.Member { return m }

// newTask returns a task that writes each newer list to got.
func newTask(store platform.Store, others members, got *[]platform.VM) *Task {
	return New(Options{
		Platform: store, Members: others, Client: http.DefaultClient, Interval: time.Second,
		OnList: func(vms []platform.VM) { *got = vms }, Log: &log.Logger{Handler: discard.New()},
	})
}

// Guards against a router that sends new work to a leaving VM because it is cut off from the platform.
func TestListIsReadFromPeerWithoutPlatform(t *testing.T) {
	store := memstore.New(memstore.Options{})
	store.SetVMs([]platform.VM{{Name: "e1", Role: platform.RoleEngine, State: platform.VMLeaving}})
	_, err := store.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"cut"}})
	must.NoError(t, err)

	var unused, got []platform.VM
	peer := newTask(store.Client("peer"), nil, &unused)
	mux := http.NewServeMux()
	mux.Handle(peer.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	cutOff := newTask(store.Client("cut"), members{{Instance: "peer", PeerAddress: address, State: member.Alive}}, &got)

	cutOff.refresh(t.Context())
	must.Len(t, 0, got)
	peer.refresh(t.Context())
	cutOff.refresh(t.Context())
	must.Len(t, 1, got)
	must.Eq(t, platform.VMLeaving, got[0].State)
}

// Guards against a newer list that is replaced by the older list of a peer.
func TestOlderListIsIgnored(t *testing.T) {
	var got []platform.VM
	own := newTask(nil, nil, &got)
	now := time.Now()
	own.replaceIfNewer(List{VMs: []platform.VM{{Name: "new"}}, ReadAt: now})
	own.replaceIfNewer(List{VMs: []platform.VM{{Name: "old"}}, ReadAt: now.Add(-time.Second)})
	must.Eq(t, "new", got[0].Name)
	must.Eq(t, "new", own.Current().VMs[0].Name)
}
