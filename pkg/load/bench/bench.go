// Package bench measures one router against instant engines: requests a second, added delay against calls without a
// router, and memory for each open stream.
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

// Options configure the experiment.
type Options struct {
	// Connections is the number of connections that send as fast as they can.
	Connections int
	// Duration is the time of each phase.
	Duration time.Duration
	// Rate is the open-loop rate for the added delay; 0 means half of the measured throughput.
	Rate float64
	// Streams is the number of open streams.
	Streams int
	// Model is served by the instant engines, SlowModel by the engine that keeps streams open.
	Model     string
	SlowModel string
	// PromptTokens and OutputTokens are the sizes of a request.
	PromptTokens int
	OutputTokens int
	Seed         uint64
}

// Result is what was measured.
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

// Throughput is the result of sending as fast as the connections allow.
type Throughput struct {
	PerSecond float64 `json:"per_second"`
	Done      int     `json:"done"`
	Failed    int     `json:"failed"`
	// Cores is the processor time of the target's process per second; 0 if it is not known.
	Cores   float64        `json:"cores"`
	Latency report.Latency `json:"latency"`
	// Failure is an example of an answer other than 200.
	Failure string `json:"failure,omitempty"`
}

// Streams is the memory of open streams.
type Streams struct {
	Open          int     `json:"open"`
	BeforeBytes   int64   `json:"before_bytes"`
	WithBytes     int64   `json:"with_bytes"`
	BytesEach     float64 `json:"bytes_each"`
	OpenedSeconds float64 `json:"opened_seconds"`
}

// Run measures the first router of the fleet. Memory comes first, while the router's heap is still small.
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
	// The first second of each target is not measured.
	saturate(ctx, direct, o, time.Second)
	saturate(ctx, router, o, time.Second)
	r.DirectThroughput = saturate(ctx, direct, o, o.Duration)
	r.Throughput = saturate(ctx, router, o, o.Duration)
	r.OpenRate = o.Rate
	if r.OpenRate == 0 {
		r.OpenRate = r.Throughput.PerSecond / 2
	}
	r.compare(ctx, router, direct, o)
	return r, ctx.Err()
}

// compareSlices is the number of alternating parts in which router and direct calls are measured, so that both meet
// the same state of the machine.
const compareSlices = 6

func (r *Result) compare(ctx context.Context, router, direct target, o Options) {
	through, without := report.NewHistogram(), report.NewHistogram()
	slice := o.Duration / compareSlices
	for n := range compareSlices {
		openLoop(ctx, direct, r.OpenRate, slice, o.Seed+uint64(n), without)
		r.RouterFailed += openLoop(ctx, router, r.OpenRate, slice, o.Seed+uint64(n), through)
	}
	r.Router, r.Direct = report.LatencyOf(through), report.LatencyOf(without)
	r.AddedP50, r.AddedP99 = r.Router.P50-r.Direct.P50, r.Router.P99-r.Direct.P99
}

// JSON writes the result as JSON.
func (r Result) JSON(w io.Writer) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(r)
}

// Table writes the result for a reader.
func (r Result) Table(w io.Writer) {
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
