// Package bench measures one router with engines that answer at once: requests per second, delay added compared with
// calls sent directly to the engines, and memory per open stream.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/report"
)

// Options are the parameters of the measurement.
type Options struct {
	// Connections is the number of connections that each send the next request when the previous one is answered.
	Connections int
	// Duration is the length of each phase.
	Duration time.Duration
	// Rate is the open-loop rate, in requests per second, at which the added delay is measured; 0 means half of the
	// measured throughput.
	Rate float64
	// Streams is the number of streams to open.
	Streams int
	// Model is served by the engines that answer at once, SlowModel by the engine that keeps streams open.
	Model     string
	SlowModel string
	// PromptTokens is the size of a prompt, OutputTokens the output limit of a request that is not streamed.
	PromptTokens int
	OutputTokens int
	Seed         uint64
}

// Result holds the measured figures.
type Result struct {
	Throughput       Throughput     `json:"throughput"`
	DirectThroughput Throughput     `json:"direct_throughput"`
	OpenRate         float64        `json:"open_rate_per_second"`
	Router           report.Latency `json:"router_latency"`
	Direct           report.Latency `json:"direct_latency"`
	RouterFailed     int            `json:"router_failed"`
	// AddedP50 and AddedP99 are the differences of the quantiles in milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	Streams  Streams `json:"streams"`
}

// Throughput is the result of the closed-loop phase, in which each connection sends as fast as answers arrive.
type Throughput struct {
	PerSecond float64 `json:"per_second"`
	Done      int     `json:"done"`
	Failed    int     `json:"failed"`
	// Cores is the CPU time per second of the target's process; 0 if it is not known.
	Cores   float64        `json:"cores"`
	Latency report.Latency `json:"latency"`
	// Failure is an example of a failed request: the error, or the body of a response other than 200.
	Failure string `json:"failure,omitempty"`
}

// Streams holds the resident memory of the router before and with open streams.
type Streams struct {
	Open          int     `json:"open"`
	BeforeBytes   int64   `json:"before_bytes"`
	WithBytes     int64   `json:"with_bytes"`
	BytesEach     float64 `json:"bytes_each"`
	OpenedSeconds float64 `json:"opened_seconds"`
}

// Run measures the first router of the fleet. The last engine must be the slow one. Memory is measured first, while the
// router's heap is still small. Run returns ctx.Err() if ctx ends.
func Run(ctx context.Context, f fleet.Fleet, o Options) (Result, error) {
	if len(f.Engines) < 2 || len(f.Keys) == 0 {
		return Result{}, fmt.Errorf("engines, keys: at least an instant and a slow engine and one key are needed")
	}
	var r Result
	var err error
	if r.Streams, err = openStreams(ctx, f, o); err != nil {
		return r, err
	}
	router, direct := routerTarget(f, o), directTarget(f, o)
	// Warm up each target for a second.
	saturate(ctx, direct, o, time.Second)
	saturate(ctx, router, o, time.Second)
	r.DirectThroughput = saturate(ctx, direct, o, o.Duration)
	r.Throughput = saturate(ctx, router, o, o.Duration)
	r.OpenRate = o.Rate
	if r.OpenRate == 0 {
		r.OpenRate = r.Throughput.PerSecond / 2
	}
	r.compareLatency(ctx, router, direct, o)
	return r, ctx.Err()
}

// comparisonSlices is the number of slices in which direct calls and calls through the router alternate, so that changes
// in the load of the machine affect both alike.
const comparisonSlices = 6

func (r *Result) compareLatency(ctx context.Context, router, direct target, o Options) {
	routerLatency, directLatency := report.NewHistogram(), report.NewHistogram()
	sliceDuration := o.Duration / comparisonSlices
	for n := range comparisonSlices {
		openLoop(ctx, direct, r.OpenRate, sliceDuration, o.Seed+uint64(n), directLatency)
		r.RouterFailed += openLoop(ctx, router, r.OpenRate, sliceDuration, o.Seed+uint64(n), routerLatency)
	}
	r.Router, r.Direct = report.LatencyOf(routerLatency), report.LatencyOf(directLatency)
	r.AddedP50, r.AddedP99 = r.Router.P50-r.Direct.P50, r.Router.P99-r.Direct.P99
}

// WriteJSON writes the result to w as JSON. Errors of w are ignored.
func (r Result) WriteJSON(w io.Writer) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(r)
}

// WriteTable writes the result to w as text.
func (r Result) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "throughput    router %.0f requests/s on %.2f cores (%d done, %d failed), direct %.0f requests/s\n",
		r.Throughput.PerSecond, r.Throughput.Cores, r.Throughput.Done, r.Throughput.Failed, r.DirectThroughput.PerSecond)
	if r.Throughput.Failure != "" {
		fmt.Fprintf(w, "              an example of a failure: %s\n", r.Throughput.Failure)
	}
	fmt.Fprintf(w, "delay         at %.0f requests/s: router p50 %.2f ms, p99 %.2f ms; direct p50 %.2f ms, p99 %.2f ms; %d failed\n",
		r.OpenRate, r.Router.P50, r.Router.P99, r.Direct.P50, r.Direct.P99, r.RouterFailed)
	fmt.Fprintf(w, "added delay   p50 %.2f ms, p99 %.2f ms\n", r.AddedP50, r.AddedP99)
	fmt.Fprintf(w, "memory        %d open streams: %.1f KB each (router from %.1f MB to %.1f MB)\n",
		r.Streams.Open, r.Streams.BytesEach/1024, float64(r.Streams.BeforeBytes)/(1<<20), float64(r.Streams.WithBytes)/(1<<20))
}
