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
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// beat is the time without changes after which a leader sends a message without objects.
	beat = 400 * time.Millisecond
	// silence is the time without a message after which a leader is given up. Together with the next list it stays below
	// the 3 s in which an endpoint that leaves must get no new work.
	silence = 1300 * time.Millisecond
	// LeaderWait is how long the store holds a leader's watch, and MaxAge the age of a leader's knowledge above which it
	// isn't followed.
	LeaderWait = time.Second
	MaxAge     = 1700 * time.Millisecond
)

// ErrStaleLeader means that a router has less recent knowledge of the store than the one that would follow it.
var ErrStaleLeader = errors.New("feed: the leader's knowledge is old")

// Follower is the client with which other routers are called.
type Follower = connect.HTTPClient

// Service passes feeds on to other routers.
type Service struct {
	feeds map[string]*Feed
}

// NewService returns the service of the feeds.
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

// Follow implements FeedService.
func (s *Service) Follow(ctx context.Context, req *connect.Request[feedv1.FollowRequest], stream *connect.ServerStream[feedv1.FollowResponse]) error {
	f := s.feeds[req.Msg.GetKind()]
	if f == nil {
		return connect.NewError(connect.CodeNotFound, fmt.Errorf("feed: no feed of kind %q", req.Msg.GetKind()))
	}
	all, follower, ok := f.hub.join()
	if !ok {
		return connect.NewError(connect.CodeUnavailable, errors.New("feed: nothing has been read yet"))
	}
	defer f.hub.leave(follower)
	ticker := time.NewTicker(beat)
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
			m.at, _ = f.hub.age()
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
	_, age := h.age()
	r := &feedv1.FollowResponse{Full: m.full, Revision: m.at, AgeMs: age.Milliseconds(), AwayMs: m.sinceContact.Milliseconds()}
	for _, o := range m.objects {
		r.Objects = append(r.Objects, &feedv1.Object{Key: o.Key, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted})
	}
	return r
}

// followPeer feeds the consumer from another router until that one fails, falls silent or has old knowledge.
func (f *Feed) followPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(errors.New("feed: the leader is silent")) })
	defer watchdog.Stop()
	client := feedv1connect.NewFeedServiceClient(f.Client, "http://"+address)
	stream, err := client.Follow(ctx, connect.NewRequest(&feedv1.FollowRequest{Kind: f.Kind}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		watchdog.Reset(silence)
		m := stream.Msg()
		age := time.Duration(m.GetAgeMs()) * time.Millisecond
		if age > MaxAge || m.GetFull() && m.GetRevision() < f.revision {
			return fmt.Errorf("%w: %s old, revision %d of %d", ErrStaleLeader, age, m.GetRevision(), f.revision)
		}
		f.take(m, age)
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return stream.Err()
}

func (f *Feed) take(m *feedv1.FollowResponse, age time.Duration) {
	objects := make([]platform.Object, 0, len(m.GetObjects()))
	for _, o := range m.GetObjects() {
		objects = append(objects, platform.Object{Key: o.GetKey(), Revision: o.GetRevision(), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	if m.GetFull() {
		f.listed(objects, m.GetRevision(), max(f.sinceContact(), time.Duration(m.GetAwayMs())*time.Millisecond), age)
	} else {
		f.changed(objects, m.GetRevision(), age)
	}
}
