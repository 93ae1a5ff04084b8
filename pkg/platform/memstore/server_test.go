package memstore

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// call runs a request through the handler without a network and returns the status and the body.
func call(server *Server, method, uri, body string) (int, string) {
	var request fasthttp.Request
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	request.SetBodyString(body)
	var ctx fasthttp.RequestCtx
	ctx.Init(&request, &net.TCPAddr{}, nil)
	server.Handle(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

// Guards against control paths without a handler, and against invalid requests that are accepted without an error.
func TestControlAPI(t *testing.T) {
	store := New(Options{})
	server := NewServer(store, 0)
	status, _ := call(server, "PUT", "/control/vms", `{"name":"v","role":"engine","state":"live","address":"127.0.0.1:1"}`)
	must.Eq(t, http.StatusOK, status)
	status, _ = call(server, "POST", "/control/vms/state", `{"name":"v","state":"leaving","deadline":"2026-12-04T07:00:00Z"}`)
	must.Eq(t, http.StatusOK, status)
	vms, err := store.Client("a").VMs(context.Background())
	must.NoError(t, err)
	must.Eq(t, platform.VMLeaving, vms[0].State)
	must.Eq(t, time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC), *vms[0].Deadline)
	status, body := call(server, "POST", "/control/faults", `{"kind":"down","clients":["a"]}`)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, `{"id":1}`, body)
	_, err = store.Client("a").VMs(context.Background())
	must.ErrorIs(t, err, platform.ErrUnavailable)
	_, body = call(server, "GET", "/control/faults", "")
	must.Eq(t, `{"faults":[{"id":1,"kind":"down","clients":["a"]}]}`, body)
	status, _ = call(server, "DELETE", "/control/faults?id=1", "")
	must.Eq(t, http.StatusOK, status)
	must.SliceEmpty(t, store.Faults())
	_, body = call(server, "GET", "/control/counters", "")
	var counters Counters
	must.NoError(t, json.Unmarshal([]byte(body), &counters))
	must.Eq(t, Counters{VMLists: 2}, counters)
	for _, invalid := range [][3]string{
		{"POST", "/control/faults", `{"kind":"donw"}`},
		{"POST", "/control/faults", `{"kind":"down","client":"a"}`},
		{"POST", "/control/vms/state", `{"name":"v","state":"live!"}`},
		{"PUT", "/control/vms", `{"role":"engine"}`},
		{"PUT", "/v1/object?key=k", `{"value":""}`},
		{"GET", "/v1/watch?prefix=&after=x&wait_ms=0", ""},
		{"GET", "/v1/weights?name=m&bytes=-1", ""},
		{"GET", "/nothing", ""},
	} {
		status, _ := call(server, invalid[0], invalid[1], invalid[2])
		must.Eq(t, http.StatusBadRequest, status, must.Sprint(invalid))
	}
}

// Guards against a weight store whose readers each get the whole rate.
func TestWeightRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 1 << 20
		server := NewServer(New(Options{}), rate)
		start := time.Now()
		received := make(chan int64)
		for range 2 {
			go func() {
				var ctx fasthttp.RequestCtx
				var request fasthttp.Request
				request.SetRequestURI("/v1/weights?name=m&bytes=4194304")
				ctx.Init(&request, &net.TCPAddr{}, nil)
				server.Handle(&ctx)
				n, _ := io.Copy(io.Discard, ctx.Response.BodyStream())
				received <- n
			}()
		}
		must.Eq(t, 4*rate, <-received)
		must.Eq(t, 4*rate, <-received)
		// 8 MiB are sent at 1 MiB/s, and the bucket is full at the start: it holds the amount of one second.
		must.Eq(t, 7*time.Second, time.Since(start).Round(time.Millisecond))
		status, body := call(server, "GET", "/v1/weights?name=m&bytes=x", "")
		must.Eq(t, http.StatusBadRequest, status)
		must.True(t, strings.Contains(body, "bytes"))
	})
}
