package feed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	feedv1 "github.com/lavendershunt/lavendershunt/api/ls/feed/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/feed/v1/feedv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// heartbeatInterval is the interval at which a leader sends a message without objects.
	heartbeatInterval = 400 * time.Millisecond
	// leaderTimeout is the time without a message after which a router stops following a leader. Together with the time
	// for the next list it stays below 3 s, after which an endpoint that leaves must get no new work.
	leaderTimeout = 1300 * time.Millisecond
	// LeaderWait is how long the store holds a leader's watch open.
	LeaderWait = time.Second
	// MaxAge is the time since the store's last answer to a leader above which the leader isn't followed.
	MaxAge = 1700 * time.Millisecond
)

// ErrStaleLeader means that a leader's objects are older than MaxAge or older than those of the router that would
// follow it.
var ErrStaleLeader = errors.New("feed: stale leader")

// PeerClient is the HTTP client for calls to other routers.
type PeerClient = connect.HTTPClient

// Service serves feeds to the routers that follow this one.
type Service struct {
	feeds map[string]*Feed
}

// NewService returns a Service for the feeds, one per kind.
func NewService(feeds ...*Feed) *Service {
	s := &Service{feeds: map[string]*Feed{}}
	for _, f := range feeds {
		s.feeds[f.Kind] = f
	}
	return s
}

// Handler returns the path and the handler for the peer API.
func (s *Service) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return feedv1connect.NewFeedServiceHandler(s, options...)
}

// Follow implements FeedService: it sends all objects of a kind and then the changes, until the call ends.
func (s *Service) Follow(ctx context.Context, req *connect.Request[feedv1.FollowRequest], stream *connect.ServerStream[feedv1.FollowResponse]) error {
	f := s.feeds[req.Msg.GetKind()]
	if f == nil {
		return connect.NewError(connect.CodeNotFound, fmt.Errorf("feed: no feed of kind %q", req.Msg.GetKind()))
	}
	all, follower, ok := f.hub.subscribe()
	if !ok {
		return connect.NewError(connect.CodeUnavailable, errors.New("feed: nothing has been read yet"))
	}
	defer f.hub.unsubscribe(follower)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	if err := stream.Send(encode(all, f.hub)); err != nil {
		return err
	}
	for {
		var m message
		open := true
		select {
		case <-ctx.Done():
			return nil
		case m, open = <-follower:
		case <-ticker.C:
			m.revision, _ = f.hub.revisionAndAge()
		}
		if !open {
			return connect.NewError(connect.CodeResourceExhausted, errors.New("feed: the follower is too slow"))
		}
		if err := stream.Send(encode(m, f.hub)); err != nil {
			return err
		}
	}
}

func encode(m message, h *hub) *feedv1.FollowResponse {
	_, age := h.revisionAndAge()
	r := &feedv1.FollowResponse{Full: m.full, Revision: m.revision, AgeMs: age.Milliseconds(), AwayMs: m.sinceContact.Milliseconds()}
	for _, o := range m.objects {
		r.Objects = append(r.Objects, &feedv1.Object{Key: o.Key, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted})
	}
	return r
}

// followPeer feeds the consumer from another router until a call fails, no message comes for leaderTimeout, or the
// router's objects are stale.
func (f *Feed) followPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(leaderTimeout, func() { cancel(errors.New("feed: no message from the leader in time")) })
	defer timer.Stop()
	client := feedv1connect.NewFeedServiceClient(f.Client, "http://"+address, connect.WithReadMaxBytes(peerhttp.MaxMessageBytes))
	stream, err := client.Follow(ctx, connect.NewRequest(&feedv1.FollowRequest{Kind: f.Kind}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		timer.Reset(leaderTimeout)
		m := stream.Msg()
		age := time.Duration(m.GetAgeMs()) * time.Millisecond
		if age > MaxAge || m.GetFull() && m.GetRevision() < f.revision {
			return fmt.Errorf("%w: age %s, revision %d, latest seen %d", ErrStaleLeader, age, m.GetRevision(), f.revision)
		}
		f.applyMessage(m, age)
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return stream.Err()
}

func (f *Feed) applyMessage(m *feedv1.FollowResponse, age time.Duration) {
	objects := make([]platform.Object, 0, len(m.GetObjects()))
	for _, o := range m.GetObjects() {
		objects = append(objects, platform.Object{Key: o.GetKey(), Revision: o.GetRevision(), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	if m.GetFull() {
		f.replaceAll(objects, m.GetRevision(), max(f.sinceContact(), time.Duration(m.GetAwayMs())*time.Millisecond), age)
	} else {
		f.applyChanges(objects, m.GetRevision(), age)
	}
}
