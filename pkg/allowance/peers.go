package allowance

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	allowancev1 "github.com/lavendershunt/lavendershunt/api/ls/allowance/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/allowance/v1/allowancev1connect"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
)

const (
	// answerTimeout is how long a request waits for an answer.
	answerTimeout = 120 * time.Millisecond
	// lateAnswerTimeout is how long an answer may take without its tokens being lost: a router on a small machine may
	// answer after hundreds of ms.
	lateAnswerTimeout = 3 * time.Second
	// peerDrawTimeout bounds the time in which an allocator draws tokens for another router. It is below answerTimeout,
	// because the other router waits no longer than that.
	peerDrawTimeout = 80 * time.Millisecond
	// informTimeout bounds a call that informs an allocator.
	informTimeout = time.Second
	// unresponsiveDuration is the time during which a router that did not answer is asked last.
	unresponsiveDuration = 2 * time.Second
)

// Service serves requests for tokens from other routers.
type Service struct {
	allowancev1connect.UnimplementedAllowanceServiceHandler
	accounts *Accounts
}

// NewService returns the service of the accounts.
func NewService(acc *Accounts) *Service { return &Service{accounts: acc} }

// Handler returns the path and the handler for the peer API.
func (s *Service) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return allowancev1connect.NewAllowanceServiceHandler(s, options...)
}

// Give implements AllowanceService: it transfers tokens to the requesting router.
func (s *Service) Give(ctx context.Context, req *connect.Request[allowancev1.GiveRequest]) (*connect.Response[allowancev1.GiveResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, peerDrawTimeout)
	defer cancel()
	m := req.Msg
	if m.GetProbe() {
		return connect.NewResponse(&allowancev1.GiveResponse{ReachesStore: s.accounts.reachesStore(ctx, m.GetOrganisation())}), nil
	}
	transferred, exhausted := s.accounts.TransferOut(ctx, m.GetOrganisation(), m.GetNeed(), m.GetWant(), m.GetDraw())
	response := &allowancev1.GiveResponse{Tokens: transferred, Exhausted: exhausted}
	if m.GetDraw() && transferred < m.GetNeed() && !exhausted {
		response.Helper = s.accounts.Peers.Helper(m.GetOrganisation())
	}
	return connect.NewResponse(response), nil
}

// Inform implements AllowanceService: it records what routers have drawn, or returns what this router remembers of it.
func (s *Service) Inform(_ context.Context, req *connect.Request[allowancev1.InformRequest]) (*connect.Response[allowancev1.InformResponse], error) {
	response := &allowancev1.InformResponse{}
	if req.Msg.GetRecall() {
		for organisation, draws := range s.accounts.RecentDraws() {
			response.Organisations = append(response.Organisations, &allowancev1.OrganisationDraws{Organisation: organisation, Eras: encodeDraws(draws)})
		}
		return connect.NewResponse(response), nil
	}
	s.accounts.Learn(req.Msg.GetOrganisation(), decodeDraws(req.Msg.GetEras()))
	return connect.NewResponse(response), nil
}

func encodeDraws(draws Draws) []*allowancev1.EraDraws {
	var eras []*allowancev1.EraDraws
	for era, e := range draws {
		eras = append(eras, &allowancev1.EraDraws{Era: era, Writes: e.Writes, Drawn: e.Drawn})
	}
	return eras
}

func decodeDraws(eras []*allowancev1.EraDraws) Draws {
	draws := Draws{}
	for _, e := range eras {
		draws[e.GetEra()] = EraDraws{Writes: e.GetWrites(), Drawn: e.GetDrawn()}
	}
	return draws
}

// RemotePeers implements Peers over the network.
type RemotePeers struct {
	// Addresses returns the peer addresses of the other routers by name.
	Addresses func() map[string]string
	Client    connect.HTTPClient
	Log       log.Interface

	mu sync.Mutex
	// unresponsiveUntil holds the routers that did not answer, with the time until which others are asked before them.
	unresponsiveUntil map[string]time.Time
	// search finds a router that reaches the store while the allocators don't.
	search helperSearch
}

var _ Peers = (*RemotePeers)(nil)

// peer is another router.
type peer struct {
	name, address string
}

// RequestTokens implements Peers. While the allocators may draw, they are asked one after the other, so that the first
// one transfers what is needed and the others nothing. Otherwise all are asked at once for tokens that they hold.
func (r *RemotePeers) RequestTokens(ctx context.Context, allocators []string, organisation string, shortage Shortage, late func(int64)) RequestResult {
	peers := r.orderPeers(allocators)
	result := RequestResult{Complete: true}
	batchSize := 1
	if shortage.NoDraw {
		batchSize = max(1, len(peers))
	}
	for batch := range slices.Chunk(peers, batchSize) {
		r.requestFromBatch(ctx, &result, batch, organisation, shortage, late)
		if result.Exhausted || result.Tokens >= shortage.Total || ctx.Err() != nil {
			break
		}
	}
	if !shortage.NoDraw && !result.Exhausted && result.Tokens < shortage.Total && ctx.Err() == nil {
		r.requestFromHelper(ctx, &result, allocators, organisation, shortage, late)
	}
	result.Complete = result.Complete && ctx.Err() == nil
	return result
}

// Inform implements Peers.
func (r *RemotePeers) Inform(allocators []string, organisation string, draws Draws) {
	request := &allowancev1.InformRequest{Organisation: organisation, Eras: encodeDraws(draws)}
	for _, p := range r.orderPeers(allocators) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), informTimeout)
			defer cancel()
			if _, err := r.client(p).Inform(ctx, connect.NewRequest(request)); err != nil {
				r.Log.WithFields(log.Fields{"peer": p.name, "organisation": organisation}).WithError(err).Info("allowance_peer_not_informed")
			}
		}()
	}
}

// Routers implements Peers.
func (r *RemotePeers) Routers() []string { return slices.Collect(maps.Keys(r.Addresses())) }

// Recall implements Peers. A router of an earlier version returns nothing.
func (r *RemotePeers) Recall(ctx context.Context, router string) (map[string]Draws, error) {
	address, ok := r.Addresses()[router]
	if !ok {
		return nil, fmt.Errorf("allowance: the address of %s is not known", router)
	}
	response, err := r.client(peer{router, address}).Inform(ctx, connect.NewRequest(&allowancev1.InformRequest{Recall: true}))
	if err != nil {
		return nil, err
	}
	recalled := map[string]Draws{}
	for _, o := range response.Msg.GetOrganisations() {
		recalled[o.GetOrganisation()] = decodeDraws(o.GetEras())
	}
	return recalled, nil
}

func (r *RemotePeers) client(p peer) allowancev1connect.AllowanceServiceClient {
	return allowancev1connect.NewAllowanceServiceClient(r.Client, "http://"+p.address, connect.WithReadMaxBytes(peerhttp.MaxMessageBytes))
}

// orderPeers returns the other allocators in order, followed by those that did not answer recently.
func (r *RemotePeers) orderPeers(allocators []string) []peer {
	addresses := r.Addresses()
	var responsive, unresponsive []peer
	for _, name := range allocators {
		address, ok := addresses[name]
		switch {
		case !ok: // This router itself.
		case r.isUnresponsive(name):
			unresponsive = append(unresponsive, peer{name, address})
		default:
			responsive = append(responsive, peer{name, address})
		}
	}
	return append(responsive, unresponsive...)
}

func (r *RemotePeers) isUnresponsive(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.unresponsiveUntil[name])
}

func (r *RemotePeers) recordAnswer(name string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.unresponsiveUntil, name)
		return
	}
	if r.unresponsiveUntil == nil {
		r.unresponsiveUntil = map[string]time.Time{}
	}
	r.unresponsiveUntil[name] = time.Now().Add(unresponsiveDuration)
}

// peerAnswer is one router's answer. from is the router's name, and answered is false if the call failed.
type peerAnswer struct {
	from      string
	tokens    int64
	exhausted bool
	answered  bool
	// helper is another router that reaches the store, as this one knows.
	helper string
}

// requestFromBatch asks some routers at the same time for what the result doesn't cover yet and adds their answers to
// the result. It waits for at most answerTimeout. Tokens that arrive later go to late, because the sending router has
// deducted them from its account.
func (r *RemotePeers) requestFromBatch(ctx context.Context, result *RequestResult, batch []peer, organisation string, shortage Shortage, late func(int64)) {
	remaining := shortage.reducedBy(result.Tokens)
	answers := make(chan peerAnswer, len(batch))
	for _, p := range batch {
		go func() {
			answers <- r.requestFromPeer(p, &allowancev1.GiveRequest{
				Organisation: organisation, Need: remaining.Next, Want: (remaining.Total + remaining.Ahead) / int64(len(batch)), Draw: !shortage.NoDraw,
			})
		}()
	}
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	unanswered := map[string]bool{}
	for _, p := range batch {
		unanswered[p.name] = true
	}
	for pending := len(batch); pending > 0; pending-- {
		select {
		case a := <-answers:
			delete(unanswered, a.from)
			r.recordAnswer(a.from, a.answered)
			r.learnHelper(a.helper)
			result.Tokens += a.tokens
			result.Exhausted = result.Exhausted || a.exhausted
			result.Complete = result.Complete && a.answered
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		result.Complete = false
		for name := range unanswered {
			r.recordAnswer(name, false)
		}
		go collectLateAnswers(answers, pending, late)
		return
	}
}

func collectLateAnswers(answers <-chan peerAnswer, pending int, late func(int64)) {
	for range pending {
		if a := <-answers; a.tokens > 0 {
			late(a.tokens)
		}
	}
}

func (r *RemotePeers) requestFromPeer(p peer, request *allowancev1.GiveRequest) peerAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), lateAnswerTimeout)
	defer cancel()
	response, err := r.client(p).Give(ctx, connect.NewRequest(request))
	if err != nil {
		r.Log.WithFields(log.Fields{"peer": p.name, "organisation": request.GetOrganisation()}).WithError(err).Info("allowance_peer_silent")
		return peerAnswer{from: p.name}
	}
	return peerAnswer{from: p.name, tokens: max(0, response.Msg.GetTokens()), exhausted: response.Msg.GetExhausted(), answered: true, helper: response.Msg.GetHelper()}
}
