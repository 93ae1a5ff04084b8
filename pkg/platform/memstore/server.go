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

// MaxBodyBytes bounds a request body: a value in base64 and its JSON envelope.
const MaxBodyBytes = platform.MaxValueBytes*4/3 + 1024

// maxWait bounds the waiting time of a poll over HTTP.
const maxWait = time.Minute

// errBadRequest marks a request that is not of the protocol.
var errBadRequest = errors.New("bad request")

var errorStatus = []struct {
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

// NewServer returns a server for the store. The weight store sends at most weightsPerSecond bytes per second to all
// its readers together; 0 or less means no limit.
func NewServer(store *Store, weightsPerSecond int) *Server {
	bucket := NewBucket(weightsPerSecond, store.clock.Now())
	return &Server{store: store, weights: &weightStore{store: store, bucket: bucket}}
}

// Handle is the server's request handler.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	var answer any
	var err error
	switch string(ctx.Path()) {
	case platform.PathObject:
		answer, err = s.object(ctx)
	case platform.PathObjects:
		answer, err = s.objects(ctx)
	case platform.PathWatch:
		answer, err = s.watch(ctx)
	case platform.PathVMs:
		var vms []platform.VM
		vms, err = s.client(ctx).VMs(context.Background())
		answer = platform.WireVMs{VMs: vms}
	case platform.PathWeights:
		if err = s.weights.serve(ctx); err == nil {
			return
		}
	default:
		answer, err = s.control(ctx)
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	standin.WriteJSON(ctx, fasthttp.StatusOK, answer)
}

func (s *Server) client(ctx *fasthttp.RequestCtx) platform.Store {
	return s.store.Client(string(ctx.Request.Header.Peek(platform.HeaderClient)))
}

func (s *Server) object(ctx *fasthttp.RequestCtx) (any, error) {
	key := string(ctx.QueryArgs().Peek("key"))
	if key == "" {
		return nil, badRequest("key is missing")
	}
	if ctx.IsGet() {
		object, err := s.client(ctx).Get(context.Background(), key)
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
		object, err := s.client(ctx).Put(context.Background(), key, body.Value, revision)
		// The writer knows the value; sending it back would double the traffic of a write.
		return platform.WireObject{Key: object.Key, Revision: object.Revision}, err
	case ctx.IsDelete():
		return platform.WireObject{Key: key, Deleted: true}, s.client(ctx).Delete(context.Background(), key, revision)
	}
	return nil, badRequest("method")
}

func (s *Server) objects(ctx *fasthttp.RequestCtx) (any, error) {
	objects, revision, err := s.client(ctx).List(context.Background(), string(ctx.QueryArgs().Peek("prefix")))
	return wireObjects(objects, revision), err
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) (any, error) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		return nil, badRequest("after: " + err.Error())
	}
	waitMS, err := ctx.QueryArgs().GetUint("wait_ms")
	if err != nil {
		return nil, badRequest("wait_ms: " + err.Error())
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	objects, revision, err := s.client(ctx).Poll(context.Background(), string(ctx.QueryArgs().Peek("prefix")), after, wait)
	return wireObjects(objects, revision), err
}

func wireObjects(objects []platform.Object, revision uint64) platform.WireObjects {
	wire := platform.WireObjects{Objects: make([]platform.WireObject, len(objects)), Revision: revision}
	for i, object := range objects {
		wire.Objects[i] = platform.WireObject(object)
	}
	return wire
}

func badRequest(message string) error {
	return errors.Join(errBadRequest, errors.New(message))
}

// writeError answers with the error's status. The client of a lost response gets none: its connection is closed.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, platform.ErrUncertain) {
		standin.CloseConnection(ctx)
		return
	}
	for _, entry := range errorStatus {
		if errors.Is(err, entry.err) {
			standin.WriteJSON(ctx, entry.status, platform.WireError{Error: err.Error()})
			return
		}
	}
	standin.WriteJSON(ctx, fasthttp.StatusInternalServerError, platform.WireError{Error: err.Error()})
}
