package origin

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	originv1 "github.com/lavendershunt/lavendershunt/api/ls/origin/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/origin/v1/originv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
)

// announceTimeout bounds an announcement.
const announceTimeout = time.Second

// Service serves the registry to other routers.
type Service struct {
	originv1connect.UnimplementedOriginServiceHandler
	registry *Registry
}

// NewService returns the service of the registry.
func NewService(r *Registry) *Service { return &Service{registry: r} }

// Handler returns the path and the handler for the peer API.
func (s *Service) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return originv1connect.NewOriginServiceHandler(s, options...)
}

// Announce implements OriginService.
func (s *Service) Announce(_ context.Context, req *connect.Request[originv1.AnnounceRequest]) (*connect.Response[originv1.AnnounceResponse], error) {
	began := make(map[string]Began, len(req.Msg.GetOrigins()))
	for _, o := range req.Msg.GetOrigins() {
		began[o.GetStream()] = Began{Software: o.GetSoftware(), Unproven: o.GetUnproven()}
	}
	s.registry.Learn(began)
	return connect.NewResponse(&originv1.AnnounceResponse{}), nil
}

// Find implements OriginService.
func (s *Service) Find(_ context.Context, req *connect.Request[originv1.FindRequest]) (*connect.Response[originv1.FindResponse], error) {
	f := s.registry.Answer(req.Msg.GetStream(), req.Msg.GetService())
	return connect.NewResponse(&originv1.FindResponse{Found: f.Found, Software: f.Software, Mixed: f.Mixed}), nil
}

// RemotePeers implements Peers over the network.
type RemotePeers struct {
	// Addresses returns the peer addresses of the other routers by name.
	Addresses func() map[string]string
	Client    connect.HTTPClient
	Log       log.Interface
}

var _ Peers = (*RemotePeers)(nil)

func (p *RemotePeers) client(address string) originv1connect.OriginServiceClient {
	return originv1connect.NewOriginServiceClient(p.Client, "http://"+address, connect.WithReadMaxBytes(peerhttp.MaxMessageBytes))
}

// Announce implements Peers.
func (p *RemotePeers) Announce(router string, began map[string]Began) {
	address, ok := p.Addresses()[router]
	if !ok {
		return // This router itself, or one that is no longer alive.
	}
	request := &originv1.AnnounceRequest{}
	for id, b := range began {
		request.Origins = append(request.Origins, &originv1.Origin{Stream: id, Software: b.Software, Unproven: b.Unproven})
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		if _, err := p.client(address).Announce(ctx, connect.NewRequest(request)); err != nil {
			p.Log.WithFields(log.Fields{"peer": router, "streams": len(began)}).WithError(err).Info("streams_not_announced")
		}
	}()
}

// Find implements Peers.
func (p *RemotePeers) Find(ctx context.Context, routers []string, stream, service string) Finding {
	addresses := p.Addresses()
	answers := make(chan *originv1.FindResponse, len(routers))
	pending := 0
	for _, router := range routers {
		address, ok := addresses[router]
		if !ok {
			continue
		}
		pending++
		go func() {
			response, err := p.client(address).Find(ctx, connect.NewRequest(&originv1.FindRequest{Stream: stream, Service: service}))
			if err != nil {
				p.Log.WithFields(log.Fields{"peer": router, "stream": stream}).WithError(err).Info("stream_not_found_at_peer")
				answers <- nil
				return
			}
			answers <- response.Msg
		}()
	}
	finding := Finding{Answered: len(addresses) == 0}
	for ; pending > 0; pending-- {
		select {
		case a := <-answers:
			finding.Answered = finding.Answered || a != nil
			finding.Mixed = finding.Mixed || a.GetMixed()
			if a.GetFound() {
				finding.Found, finding.Software = true, a.GetSoftware()
				return finding
			}
		case <-ctx.Done():
			return finding
		}
	}
	return finding
}
