package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/memory"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// Guards against bodies that are cut short, refused although they fit, read on past their limit, or counted otherwise than their buffer.
func TestReadBody(t *testing.T) {
	const limit = 1 << 20
	for _, c := range []struct {
		announced int64
		sent      int
		err       error
	}{
		{-1, 0, nil}, {-1, 1, nil}, {-1, limit, nil}, {-1, limit + 1, errBodyTooLarge}, {-1, 4 * limit, errBodyTooLarge},
		{1, 1, nil}, {firstBodyBytes, firstBodyBytes, nil}, {limit, limit, nil}, {limit, limit - 1, io.ErrUnexpectedEOF},
	} {
		account := memory.NewAccount(memory.LimitsFor(64 << 20))
		held := account.Open(netip.Addr{}, "")
		sent := bytes.Repeat([]byte("x"), c.sent)
		source := bytes.NewReader(sent)
		body, err := readBody(iotest.HalfReader(source), c.announced, limit, held, func(int) {})
		must.ErrorIs(t, err, c.err, must.Sprint(c))
		must.LessEq(t, int64(limit+1), int64(c.sent-source.Len()), must.Sprint(c))
		if c.err == nil {
			must.True(t, bytes.Equal(sent, body), must.Sprint(c))
			must.EqOp(t, int64(cap(body)), account.Stats().Used, must.Sprint(c))
		}
		held.Close()
		must.EqOp(t, 0, account.Stats().Used)
	}
}

// Guards against memory that is counted, or allocated, for what is announced only, and against a body that grows without being counted.
func TestBodyIsCountedAsItComes(t *testing.T) {
	account := memory.NewAccount(memory.LimitsFor(64 << 20))
	held := account.Open(netip.Addr{}, "")
	stop := errors.New("stop")
	_, err := readBody(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(stop)), 4<<20, 4<<20, held, func(int) {})
	must.ErrorIs(t, err, stop)
	must.EqOp(t, firstBodyBytes, account.Stats().Peak)

	crowd := account.Open(netip.Addr{}, "")
	must.NoError(t, crowd.Grow(11<<20))
	body := bytes.NewReader(make([]byte, 4<<20))
	_, err = readBody(body, -1, 4<<20, held, func(int) {})
	must.ErrorIs(t, err, memory.ErrFull)
	must.Positive(t, body.Len(), must.Sprint("a refused body is not read on"))
}

// Guards against a caller on a poor link that is ended although it keeps the least pace, and one below it that holds memory for as long
// as its deadline allows.
func TestBodyDeadline(t *testing.T) {
	started := time.Unix(1000, 0)
	far := started.Add(time.Hour)
	must.Eq(t, started.Add(bodyGrace), bodyDeadline(started, 0, far))
	must.Eq(t, started.Add(bodyGrace+time.Second), bodyDeadline(started, leastBodyPace, far))
	must.Eq(t, started.Add(time.Second), bodyDeadline(started, 1<<20, started.Add(time.Second)))
}

// Guards against an endpoint that counts as failed because this router had no memory for its answer, or because it cut off an answer
// that the caller didn't read.
func TestCallersDontFailEndpoints(t *testing.T) {
	e := testExchange(catalog.Route{Semantics: catalog.Idempotent, MaxAttempts: 3})
	e.held = memory.NewAccount(memory.Limits{Total: 1}).Open(netip.Addr{}, "")
	_, _, err := e.buffers.readAll(strings.NewReader("x"), e.held)
	must.ErrorIs(t, err, errBuffersFull)
	must.EqOp(t, 0, e.buffers.used.Load())
	e.attemptErr = err
	must.EqOp(t, route.Cancelled, e.failureResult(context.Background()))
	must.False(t, e.canRetry(attemptFailed, &eventStream{}), must.Sprint("there is no memory for another endpoint's answer"))
	e.attemptErr = io.ErrUnexpectedEOF
	must.EqOp(t, route.Failed, e.failureResult(context.Background()))
	e.slowCaller = true
	must.EqOp(t, route.Cancelled, e.failureResult(context.Background()))
}

// fixedConfiguration is a Configuration that never changes.
type fixedConfiguration struct{ *catalog.Snapshot }

func (c fixedConfiguration) Current() *catalog.Snapshot { return c.Snapshot }

func (c fixedConfiguration) Confirm(context.Context) (*catalog.Snapshot, error) {
	return c.Snapshot, nil
}

// readingDialect decodes all requests.
type readingDialect struct{ plainDialect }

func (readingDialect) Decode(r *http.Request) (Request, error) {
	return Request{ID: "1", Method: r.Method, Host: r.Host, Target: "/a/", Path: "/a/"}, nil
}

// panickingRemote panics as soon as a request is to be forwarded.
type panickingRemote struct{ countingRemote }

func (*panickingRemote) IsNeeded() bool { panic("stop") }

// Guards against an account that fills for ever: what is held for a request is given back if a handler panics, if its body fails, and if
// a request of another router is refused, served, or never served.
func TestMemoryIsGivenBack(t *testing.T) {
	snapshot, err := catalog.New(catalog.Config{
		Version: 1, Routes: []catalog.Route{{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Minute, Backends: []catalog.Backend{{Service: "s", Weight: 1}}, MaxAttempts: 1}},
		Services: []catalog.Service{{Name: "s"}},
	}, 1)
	must.NoError(t, err)
	account := memory.NewAccount(memory.Limits{Total: 1 << 20, Caller: 1 << 20})
	s := NewServer(Options{
		Configuration: fixedConfiguration{snapshot}, Dialect: readingDialect{}, Client: upstream.NewClient(), Memory: account,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Remote: &panickingRemote{},
	})
	request := func(body io.Reader) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "http://h/a/", body)
		r.ContentLength = -1
		return r
	}
	must.Panic(t, func() { s.ServeHTTP(httptest.NewRecorder(), request(strings.NewReader("body"))) })
	must.EqOp(t, 0, account.Stats().Used)
	must.Positive(t, account.Stats().Peak)
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request(io.MultiReader(strings.NewReader("body"), iotest.ErrReader(io.ErrUnexpectedEOF))))
	must.EqOp(t, http.StatusBadRequest, recorder.Code)
	must.EqOp(t, 0, account.Stats().Used)
	recorder = httptest.NewRecorder()
	s.ServeHTTP(recorder, request(bytes.NewReader(make([]byte, 2<<20))))
	must.EqOp(t, http.StatusServiceUnavailable, recorder.Code)
	must.NotEq(t, "", recorder.Header().Get("Retry-After"))
	must.EqOp(t, 0, account.Stats().Used)

	s.Remote = nil
	forPeer := RemoteRequest{Method: http.MethodPost, Host: "h", Target: "/a/", Body: make([]byte, 1000), TimeLeft: time.Minute}
	admitted, err := s.AdmitRemote(t.Context(), forPeer)
	must.NoError(t, err)
	must.EqOp(t, 1000, account.Stats().Used)
	admitted.Close()
	admitted.Close()
	must.EqOp(t, 0, account.Stats().Used)
	forPeer.Body = make([]byte, 2<<20)
	_, err = s.AdmitRemote(t.Context(), forPeer)
	failure := (*outcome.Failure)(nil)
	must.True(t, errors.As(err, &failure))
	must.EqOp(t, outcome.ReasonNoMemory, failure.Reason)
	must.EqOp(t, 0, account.Stats().Used)
}
