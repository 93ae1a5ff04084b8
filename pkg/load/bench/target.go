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
	// maxInFlight bounds the open requests of the open loop; requests above it count as failed.
	maxInFlight = 4000
)

// target sends chat completions to a router or directly to engines. It is safe for concurrent use.
type target struct {
	addresses []string
	keys      []fleet.Key
	body      []byte
	runID     string
	pid       int
	client    *fasthttp.Client
	count     *atomic.Uint64
}

func newTarget(o Options, addresses []string, keys []fleet.Key, pid int) target {
	return target{
		addresses: addresses, keys: keys, pid: pid, runID: fmt.Sprint(time.Now().UnixNano()), count: new(atomic.Uint64),
		body: chatBody(o.Model, o.PromptTokens, o.OutputTokens, false),
		client: &fasthttp.Client{
			MaxConnsPerHost: maxInFlight, MaxIdemponentCallAttempts: 1, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		},
	}
}

func routerTarget(f fleet.Fleet, o Options) target {
	return newTarget(o, []string{f.Routers[0].Caller}, f.Keys, f.Routers[0].PID)
}

// directTarget returns a target of all engines except the last, which is the slow one.
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

// send sends one request. It returns an empty string, or the error or the body of a response other than 200.
func (t target) send(request *fasthttp.Request, response *fasthttp.Response) string {
	n := t.count.Add(1)
	request.SetRequestURI("http://" + t.addresses[n%uint64(len(t.addresses))] + engine.PathChat)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(engine.HeaderIdempotencyKey, fmt.Sprintf("bench-%s-%d", t.runID, n))
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

// saturate sends on all connections for the duration d, on each as fast as answers arrive (closed loop).
func saturate(ctx context.Context, t target, o Options, d time.Duration) Throughput {
	var mu sync.Mutex
	var result Throughput
	all := report.NewHistogram()
	start, cpuBefore := time.Now(), cpuTime(t.pid)
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
	elapsed := time.Since(start).Seconds()
	result.PerSecond = float64(result.Done) / elapsed
	result.Cores = (cpuTime(t.pid) - cpuBefore).Seconds() / elapsed
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

// openLoop sends requests at random times for the duration d, with a mean rate in requests per second, without waiting
// for answers. It records latencies from the intended times of sending in h, and returns the number of failed requests.
func openLoop(ctx context.Context, t target, rate float64, d time.Duration, seed uint64, h *hdrhistogram.Histogram) int {
	random := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	var failed, inFlight atomic.Int64
	var tasks conc.WaitGroup
	start := time.Now()
	for offset := time.Duration(0); offset < d && ctx.Err() == nil; offset += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(offset)))
		if inFlight.Add(1) > maxInFlight {
			inFlight.Add(-1)
			failed.Add(1)
			continue
		}
		tasks.Go(func() {
			defer inFlight.Add(-1)
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(request)
			defer fasthttp.ReleaseResponse(response)
			if t.send(request, response) != "" {
				failed.Add(1)
				return
			}
			elapsed := time.Since(start.Add(offset))
			mu.Lock()
			defer mu.Unlock()
			report.Record(h, elapsed)
		})
	}
	tasks.Wait()
	return int(failed.Load())
}
