package memstore

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// MaxBodyBytes bounds a request body: a value of MaxValueBytes in base64 and the JSON around it.
const MaxBodyBytes = platform.MaxValueBytes*4/3 + 1024

// maxPollWait bounds the waiting time of a poll over HTTP.
const maxPollWait = time.Minute

// errBadRequest marks a request that violates the protocol.
var errBadRequest = errors.New("bad request")

// errorStatuses maps errors to HTTP status codes. writeError handles all others.
var errorStatuses = []struct {
	err    error
	status int
}{
	{platform.ErrNotFound, fasthttp.StatusNotFound},
	{platform.ErrConflict, fasthttp.StatusConflict},
	{platform.ErrUnavailable, fasthttp.StatusServiceUnavailable},
	{platform.ErrThrottled, fasthttp.StatusTooManyRequests},
	{platform.ErrGap, fasthttp.StatusGone},
	{platform.ErrTooLarge, fasthttp.StatusRequestEntityTooLarge},
	{errBadRequest, fasthttp.StatusBadRequest},
}

// Server serves a Store over HTTP.
type Server struct {
	store   *Store
	weights *weightStore
}

// NewServer returns a server for the store. The weight store sends at most weightBytesPerSecond bytes per second in
// total to all its readers; 0 or less means no limit.
func NewServer(store *Store, weightBytesPerSecond int) *Server {
	bucket := NewBucket(weightBytesPerSecond, store.clock.Now())
	return &Server{store: store, weights: &weightStore{store: store, bucket: bucket}}
}

// Handle serves the platform's protocol and, on all other paths, the control requests.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	var body any
	var err error
	switch string(ctx.Path()) {
	case platform.PathObject:
		body, err = s.handleObject(ctx)
	case platform.PathObjects:
		body, err = s.handleObjects(ctx)
	case platform.PathWatch:
		body, err = s.handleWatch(ctx)
	case platform.PathVMs:
		var vms []platform.VM
		vms, err = s.clientOf(ctx).VMs(context.Background())
		body = platform.WireVMs{VMs: vms}
	case platform.PathWeights:
		if err = s.weights.handle(ctx); err == nil {
			return
		}
	default:
		body, err = s.handleControl(ctx)
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	standin.WriteJSON(ctx, fasthttp.StatusOK, body)
}

func (s *Server) clientOf(ctx *fasthttp.RequestCtx) platform.Store {
	return s.store.Client(string(ctx.Request.Header.Peek(platform.HeaderClient)))
}

func (s *Server) handleObject(ctx *fasthttp.RequestCtx) (any, error) {
	key := string(ctx.QueryArgs().Peek("key"))
	if key == "" {
		return nil, badRequest("key is missing")
	}
	if ctx.IsGet() {
		object, err := s.clientOf(ctx).Get(context.Background(), key)
		return platform.WireObject(object), err
	}
	revision, err := strconv.ParseUint(string(ctx.Request.Header.Peek(platform.HeaderIfMatch)), 10, 64)
	if err != nil {
		return nil, badRequest("If-Match: " + err.Error())
	}
	switch {
	case ctx.IsPut():
		var body platform.WireValue
		if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
			return nil, badRequest(err.Error())
		}
		object, err := s.clientOf(ctx).Put(context.Background(), key, body.Value, revision)
		// The value is left out: the client has it, and returning it would double the traffic of a write.
		return platform.WireObject{Key: object.Key, Revision: object.Revision}, err
	case ctx.IsDelete():
		return platform.WireObject{Key: key, Deleted: true}, s.clientOf(ctx).Delete(context.Background(), key, revision)
	}
	return nil, badRequest("method")
}

func (s *Server) handleObjects(ctx *fasthttp.RequestCtx) (any, error) {
	objects, revision, err := s.clientOf(ctx).List(context.Background(), string(ctx.QueryArgs().Peek("prefix")))
	return toWireObjects(objects, revision), err
}

func (s *Server) handleWatch(ctx *fasthttp.RequestCtx) (any, error) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		return nil, badRequest("after: " + err.Error())
	}
	waitMS, err := ctx.QueryArgs().GetUint("wait_ms")
	if err != nil {
		return nil, badRequest("wait_ms: " + err.Error())
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxPollWait)
	objects, revision, err := s.clientOf(ctx).Poll(context.Background(), string(ctx.QueryArgs().Peek("prefix")), after, wait)
	return toWireObjects(objects, revision), err
}

func toWireObjects(objects []platform.Object, revision uint64) platform.WireObjects {
	wire := platform.WireObjects{Objects: make([]platform.WireObject, len(objects)), Revision: revision}
	for i, object := range objects {
		wire.Objects[i] = platform.WireObject(object)
	}
	return wire
}

func badRequest(message string) error {
	return errors.Join(errBadRequest, errors.New(message))
}

// writeError writes the error and its status. For ErrUncertain, a lost response, it closes the connection without a
// response.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, platform.ErrUncertain) {
		standin.CloseConnection(ctx)
		return
	}
	for _, entry := range errorStatuses {
		if errors.Is(err, entry.err) {
			standin.WriteJSON(ctx, entry.status, platform.WireError{Error: err.Error()})
			return
		}
	}
	standin.WriteJSON(ctx, fasthttp.StatusInternalServerError, platform.WireError{Error: err.Error()})
}
