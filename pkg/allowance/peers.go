package allowance

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	pursev1 "github.com/lavendershunt/lavendershunt/api/ls/purse/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/purse/v1/pursev1connect"
)

const (
	// maxAsked bounds the routers that are asked for one shortage; askedAtOnce are asked at the same time.
	maxAsked    = 8
	askedAtOnce = 4
	// answerTimeout is how long a request waits for an answer, and lateTimeout how long an answer may take so that its
	// tokens are not lost: a router on a small machine may answer after hundreds of ms.
	answerTimeout = 80 * time.Millisecond
	lateTimeout   = 3 * time.Second
	// drawForOthers bounds the time in which a home draws tokens for another router; it is below answerTimeout, because
	// the request there waits no longer.
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
func (r *RemotePeers) Ask(ctx context.Context, homes []string, organisation string, shortage Shortage, late func(int64)) (int64, bool) {
	known := r.Addresses()
	if shortage.HomesOnly {
		maps.DeleteFunc(known, func(name, _ string) bool { return !slices.Contains(homes, name) })
	}
	addresses := order(known, homes)
	complete := len(addresses) <= maxAsked
	addresses = addresses[:min(len(addresses), maxAsked)]
	var got int64
	for len(addresses) > 0 && got < shortage.Total && ctx.Err() == nil {
		batch := addresses[:min(askedAtOnce, len(addresses))]
		addresses = addresses[len(batch):]
		given, answered := r.askBatch(ctx, batch, organisation, shortage.left(got), late)
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

// given is one router's answer.
type given struct {
	tokens   int64
	answered bool
}

// askBatch asks some routers at the same time and waits for answerTimeout at the most. Tokens of an answer that comes
// later go to late, because the giver has taken them off its account.
func (r *RemotePeers) askBatch(ctx context.Context, addresses []string, organisation string, shortage Shortage, late func(int64)) (int64, bool) {
	answers := make(chan given, len(addresses))
	want := shortage.Want / int64(len(addresses))
	for _, address := range addresses {
		go func() { answers <- r.askOne(address, organisation, shortage.Next, want) }()
	}
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	var sum int64
	complete := true
	for waiting := len(addresses); waiting > 0; waiting-- {
		select {
		case g := <-answers:
			sum += g.tokens
			complete = complete && g.answered
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		go collect(answers, waiting, late)
		return sum, false
	}
	return sum, complete
}

func collect(answers <-chan given, waiting int, late func(int64)) {
	for range waiting {
		if g := <-answers; g.tokens > 0 {
			late(g.tokens)
		}
	}
}

func (r *RemotePeers) askOne(address, organisation string, need, want int64) given {
	ctx, cancel := context.WithTimeout(context.Background(), lateTimeout)
	defer cancel()
	client := pursev1connect.NewPurseServiceClient(r.Client, "http://"+address)
	response, err := client.Transfer(ctx, connect.NewRequest(&pursev1.TransferRequest{
		Organisation: organisation, Budget: budgetName, Need: need, Want: want, To: r.VM,
	}))
	if err != nil {
		r.Log.WithFields(log.Fields{"peer": address, "organisation": organisation}).WithError(err).Info("allowance_peer_silent")
		return given{}
	}
	return given{tokens: max(0, response.Msg.GetTokens()), answered: true}
}
