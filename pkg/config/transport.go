package config

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	configv1 "github.com/lavendershunt/lavendershunt/api/ls/config/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/config/v1/configv1connect"
)

// maxMessageBytes limits a received message; a page is smaller.
const maxMessageBytes = 4 << 20

// PeerTransport implements Transport over connect-go.
type PeerTransport struct {
	// Client must speak unencrypted HTTP/2.
	Client connect.HTTPClient
}

var _ Transport = PeerTransport{}

func (t PeerTransport) client(address string) configv1connect.ConfigServiceClient {
	return configv1connect.NewConfigServiceClient(t.Client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// Push implements Transport.
func (t PeerTransport) Push(ctx context.Context, address string, entries []Entry) error {
	_, err := t.client(address).Push(ctx, connect.NewRequest(&configv1.PushRequest{Entries: toWire(entries)}))
	return err
}

// Exchange implements Transport.
func (t PeerTransport) Exchange(ctx context.Context, address string, r Request) (Page, time.Duration, error) {
	response, err := t.client(address).Exchange(ctx, connect.NewRequest(requestToWire(r)))
	if err != nil {
		return Page{}, 0, err
	}
	m := response.Msg
	page := Page{
		Summary: Summary{Hash: m.GetHash(), Floor: m.GetFloor(), Loaded: m.GetLoaded()},
		Entries: fromWire(m.GetEntries()), More: m.GetMore(), Complete: m.GetComplete(), Declined: m.GetDeclined(),
	}
	return page, time.Duration(m.GetAgeMs()) * time.Millisecond, nil
}

// Handler returns the path and the HTTP handler of the peer service.
func (r *Replicator) Handler() (string, http.Handler) {
	return configv1connect.NewConfigServiceHandler(peerServer{r}, connect.WithReadMaxBytes(maxMessageBytes))
}

type peerServer struct{ replicator *Replicator }

// Push implements the ConfigService.
func (p peerServer) Push(_ context.Context, req *connect.Request[configv1.PushRequest]) (*connect.Response[configv1.PushResponse], error) {
	p.replicator.Receive(fromWire(req.Msg.GetEntries()))
	return connect.NewResponse(&configv1.PushResponse{}), nil
}

// Exchange implements the ConfigService.
func (p peerServer) Exchange(_ context.Context, req *connect.Request[configv1.ExchangeRequest]) (*connect.Response[configv1.ExchangeResponse], error) {
	m := req.Msg
	page := p.replicator.options.Store.Answer(Request{
		Summary: Summary{Hash: m.GetHash(), Floor: m.GetFloor(), Loaded: m.GetLoaded()},
		After:   m.GetAfter(), Full: m.GetFull(),
	})
	return connect.NewResponse(pageToWire(page, p.replicator.SinceConfirmed())), nil
}

func requestToWire(r Request) *configv1.ExchangeRequest {
	return &configv1.ExchangeRequest{Hash: r.Hash, Floor: r.Floor, Loaded: r.Loaded, After: r.After, Full: r.Full}
}

func pageToWire(p Page, sinceConfirmed time.Duration) *configv1.ExchangeResponse {
	response := &configv1.ExchangeResponse{
		Hash: p.Hash, Floor: p.Floor, Loaded: p.Loaded, Entries: toWire(p.Entries),
		More: p.More, Complete: p.Complete, Declined: p.Declined, AgeMs: sinceConfirmed.Milliseconds(),
	}
	if sinceConfirmed < 0 {
		response.AgeMs = -1
	}
	return response
}

func toWire(entries []Entry) []*configv1.Entry {
	wire := make([]*configv1.Entry, len(entries))
	for i, e := range entries {
		wire[i] = &configv1.Entry{Key: e.Key, Revision: e.Revision, Value: e.Value, Deleted: e.Deleted}
	}
	return wire
}

func fromWire(wire []*configv1.Entry) []Entry {
	entries := make([]Entry, len(wire))
	for i, w := range wire {
		entries[i] = Entry{Key: w.GetKey(), Revision: w.GetRevision(), Value: w.GetValue(), Deleted: w.GetDeleted()}
	}
	return entries
}
