package remote

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	forwardv1 "github.com/lavendershunt/lavendershunt/api/ls/forward/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/forward/v1/forwardv1connect"
	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/forward"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

const (
	// checkInterval is the time between two rounds of questions to other routers, and checkTimeout bounds a question.
	checkInterval = 250 * time.Millisecond
	checkTimeout  = 200 * time.Millisecond
	// maxChecked is the number of routers that are asked in a round.
	maxChecked = 8
	// maxTries is the number of routers that may decline a request before it counts as not sent.
	maxTries = 3
	// ableRetention is how long a router that could forward counts as able without another answer: on a busy VM questions time out
	// while requests are served.
	ableRetention = 2 * time.Second
	// acceptTimeout bounds the time until another router accepts or declines a request. Afterwards it may run there. A busy VM takes
	// hundreds of ms.
	acceptTimeout = time.Second
)

// errNoAcceptance means that another router neither accepted nor declined a request in time.
var errNoAcceptance = errors.New("remote: the other router doesn't accept the request in time")

// Peer is another router. Region is that of its VM, empty if it isn't known.
type Peer struct{ Name, Address, Region string }

// Options contains the dependencies of a Client.
type Options struct {
	// Cut reports whether the VM has lost its links, and Refusing whether own connection attempts fail at once.
	Cut, Refusing func() bool
	// AwaitCheck waits until it is known whether the VM has lost its links, and returns it.
	AwaitCheck func(ctx context.Context) bool
	// Peers returns the other routers that may serve.
	Peers func() []Peer
	HTTP  connect.HTTPClient
	Log   log.Interface
}

// Client sends requests through other routers while this VM has lost its links to all endpoints. It implements forward.Remote
// and is safe for concurrent use.
type Client struct {
	Options

	mu sync.Mutex
	// able are the routers that can forward by their last answers, with the time of the answer. round is closed at the end of the
	// first round of questions.
	able  map[Peer]time.Time
	round chan struct{}
	// logged is the number of able routers in the last log line.
	logged int
	// wake has an element after the VM has lost its links.
	wake chan struct{}
}

var _ forward.Remote = (*Client)(nil)

// NewClient returns a Client.
func NewClient(o Options) *Client {
	return &Client{Options: o, able: map[Peer]time.Time{}, wake: make(chan struct{}, 1), round: make(chan struct{})}
}

// IsNeeded implements forward.Remote.
func (c *Client) IsNeeded() bool { return c.Cut() }

// IsRefusing implements forward.Remote.
func (c *Client) IsRefusing() bool { return c.Refusing() }

// AwaitCheck implements forward.Remote.
func (c *Client) AwaitCheck(ctx context.Context) bool { return c.Options.AwaitCheck(ctx) }

// SetCut is called when the VM has lost its links or has them back.
func (c *Client) SetCut(cut bool) {
	c.mu.Lock()
	clear(c.able)
	c.round = make(chan struct{})
	c.mu.Unlock()
	if !cut {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run asks other routers whether they can forward while this is needed, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.Cut() {
			c.ask(ctx)
			if !sleep.For(ctx, checkInterval) {
				return
			}
		}
	}
}

// ask asks some other routers whether they can forward.
func (c *Client) ask(ctx context.Context) {
	peers := c.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(maxChecked, len(peers))]
	var asking conc.WaitGroup
	for _, p := range peers {
		asking.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, checkTimeout)
			defer cancel()
			answer, err := c.client(p).Check(ctx, connect.NewRequest(&forwardv1.CheckRequest{}))
			if err != nil {
				c.Log.WithField("peer", p.Name).WithError(err).Info("peer_check_failed")
				return
			}
			c.setAble(p, answer.Msg.GetCanForward())
		})
	}
	asking.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	before := len(c.able)
	for p, at := range c.able {
		if time.Since(at) > ableRetention {
			delete(c.able, p)
		}
	}
	if len(c.able) != c.logged {
		c.logged = len(c.able)
		c.Log.WithFields(log.Fields{"asked": len(peers), "able": len(c.able), "expired": before - len(c.able)}).Info("peers_can_forward")
	}
	select {
	case <-c.round:
	default:
		close(c.round)
	}
}

// setAble records whether the router can forward.
func (c *Client) setAble(p Peer, able bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if able {
		c.able[p] = time.Now()
		return
	}
	delete(c.able, p)
}

// choose returns a router in one of the homes that can forward, after the first round of questions.
func (c *Client) choose(ctx context.Context, homes catalog.Homes, declined map[string]bool) (Peer, bool) {
	c.mu.Lock()
	round := c.round
	c.mu.Unlock()
	select {
	case <-round:
	case <-ctx.Done():
		return Peer{}, false
	case <-time.After(checkTimeout):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []Peer
	for p := range c.able {
		if !declined[p.Name] && homes.Allow(p.Region) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// Send implements forward.Remote.
func (c *Client) Send(ctx context.Context, r forward.RemoteRequest) (*forward.RemoteResponse, error) {
	declined := map[string]bool{}
	var last error
	for range maxTries {
		peer, ok := c.choose(ctx, r.Homes, declined)
		if !ok {
			break
		}
		response, err := c.sendTo(ctx, peer, r)
		if err == nil || ctx.Err() == nil {
			c.setAble(peer, err == nil)
		}
		if err == nil || !errors.Is(err, upstream.ErrNotSent) {
			return response, err
		}
		last = err
		declined[peer.Name] = true
	}
	if last == nil {
		last = fmt.Errorf("%w: remote: no other router reaches the endpoints", upstream.ErrNotSent)
	}
	return nil, last
}

// sendTo sends the request through the router and waits for the head of the answer.
func (c *Client) sendTo(ctx context.Context, peer Peer, r forward.RemoteRequest) (*forward.RemoteResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	acceptance := time.AfterFunc(acceptTimeout, func() { cancel(errNoAcceptance) })
	stream, err := c.client(peer).Forward(ctx, connect.NewRequest(encodeRequest(r)))
	if err != nil {
		acceptance.Stop()
		cancel(nil)
		return nil, fmt.Errorf("%w: %w", sendError(ctx, err), err)
	}
	a := &answer{stream: stream, cancel: cancel, progress: forward.RemoteProgress{Attempts: r.Attempts}}
	response := &forward.RemoteResponse{Router: peer.Name, Progress: a.snapshot}
	if !stream.Receive() || stream.Msg().GetAccepted() == nil {
		acceptance.Stop()
		err := fmt.Errorf("%w: %w", sendError(ctx, stream.Err()), errors.Join(stream.Err(), context.Cause(ctx)))
		return nil, errors.Join(err, a.Close())
	}
	acceptance.Stop()
	if !stream.Receive() {
		err := fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, errors.Join(stream.Err(), context.Cause(ctx)))
		return nil, errors.Join(err, a.Close())
	}
	switch part := stream.Msg().GetPart().(type) {
	case *forwardv1.ForwardResponse_Failure:
		a.progress.Attempts = int(part.Failure.GetAttempts())
		response.Failure = decodeFailure(part.Failure)
		if part.Failure.GetUnreached() && response.Failure.Outcome == outcome.NotRun {
			return nil, errors.Join(fmt.Errorf("%w: remote: %w", upstream.ErrNotSent, response.Failure), a.Close())
		}
		return response, a.Close()
	case *forwardv1.ForwardResponse_Head:
		a.progress = forward.RemoteProgress{
			Attempts: int(part.Head.GetAttempts()), Endpoint: part.Head.GetEndpoint(), Software: part.Head.GetSoftware(), Unproven: part.Head.GetSoftwareUnproven(),
		}
		response.Response = &upstream.Response{Status: int(part.Head.GetStatus()), Header: decodeHeader(part.Head.GetHeaders()), Body: a}
		return response, nil
	}
	return nil, fmt.Errorf("%w: remote: unexpected part %T: %w", upstream.ErrFailedAfterSend, stream.Msg().GetPart(), a.Close())
}

// sendError tells whether a router that gave this error instead of an acceptance may send the request. It doesn't if it declined,
// or if no connection to it was made; after any other error its acceptance may have been lost.
func sendError(ctx context.Context, err error) error {
	dialFailure := (*net.OpError)(nil)
	declined := connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable
	unreachable := errors.As(err, &dialFailure) && dialFailure.Op == "dial"
	if context.Cause(ctx) == nil && (declined || unreachable) {
		return upstream.ErrNotSent
	}
	return upstream.ErrFailedAfterSend
}

func (c *Client) client(p Peer) forwardv1connect.ForwardServiceClient {
	return forwardv1connect.NewForwardServiceClient(c.HTTP, "http://"+p.Address, connect.WithReadMaxBytes(peerhttp.MaxMessageBytes))
}

// answer is the body of an endpoint's answer that comes through another router.
type answer struct {
	stream *connect.ServerStreamForClient[forwardv1.ForwardResponse]
	cancel context.CancelCauseFunc
	// unread is the rest of the last part.
	unread []byte
	end    error

	mu       sync.Mutex
	progress forward.RemoteProgress
	closed   atomic.Bool
}

func (a *answer) snapshot() forward.RemoteProgress {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.progress
}

// Read implements io.Reader. It returns io.EOF only after a whole answer.
func (a *answer) Read(p []byte) (int, error) {
	for len(a.unread) == 0 {
		if a.end != nil {
			return 0, a.end
		}
		if !a.stream.Receive() {
			a.end = fmt.Errorf("remote: the answer broke off: %w", errors.Join(a.stream.Err(), io.ErrUnexpectedEOF))
			continue
		}
		switch part := a.stream.Msg().GetPart().(type) {
		case *forwardv1.ForwardResponse_Data:
			a.unread = part.Data
		case *forwardv1.ForwardResponse_End:
			a.end = io.EOF
		case *forwardv1.ForwardResponse_Failure:
			a.mu.Lock()
			a.progress.Attempts = int(part.Failure.GetAttempts())
			a.mu.Unlock()
			a.end = fmt.Errorf("remote: %w", decodeFailure(part.Failure))
		default:
			a.end = fmt.Errorf("remote: unexpected part %T", part)
		}
	}
	n := copy(p, a.unread)
	a.unread = a.unread[n:]
	return n, nil
}

// Close implements io.Closer. It ends the call, so that the other router stops as well.
func (a *answer) Close() error {
	if a.closed.Swap(true) {
		return nil
	}
	a.cancel(nil)
	_ = a.stream.Close() // The call has been cancelled, which is the error that it reports.
	return nil
}
