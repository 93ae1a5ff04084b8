package relay

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Metrics records what the relay did. Times are in seconds.
type Metrics struct {
	inProgress metric.Int64UpDownCounter
	ended      metric.Int64Counter
	duration   metric.Float64Histogram
	first      metric.Float64Histogram
	drops      metric.Int64Counter
	unrecorded metric.Int64Counter
}

// NewMetrics creates the instruments. A nil meter records nothing.
func NewMetrics(meter metric.Meter) *Metrics {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	m := &Metrics{}
	// The default buckets begin at 5, which is far above the times that matter here in seconds.
	// The meter returns usable instruments also with an error, which only reports an invalid name.
	m.inProgress, _ = meter.Int64UpDownCounter("ls_requests_in_progress", metric.WithDescription("Requests in progress by class."))
	m.ended, _ = meter.Int64Counter("ls_requests", metric.WithDescription("Ended requests by class, outcome and reason."))
	m.duration, _ = meter.Float64Histogram("ls_request_duration", metric.WithUnit("s"), metric.WithDescription("Time from the arrival of a request to its end."),
		metric.WithExplicitBucketBoundaries(.01, .03, .1, .25, .5, 1, 2, 4, 8, 15, 30, 60, 120, 300, 600))
	m.first, _ = meter.Float64Histogram("ls_first_token", metric.WithUnit("s"), metric.WithDescription("Time from dispatch to the first token."),
		metric.WithExplicitBucketBoundaries(.005, .01, .03, .06, .1, .2, .4, .6, .88, 1.2, 2, 4, 8, 15, 30))
	m.drops, _ = meter.Int64Counter("ls_frames_dropped", metric.WithDescription("Frames of an engine that carried a wrong request id or token index."))
	m.unrecorded, _ = meter.Int64Counter("ls_results_not_recorded", metric.WithDescription("Results of non-idempotent calls that could not be recorded in time."))
	return m
}

func classAttr(class string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("class", class))
}

func (m *Metrics) begin(class string) { m.inProgress.Add(context.Background(), 1, classAttr(class)) }

func (m *Metrics) end(class string, end End, took time.Duration) {
	ctx := context.Background()
	m.inProgress.Add(ctx, -1, classAttr(class))
	result, reason := "done", ""
	if end.Failure != nil {
		result, reason = string(end.Failure.Outcome), string(end.Failure.Reason)
	}
	m.ended.Add(ctx, 1, metric.WithAttributes(
		attribute.String("class", class), attribute.String("outcome", result), attribute.String("reason", reason)))
	m.duration.Record(ctx, took.Seconds(), classAttr(class))
}

func (m *Metrics) firstToken(class string, took time.Duration) {
	m.first.Record(context.Background(), took.Seconds(), classAttr(class))
}

func (m *Metrics) dropped(n int) {
	if n > 0 {
		m.drops.Add(context.Background(), int64(n))
	}
}

func (m *Metrics) resultNotRecorded() { m.unrecorded.Add(context.Background(), 1) }
