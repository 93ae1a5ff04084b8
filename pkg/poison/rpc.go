package poison

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	poisonv1 "github.com/lavendershunt/lavendershunt/api/ls/poison/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/poison/v1/poisonv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/member"
)

// Handler returns the path and the HTTP handler for the calls of other routers, to be served on the peer listener.
func (g *Guard) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return poisonv1connect.NewPoisonServiceHandler(server{guard: g}, options...)
}

type server struct{ guard *Guard }

func (s server) Spread(
	_ context.Context, r *connect.Request[poisonv1.SpreadRequest],
) (*connect.Response[poisonv1.SpreadResponse], error) {
	records := make([]Record, len(r.Msg.GetRecords()))
	for i, m := range r.Msg.GetRecords() {
		records[i] = fromMessage(m)
	}
	s.guard.Receive(records)
	return connect.NewResponse(&poisonv1.SpreadResponse{}), nil
}

func (s server) Reserve(
	_ context.Context, r *connect.Request[poisonv1.ReserveRequest],
) (*connect.Response[poisonv1.ReserveResponse], error) {
	granted := s.guard.Grant(r.Msg.GetKey(), Attempt{Holder: r.Msg.GetHolder(), Number: r.Msg.GetAttempt()})
	return connect.NewResponse(&poisonv1.ReserveResponse{Granted: granted}), nil
}

func (s server) Release(
	_ context.Context, r *connect.Request[poisonv1.ReleaseRequest],
) (*connect.Response[poisonv1.ReleaseResponse], error) {
	s.guard.Revoke(r.Msg.GetKey(), Attempt{Holder: r.Msg.GetHolder(), Number: r.Msg.GetAttempt()})
	return connect.NewResponse(&poisonv1.ReleaseResponse{}), nil
}

// NewPeers returns Peers that call the members' peer addresses through the client, which must speak unencrypted
// HTTP/2 or HTTP/1.1.
func NewPeers(client connect.HTTPClient) Peers { return peers{client: client} }

type peers struct{ client connect.HTTPClient }

func (p peers) clientFor(m member.Member) poisonv1connect.PoisonServiceClient {
	return poisonv1connect.NewPoisonServiceClient(p.client, "http://"+m.PeerAddress)
}

func (p peers) SendRecords(ctx context.Context, to member.Member, records []Record) error {
	request := &poisonv1.SpreadRequest{Records: make([]*poisonv1.Record, len(records))}
	for i, r := range records {
		request.Records[i] = toMessage(r)
	}
	_, err := p.clientFor(to).Spread(ctx, connect.NewRequest(request))
	return err
}

func (p peers) Reserve(ctx context.Context, owner member.Member, key string, a Attempt) (bool, error) {
	response, err := p.clientFor(owner).Reserve(ctx, connect.NewRequest(&poisonv1.ReserveRequest{
		Key: key, Holder: a.Holder, Attempt: a.Number,
	}))
	if err != nil {
		return false, err
	}
	return response.Msg.GetGranted(), nil
}

func (p peers) Release(ctx context.Context, owner member.Member, key string, a Attempt) error {
	_, err := p.clientFor(owner).Release(ctx, connect.NewRequest(&poisonv1.ReleaseRequest{
		Key: key, Holder: a.Holder, Attempt: a.Number,
	}))
	return err
}

func toMessage(r Record) *poisonv1.Record {
	m := &poisonv1.Record{Organisation: r.Fingerprint.Organisation, BodyHash: r.Fingerprint.BodyHash}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &poisonv1.Crash{Vm: c.VM, Observer: c.Observer, AtMs: c.At.UnixMilli()})
	}
	if !r.ClearedAt.IsZero() {
		m.ClearedMs = r.ClearedAt.UnixMilli()
	}
	return m
}

func fromMessage(m *poisonv1.Record) Record {
	r := Record{Fingerprint: Fingerprint{Organisation: m.GetOrganisation(), BodyHash: m.GetBodyHash()}}
	for _, c := range m.GetCrashes() {
		r.Crashes = append(r.Crashes, Crash{VM: c.GetVm(), Observer: c.GetObserver(), At: time.UnixMilli(c.GetAtMs())})
	}
	if m.GetClearedMs() != 0 {
		r.ClearedAt = time.UnixMilli(m.GetClearedMs())
	}
	return r
}
