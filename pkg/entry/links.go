package entry

import (
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/reach"
	"github.com/lavendershunt/lavendershunt/pkg/remote"
)

// newLinks creates what watches the links to the endpoints, and sends requests through other routers while they are lost.
func (r *Router) newLinks(peers connect.HTTPClient) {
	r.links = reach.NewMonitor(reach.MonitorOptions{Listed: r.listedAddresses, Connect: r.client.Connect, Changed: r.linksChanged, Log: r.log})
	r.client.OnAttempt = func(a reach.Attempt) {
		if isLinkEvidence(a, r.linkMeter, r.client.ReceivedSince) {
			r.links.Record(a)
		}
	}
	r.remote = remote.NewClient(remote.Options{Cut: r.links.IsCut, Refusing: r.links.IsRefusing, AwaitCheck: r.links.AwaitCheck, Peers: r.primaryPeers, HTTP: peers, Log: r.log})
}

// listedAddresses returns the addresses that were published last.
func (r *Router) listedAddresses() []string {
	if list := r.liveEndpoints.Load(); list != nil {
		return *list
	}
	return nil
}

// isLinkEvidence reports whether a connection attempt tells whether the VM has lost its links. An attempt that times out while
// callers fill the VM's own link doesn't, and neither does one during which bytes of an endpoint arrived: the queue of a full link
// outlasts the bytes that callers sent.
func isLinkEvidence(a reach.Attempt, link *linkMeter, receivedSince func(time.Time) bool) bool {
	if a.Connected || a.Refused {
		return true
	}
	return !receivedSince(a.Started) && (link == nil || !link.isFull(a.Ended, a.Ended.Sub(a.Started)))
}

// liveAddresses returns the distinct addresses of the endpoints that are not leaving, in order.
func liveAddresses(vms []platform.VM) []string {
	var addresses []string
	for _, vm := range vms {
		if vm.State == platform.VMLive {
			addresses = append(addresses, vm.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses) // An entry that is out of date may name an address that is used again.
}

func (r *Router) primaryPeers() []remote.Peer {
	var list []remote.Peer
	for _, p := range r.roster.PrimaryPeers() {
		list = append(list, remote.Peer{Name: p.Name, Address: p.Address, Region: r.settings.Regions[p.Zone]})
	}
	return list
}

// linksChanged is called when the VM has lost its links to all endpoints, or has them back.
func (r *Router) linksChanged(cut bool, lostSince time.Time) {
	r.remote.SetCut(cut)
	r.client.SetLinksLost(cut)
	r.roster.SetLinksLost(cut)
	if !cut {
		r.placement.ForgiveFailures(lostSince)
	}
	if cut && !r.links.IsRefusing() {
		r.client.CloseIdleExcept(nil) // Requests on these connections would hang.
	}
}
