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
	inProgress  metric.Int64UpDownCounter
	ended       metric.Int64Counter
	duration    metric.Float64Histogram
	first       metric.Float64Histogram
	drops       metric.Int64Counter
	unrecorded  metric.Int64Counter
	overReserve metric.Int64Counter
}

// NewMetrics creates the instruments. A nil meter records nothing.
func NewMetrics(meter metric.Meter) *Metrics {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	m := &Metrics{}
	// The meter returns usable instruments also with an error, which only reports an invalid name.
	m.inProgress, _ = meter.Int64UpDownCounter("ls_requests_in_progress", metric.WithDescription("Requests in progress by class."))
	m.ended, _ = meter.Int64Counter("ls_requests", metric.WithDescription("Ended requests by class, outcome and reason."))
	m.duration, _ = meter.Float64Histogram("ls_request_duration", metric.WithUnit("s"))
	m.first, _ = meter.Float64Histogram("ls_first_token", metric.WithUnit("s"), metric.WithDescription("Time from dispatch to the first token."))
	m.drops, _ = meter.Int64Counter("ls_frames_dropped", metric.WithDescription("Frames of an engine that carried a wrong request id or token index."))
	m.unrecorded, _ = meter.Int64Counter("ls_results_not_recorded", metric.WithDescription("Results of non-idempotent calls that could not be recorded in time."))
	m.overReserve, _ = meter.Int64Counter("ls_tokens_above_reservation", metric.WithUnit("{token}"))
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
