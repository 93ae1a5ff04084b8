package feed

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
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
	// minCompressedBytes is the size from which a value is compressed for followers.
	minCompressedBytes = 16 << 10
	// MaxAge is the time since the store's last answer to a leader above which the leader isn't followed, unless it reads
	// stale lists, of which it may miss staleListsToMiss, or its feed has a MaxLeaderAge.
	MaxAge           = 1700 * time.Millisecond
	staleListsToMiss = 3
)

// ErrStaleLeader means that a leader's objects are older than MaxAge.
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
	if _, age := f.hub.revisionAndAge(); age > f.maxAge() {
		// The follower would reject the objects, which may be many.
		f.hub.unsubscribe(follower)
		return connect.NewError(connect.CodeUnavailable, fmt.Errorf("%w: age %s", ErrStaleLeader, age))
	}
	defer f.hub.unsubscribe(follower)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	if err := stream.Send(encode(all, f.hub)); err != nil {
		return err
	}
	for {
		m, ok, open := f.hub.next(ctx, follower, ticker.C)
		switch {
		case ctx.Err() != nil:
			return nil
		case !open:
			return connect.NewError(connect.CodeResourceExhausted, errors.New("feed: the follower is too slow"))
		case !ok:
			continue
		}
		if err := stream.Send(encode(m, f.hub)); err != nil {
			return err
		}
	}
}

func encode(m message, h *hub) *feedv1.FollowResponse {
	_, age := h.revisionAndAge()
	return &feedv1.FollowResponse{Full: m.full, Objects: m.objects, Revision: m.revision, AgeMs: age.Milliseconds(), AwayMs: m.sinceContact.Milliseconds()}
}

func encodeObject(o platform.Object) *feedv1.Object {
	encoded := &feedv1.Object{Key: o.Key, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
	if len(o.Value) < minCompressedBytes {
		return encoded
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("feed: compression level: %v", err))
	}
	if _, err = w.Write(o.Value); err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(fmt.Sprintf("feed: compress into memory: %v", err))
	}
	encoded.Value, encoded.Compressed = b.Bytes(), true
	return encoded
}

func decodeObject(o *feedv1.Object) (platform.Object, error) {
	decoded := platform.Object{Key: o.GetKey(), Revision: o.GetRevision(), Value: o.GetValue(), Deleted: o.GetDeleted()}
	if !o.GetCompressed() {
		return decoded, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(o.GetValue()))
	if err != nil {
		return decoded, fmt.Errorf("feed: decompress %s: %w", o.GetKey(), err)
	}
	if decoded.Value, err = io.ReadAll(io.LimitReader(r, platform.MaxValueBytes+1)); err != nil {
		return decoded, fmt.Errorf("feed: decompress %s: %w", o.GetKey(), err)
	}
	if len(decoded.Value) > platform.MaxValueBytes {
		return decoded, fmt.Errorf("feed: %s: %w", o.GetKey(), platform.ErrTooLarge)
	}
	return decoded, nil
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
	f.isLed = true
	defer func() { f.isLed = false }()
	for stream.Receive() {
		timer.Reset(leaderTimeout)
		m := stream.Msg()
		age := time.Duration(m.GetAgeMs()) * time.Millisecond
		if age > f.maxAge() {
			return fmt.Errorf("%w: age %s, revision %s, latest seen %s", ErrStaleLeader, age, platform.FormatRevision(m.GetRevision()), platform.FormatRevision(f.revision))
		}
		if err := f.applyMessage(m, age); err != nil {
			return err
		}
		f.following = true
		if f.LeaderAnswered != nil {
			f.LeaderAnswered(time.Now().Add(-age))
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return stream.Err()
}

// unseen returns the changes without those that are included in what this router has: after a watch, that is every change
// up to its revision. Stale lists give no such revision, and a deletion may carry the object's last one.
func (f *Feed) unseen(changes []platform.Object) []platform.Object {
	if f.StaleListInterval > 0 {
		return changes
	}
	return slices.DeleteFunc(changes, func(o platform.Object) bool { return !o.Deleted && o.Revision <= f.revision })
}

// maxAge returns the time since the store's last answer to a leader above which the leader isn't followed.
func (f *Feed) maxAge() time.Duration {
	if f.MaxLeaderAge > 0 {
		return f.MaxLeaderAge
	}
	return max(MaxAge, staleListsToMiss*f.StaleListInterval)
}

// applyMessage passes a leader's message to the consumer. A leader may be some changes behind the one that this router
// followed before: then only its later changes count, so that nothing goes back.
func (f *Feed) applyMessage(m *feedv1.FollowResponse, age time.Duration) error {
	objects := make([]platform.Object, 0, len(m.GetObjects()))
	for _, o := range m.GetObjects() {
		decoded, err := decodeObject(o)
		if err != nil {
			return err
		}
		objects = append(objects, decoded)
	}
	switch {
	case !m.GetFull() && len(objects) == 0:
		// A heartbeat of an older build may have a revision that includes changes which come after it.
		f.applyChanges(nil, f.revision, age)
	case !m.GetFull():
		f.applyChanges(f.hub.newerThanHeld(f.unseen(objects)), max(f.revision, m.GetRevision()), age)
	case m.GetRevision() < f.revision:
		f.applyChanges(nil, f.revision, age)
	default:
		f.replaceAll(objects, m.GetRevision(), max(f.sinceContact(), time.Duration(m.GetAwayMs())*time.Millisecond), age)
	}
	return nil
}
