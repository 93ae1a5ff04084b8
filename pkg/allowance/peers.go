package allowance

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	pursev1 "github.com/lavendershunt/lavendershunt/api/ls/purse/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/purse/v1/pursev1connect"
)

const (
	// maxAsked bounds the routers that are asked for one shortage; askedAtOnce are asked at the same time.
	maxAsked    = 12
	askedAtOnce = 4
	// answerTimeout bounds one question.
	answerTimeout = 80 * time.Millisecond
	// drawForOthers bounds the time in which a home draws tokens for another router; it is below answerTimeout, because
	// an answer that comes too late loses the tokens.
	drawForOthers = 50 * time.Millisecond
	// budgetName is the budget of an organisation that the operator's configuration states.
	budgetName = "prepaid"
)

// Service answers questions of other routers.
type Service struct {
	pursev1connect.UnimplementedPurseServiceHandler
	book *Book
}

// NewService returns the service of a book.
func NewService(b *Book) *Service { return &Service{book: b} }

// Handler returns the path and the handler for the peer API.
func (s *Service) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return pursev1connect.NewPurseServiceHandler(s, options...)
}

// Transfer implements PurseService.
func (s *Service) Transfer(ctx context.Context, req *connect.Request[pursev1.TransferRequest]) (*connect.Response[pursev1.TransferResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, drawForOthers)
	defer cancel()
	given := s.book.Give(ctx, req.Msg.GetTo(), req.Msg.GetOrganisation(), req.Msg.GetNeed(), req.Msg.GetWant())
	return connect.NewResponse(&pursev1.TransferResponse{From: s.book.VM, Tokens: given}), nil
}

// RemotePeers implements Peers over the network.
type RemotePeers struct {
	// Addresses returns the peer addresses of the other routers by name.
	Addresses func() map[string]string
	Client    connect.HTTPClient
	VM        string
	Log       log.Interface
}

var _ Peers = (*RemotePeers)(nil)

// Ask implements Peers. The homes are asked first and then the others in random order, a few at a time, until the
// shortage is met.
func (r *RemotePeers) Ask(ctx context.Context, homes []string, organisation string, shortage Shortage) (int64, bool) {
	addresses := order(r.Addresses(), homes)
	complete := len(addresses) <= maxAsked
	addresses = addresses[:min(len(addresses), maxAsked)]
	var got int64
	for len(addresses) > 0 && got < shortage.Total && ctx.Err() == nil {
		batch := addresses[:min(askedAtOnce, len(addresses))]
		addresses = addresses[len(batch):]
		given, answered := r.askBatch(ctx, batch, organisation, shortage.left(got))
		got += given
		complete = complete && answered
	}
	return got, complete && (len(addresses) == 0 || got >= shortage.Total)
}

// order returns the addresses of the homes and then the others, both shuffled, so that the homes share the work.
func order(known map[string]string, homes []string) []string {
	var first, rest []string
	for name, address := range known {
		if slices.Contains(homes, name) {
			first = append(first, address)
		} else {
			rest = append(rest, address)
		}
	}
	for _, list := range [][]string{first, rest} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(first, rest...)
}

func (r *RemotePeers) askBatch(ctx context.Context, addresses []string, organisation string, shortage Shortage) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	var sum int64
	complete := true
	want := shortage.Want / int64(len(addresses))
	for _, address := range addresses {
		wait.Go(func() {
			client := pursev1connect.NewPurseServiceClient(r.Client, "http://"+address)
			response, err := client.Transfer(ctx, connect.NewRequest(&pursev1.TransferRequest{
				Organisation: organisation, Budget: budgetName, Need: shortage.Next, Want: want, To: r.VM,
			}))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				complete = false
				r.Log.WithFields(log.Fields{"peer": address, "organisation": organisation}).WithError(err).Info("allowance_peer_silent")
				return
			}
			sum += max(0, response.Msg.GetTokens())
		})
	}
	wait.Wait()
	return sum, complete
}
