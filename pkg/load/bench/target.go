package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/report"
)

const (
	requestTimeout = 10 * time.Second
	// maxOpen bounds the requests in progress of the open loop.
	maxOpen = 4000
)

// target is where requests go.
type target struct {
	addresses []string
	keys      []fleet.Key
	body      []byte
	run       string
	pid       int
	client    *fasthttp.Client
	next      *atomic.Uint64
}

func newTarget(o Options, addresses []string, keys []fleet.Key, pid int) target {
	return target{
		addresses: addresses, keys: keys, pid: pid, run: fmt.Sprint(time.Now().UnixNano()), next: new(atomic.Uint64),
		body: chatBody(o.Model, o.PromptTokens, o.OutputTokens, false),
		client: &fasthttp.Client{
			MaxConnsPerHost: maxOpen, MaxIdemponentCallAttempts: 1, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		},
	}
}

func routerTarget(f fleet.Fleet, o Options) target {
	return newTarget(o, []string{f.Routers[0].Caller}, f.Keys, f.Routers[0].PID)
}

// directTarget leaves out the last engine, which is the slow one.
func directTarget(f fleet.Fleet, o Options) target {
	var addresses []string
	for _, e := range f.Engines[:len(f.Engines)-1] {
		addresses = append(addresses, e.Address)
	}
	return newTarget(o, addresses, nil, 0)
}

func chatBody(model string, prompt, output int, stream bool) []byte {
	body, err := json.Marshal(engine.ChatRequest{
		Model: model, MaxTokens: output, Stream: stream,
		Messages: []engine.Message{{Role: "user", Content: strings.Repeat("hub ", prompt)}},
	})
	if err != nil {
		panic("bench: a request can't be encoded: " + err.Error())
	}
	return body
}

// send sends one request and returns an empty string, or what went wrong.
func (t target) send(request *fasthttp.Request, response *fasthttp.Response) string {
	n := t.next.Add(1)
	request.SetRequestURI("http://" + t.addresses[n%uint64(len(t.addresses))] + engine.PathChat)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(engine.HeaderIdempotencyKey, fmt.Sprintf("bench-%s-%d", t.run, n))
	if len(t.keys) > 0 {
		request.Header.Set("Authorization", "Bearer "+t.keys[n%uint64(len(t.keys))].Key)
	}
	request.SetBodyRaw(t.body)
	if err := t.client.DoTimeout(request, response, requestTimeout); err != nil {
		return err.Error()
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return string(response.Body())
	}
	return ""
}

// saturate sends on all connections as fast as answers come.
func saturate(ctx context.Context, t target, o Options, d time.Duration) Throughput {
	var mu sync.Mutex
	var result Throughput
	all := report.NewHistogram()
	start, cpu := time.Now(), processorTime(t.pid)
	end := start.Add(d)
	var tasks conc.WaitGroup
	for range o.Connections {
		tasks.Go(func() {
			h, done, failed, failure := t.sendUntil(ctx, end)
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
			result.Done, result.Failed = result.Done+done, result.Failed+failed
			if failure != "" {
				result.Failure = failure
			}
		})
	}
	tasks.Wait()
	took := time.Since(start).Seconds()
	result.PerSecond = float64(result.Done) / took
	result.Cores = (processorTime(t.pid) - cpu).Seconds() / took
	result.Latency = report.LatencyOf(all)
	return result
}

func (t target) sendUntil(ctx context.Context, end time.Time) (h *hdrhistogram.Histogram, done, failed int, failure string) {
	h = report.NewHistogram()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	for time.Now().Before(end) && ctx.Err() == nil {
		start := time.Now()
		if text := t.send(request, response); text != "" {
			failed, failure = failed+1, text
			continue
		}
		done++
		report.Record(h, time.Since(start))
	}
	return h, done, failed, failure
}

// openLoop sends at random times with the mean rate, without waiting for answers. Latencies count from the intended
// time. It returns the number of requests that failed.
func openLoop(ctx context.Context, t target, rate float64, d time.Duration, seed uint64, h *hdrhistogram.Histogram) int {
	random := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	var failed, open atomic.Int64
	var tasks conc.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < d && ctx.Err() == nil; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(at)))
		if open.Add(1) > maxOpen {
			open.Add(-1)
			failed.Add(1)
			continue
		}
		tasks.Go(func() {
			defer open.Add(-1)
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(request)
			defer fasthttp.ReleaseResponse(response)
			if t.send(request, response) != "" {
				failed.Add(1)
				return
			}
			took := time.Since(start.Add(at))
			mu.Lock()
			defer mu.Unlock()
			report.Record(h, took)
		})
	}
	tasks.Wait()
	return int(failed.Load())
}
