// Package vmlist keeps the platform's VM list up to date. A router that can't reach the platform takes the list
// from another router, so that leaving VMs become known as long as any path exists.
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
	// callTimeout bounds the read from the platform and from a peer; both fit into the 3 s within which a leaving
	// endpoint must get no more work.
	callTimeout = 700 * time.Millisecond
	// peersAsked is the number of routers that are asked in one round when the platform does not answer.
	peersAsked = 2
)

// List is a VM list.
type List struct {
	VMs []platform.VM
	// Read is the time at which the list was read from the platform; zero if there is no list.
	Read time.Time
}

// Options configure a Task.
type Options struct {
	Platform platform.Store
	Members  member.View
	Client   connect.HTTPClient
	// Interval is the time between two reads.
	Interval time.Duration
	// OnList is called with each newer list.
	OnList func([]platform.VM)
	Log    log.Interface
}

// Task reads the list periodically. It implements the VMListService.
type Task struct {
	options Options
	mu      sync.Mutex
	list    List
}

var _ vmlistv1connect.VMListServiceHandler = (*Task)(nil)

// New returns a task without a list. Run must be called.
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

// Run reads the list until ctx ends.
func (t *Task) Run(ctx context.Context) {
	ticker := time.NewTicker(t.options.Interval)
	defer ticker.Stop()
	for {
		t.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step reads from the platform, or from peers if that fails.
func (t *Task) step(ctx context.Context) {
	err := t.readPlatform(ctx)
	if err == nil {
		return
	}
	t.options.Log.WithError(err).Debug("VM list not read from the platform")
	for _, m := range t.pickPeers() {
		if err := t.readPeer(ctx, m.PeerAddress); err != nil {
			t.options.Log.WithError(err).WithField("peer", m.Instance).Debug("VM list not read from a peer")
		}
	}
}

func (t *Task) readPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	vms, err := t.options.Platform.VMs(ctx)
	if err != nil {
		return err
	}
	t.accept(List{VMs: vms, Read: started})
	return nil
}

func (t *Task) pickPeers() []member.Member {
	self := t.options.Members.Self().Instance
	var usable []member.Member
	for _, m := range t.options.Members.Members() {
		if m.Instance != self && m.State != member.Failed {
			usable = append(usable, m)
		}
	}
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	return usable[:min(peersAsked, len(usable))]
}

func (t *Task) readPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := vmlistv1connect.NewVMListServiceClient(t.options.Client, "http://"+address)
	response, err := client.Get(ctx, connect.NewRequest(&vmlistv1.GetRequest{}))
	if err != nil {
		return fmt.Errorf("vmlist: %w", err)
	}
	if len(response.Msg.GetVms()) == 0 {
		return nil
	}
	var vms []platform.VM
	if err := json.Unmarshal(response.Msg.GetVms(), &vms); err != nil {
		return fmt.Errorf("vmlist: decode list of %s: %w", address, err)
	}
	t.accept(List{VMs: vms, Read: time.Now().Add(-time.Duration(response.Msg.GetAgeMs()) * time.Millisecond)})
	return nil
}

// accept takes over a list that was read later than the present one.
func (t *Task) accept(list List) {
	t.mu.Lock()
	newer := list.Read.After(t.list.Read)
	if newer {
		t.list = list
	}
	t.mu.Unlock()
	if newer {
		t.options.OnList(list.VMs)
	}
}

// Get implements VMListService.
func (t *Task) Get(context.Context, *connect.Request[vmlistv1.GetRequest]) (*connect.Response[vmlistv1.GetResponse], error) {
	list := t.Current()
	if list.Read.IsZero() {
		return connect.NewResponse(&vmlistv1.GetResponse{}), nil
	}
	data, err := json.Marshal(list.VMs)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&vmlistv1.GetResponse{Vms: data, AgeMs: time.Since(list.Read).Milliseconds()}), nil
}
