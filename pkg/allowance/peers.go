package allowance

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	allowancev1 "github.com/lavendershunt/lavendershunt/api/ls/allowance/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/allowance/v1/allowancev1connect"
)

const (
	// answerTimeout is how long a request waits for an answer, and lateTimeout how long an answer may take so that its
	// tokens are not lost: a router on a small machine may answer after hundreds of ms.
	answerTimeout = 120 * time.Millisecond
	lateTimeout   = 3 * time.Second
	// drawForOthers bounds the time in which an allocator draws tokens for another router; it is below answerTimeout,
	// because the request there waits no longer.
	drawForOthers = 80 * time.Millisecond
	// silentTime is how long a router that did not answer is asked after the others.
	silentTime = 2 * time.Second
)

// Service answers questions of other routers.
type Service struct {
	allowancev1connect.UnimplementedAllowanceServiceHandler
	accounts *Accounts
}

// NewService returns the service of the accounts.
func NewService(b *Accounts) *Service { return &Service{accounts: b} }

// Handler returns the path and the handler for the peer API.
func (s *Service) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return allowancev1connect.NewAllowanceServiceHandler(s, options...)
}

// Give implements AllowanceService.
func (s *Service) Give(ctx context.Context, req *connect.Request[allowancev1.GiveRequest]) (*connect.Response[allowancev1.GiveResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, drawForOthers)
	defer cancel()
	m := req.Msg
	given, exhausted := s.accounts.TransferOut(ctx, m.GetOrganisation(), m.GetNeed(), m.GetWant(), m.GetDraw())
	return connect.NewResponse(&allowancev1.GiveResponse{Tokens: given, Exhausted: exhausted}), nil
}

// RemotePeers implements Peers over the network.
type RemotePeers struct {
	// Addresses returns the peer addresses of the other routers by name.
	Addresses func() map[string]string
	Client    connect.HTTPClient
	Log       log.Interface

	mu sync.Mutex
	// silent holds the routers that did not answer, with the time until which others are asked before them.
	silent map[string]time.Time
}

var _ Peers = (*RemotePeers)(nil)

// peer is another router.
type peer struct {
	name, address string
}

// RequestTokens implements Peers. While the allocators may draw, one is asked after the other, so that the first one
// gives what is needed and no more. Otherwise all are asked at once for what they hold.
func (r *RemotePeers) RequestTokens(ctx context.Context, allocators []string, organisation string, shortage Shortage, late func(int64)) Answer {
	peers := r.order(allocators)
	answer := Answer{Complete: true}
	size := 1
	if shortage.NoDraw {
		size = max(1, len(peers))
	}
	for batch := range slices.Chunk(peers, size) {
		r.askBatch(ctx, &answer, batch, organisation, shortage, late)
		if answer.Exhausted || answer.Tokens >= shortage.Total || ctx.Err() != nil {
			break
		}
	}
	answer.Complete = answer.Complete && ctx.Err() == nil
	return answer
}

// order returns the other allocators, those that did not answer lately at the end.
func (r *RemotePeers) order(allocators []string) []peer {
	known := r.Addresses()
	var first, last []peer
	for _, name := range allocators {
		address, ok := known[name]
		switch {
		case !ok: // This router itself.
		case r.isSilent(name):
			last = append(last, peer{name, address})
		default:
			first = append(first, peer{name, address})
		}
	}
	return append(first, last...)
}

func (r *RemotePeers) isSilent(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.silent[name])
}

func (r *RemotePeers) noteAnswer(name string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.silent, name)
		return
	}
	if r.silent == nil {
		r.silent = map[string]time.Time{}
	}
	r.silent[name] = time.Now().Add(silentTime)
}

// given is one router's answer.
type given struct {
	from      string
	tokens    int64
	exhausted bool
	answered  bool
}

// askBatch asks some routers at the same time for what the answer lacks and waits for answerTimeout at the most. Tokens
// that come later go to late, because the giver has taken them off its account.
func (r *RemotePeers) askBatch(ctx context.Context, answer *Answer, batch []peer, organisation string, shortage Shortage, late func(int64)) {
	left := shortage.left(answer.Tokens)
	answers := make(chan given, len(batch))
	for _, p := range batch {
		go func() {
			answers <- r.askOne(p, &allowancev1.GiveRequest{
				Organisation: organisation, Need: left.Next, Want: left.Total / int64(len(batch)), Draw: !shortage.NoDraw,
			})
		}()
	}
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	silent := map[string]bool{}
	for _, p := range batch {
		silent[p.name] = true
	}
	for waiting := len(batch); waiting > 0; waiting-- {
		select {
		case g := <-answers:
			delete(silent, g.from)
			r.noteAnswer(g.from, g.answered)
			answer.Tokens += g.tokens
			answer.Exhausted = answer.Exhausted || g.exhausted
			answer.Complete = answer.Complete && g.answered
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		answer.Complete = false
		for name := range silent {
			r.noteAnswer(name, false)
		}
		go collect(answers, waiting, late)
		return
	}
}

func collect(answers <-chan given, waiting int, late func(int64)) {
	for range waiting {
		if g := <-answers; g.tokens > 0 {
			late(g.tokens)
		}
	}
}

func (r *RemotePeers) askOne(p peer, question *allowancev1.GiveRequest) given {
	ctx, cancel := context.WithTimeout(context.Background(), lateTimeout)
	defer cancel()
	client := allowancev1connect.NewAllowanceServiceClient(r.Client, "http://"+p.address)
	response, err := client.Give(ctx, connect.NewRequest(question))
	if err != nil {
		r.Log.WithFields(log.Fields{"peer": p.name, "organisation": question.GetOrganisation()}).WithError(err).Info("allowance_peer_silent")
		return given{from: p.name}
	}
	return given{from: p.name, tokens: max(0, response.Msg.GetTokens()), exhausted: response.Msg.GetExhausted(), answered: true}
}
