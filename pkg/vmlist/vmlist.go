// Package vmlist keeps the platform's VM list up to date. A router that can't reach the platform reads the list
// from another router, so that it sees which VMs are leaving as long as any path to the platform exists.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	vmlistv1 "github.com/lavendershunt/lavendershunt/api/ls/vmlist/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/vmlist/v1/vmlistv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// callTimeout limits each read from the platform or from a peer. A failed read from the platform and the reads
	// from peers together fit into the 3 s after which a leaving endpoint must get no more work.
	callTimeout = 700 * time.Millisecond
	// peersPerRound is the number of routers from which the list is read if the read from the platform fails.
	peersPerRound = 2
)

// List is a VM list.
type List struct {
	VMs []platform.VM
	// ReadAt is the time at which the list was read from the platform; zero if there is no list.
	ReadAt time.Time
}

// Options configures a Task.
type Options struct {
	Platform platform.Store
	Members  member.View
	Client   connect.HTTPClient
	// Interval is the time between two reads.
	Interval time.Duration
	// OnList is called with each list that is newer than the current one.
	OnList func([]platform.VM)
	Log    log.Interface
}

// Task reads the list periodically. It implements the VMListService and is safe for concurrent use.
type Task struct {
	options Options
	mu      sync.Mutex
	list    List
}

var _ vmlistv1connect.VMListServiceHandler = (*Task)(nil)

// New returns a task without a list. Run fills it.
func New(options Options) *Task { return &Task{options: options} }

// Handler returns the path and the HTTP handler of the peer service.
func (t *Task) Handler() (string, http.Handler) {
	return vmlistv1connect.NewVMListServiceHandler(t)
}

// Current returns the newest list.
func (t *Task) Current() List {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list
}

// Run reads the list at once and then in each interval until ctx ends.
func (t *Task) Run(ctx context.Context) {
	ticker := time.NewTicker(t.options.Interval)
	defer ticker.Stop()
	for {
		t.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh reads the list from the platform, or from peers if that fails.
func (t *Task) refresh(ctx context.Context) {
	err := t.readPlatform(ctx)
	if err == nil {
		return
	}
	t.options.Log.WithError(err).Debug("failed to read the VM list from the platform")
	for _, m := range t.pickPeers() {
		if err := t.readPeer(ctx, m.PeerAddress); err != nil {
			t.options.Log.WithError(err).WithField("peer", m.Instance).Debug("failed to read the VM list from a peer")
		}
	}
}

func (t *Task) readPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := time.Now()
	vms, err := t.options.Platform.VMs(ctx)
	if err != nil {
		return err
	}
	t.replaceIfNewer(List{VMs: vms, ReadAt: startedAt})
	return nil
}

// pickPeers returns random members that have not failed, without this router.
func (t *Task) pickPeers() []member.Member {
	self := t.options.Members.Self().Instance
	var candidates []member.Member
	for _, m := range t.options.Members.Members() {
		if m.Instance != self && m.State != member.Failed {
			candidates = append(candidates, m)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(peersPerRound, len(candidates))]
}

func (t *Task) readPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := vmlistv1connect.NewVMListServiceClient(t.options.Client, "http://"+address)
	response, err := client.Get(ctx, connect.NewRequest(&vmlistv1.GetRequest{}))
	if err != nil {
		return fmt.Errorf("vmlist: read list from peer: %w", err)
	}
	if len(response.Msg.GetVms()) == 0 {
		return nil
	}
	var vms []platform.VM
	if err := json.Unmarshal(response.Msg.GetVms(), &vms); err != nil {
		return fmt.Errorf("vmlist: decode list of %s: %w", address, err)
	}
	t.replaceIfNewer(List{VMs: vms, ReadAt: time.Now().Add(-time.Duration(response.Msg.GetAgeMs()) * time.Millisecond)})
	return nil
}

// replaceIfNewer replaces the current list by one that was read later, and calls OnList with it.
func (t *Task) replaceIfNewer(list List) {
	t.mu.Lock()
	isNewer := list.ReadAt.After(t.list.ReadAt)
	if isNewer {
		t.list = list
	}
	t.mu.Unlock()
	if isNewer {
		t.options.OnList(list.VMs)
	}
}

// Get implements VMListService.
func (t *Task) Get(context.Context, *connect.Request[vmlistv1.GetRequest]) (*connect.Response[vmlistv1.GetResponse], error) {
	list := t.Current()
	if list.ReadAt.IsZero() {
		return connect.NewResponse(&vmlistv1.GetResponse{}), nil
	}
	data, err := json.Marshal(list.VMs)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&vmlistv1.GetResponse{Vms: data, AgeMs: time.Since(list.ReadAt).Milliseconds()}), nil
}
