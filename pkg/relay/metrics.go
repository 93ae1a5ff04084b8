package relay

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Metrics records the relay's requests. Times are in seconds. Its methods are safe for concurrent use.
type Metrics struct {
	inProgress        metric.Int64UpDownCounter
	endedRequests     metric.Int64Counter
	duration          metric.Float64Histogram
	firstTokenTime    metric.Float64Histogram
	droppedFrames     metric.Int64Counter
	unrecordedResults metric.Int64Counter
}

// NewMetrics creates the instruments. A nil meter records nothing.
func NewMetrics(meter metric.Meter) *Metrics {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	m := &Metrics{}
	// The default buckets begin at 5, far above most times recorded here in seconds.
	// The meter returns a usable instrument even with an error, which only reports an invalid name.
	m.inProgress, _ = meter.Int64UpDownCounter("ls_requests_in_progress", metric.WithDescription("Requests in progress by class."))
	m.endedRequests, _ = meter.Int64Counter("ls_requests", metric.WithDescription("Ended requests by class, outcome and reason."))
	m.duration, _ = meter.Float64Histogram("ls_request_duration", metric.WithUnit("s"), metric.WithDescription("Time from the arrival of a request to its end."),
		metric.WithExplicitBucketBoundaries(.01, .03, .1, .25, .5, 1, 2, 4, 8, 15, 30, 60, 120, 300, 600))
	m.firstTokenTime, _ = meter.Float64Histogram("ls_first_token", metric.WithUnit("s"), metric.WithDescription("Time from dispatch to the first token."),
		metric.WithExplicitBucketBoundaries(.005, .01, .03, .06, .1, .2, .4, .6, .88, 1.2, 2, 4, 8, 15, 30))
	m.droppedFrames, _ = meter.Int64Counter("ls_frames_dropped", metric.WithDescription("Frames of an engine that carried a wrong request id or token index."))
	m.unrecordedResults, _ = meter.Int64Counter("ls_results_not_recorded", metric.WithDescription("Results of non-idempotent calls that could not be recorded in time."))
	return m
}

func classAttr(class string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("class", class))
}

func (m *Metrics) beginRequest(class string) {
	m.inProgress.Add(context.Background(), 1, classAttr(class))
}

func (m *Metrics) endRequest(class string, end End, took time.Duration) {
	ctx := context.Background()
	m.inProgress.Add(ctx, -1, classAttr(class))
	result, reason := "done", ""
	if end.Failure != nil {
		result, reason = string(end.Failure.Outcome), string(end.Failure.Reason)
	}
	m.endedRequests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("class", class), attribute.String("outcome", result), attribute.String("reason", reason)))
	m.duration.Record(ctx, took.Seconds(), classAttr(class))
}

func (m *Metrics) recordFirstToken(class string, took time.Duration) {
	m.firstTokenTime.Record(context.Background(), took.Seconds(), classAttr(class))
}

func (m *Metrics) countDroppedFrames(n int) {
	if n > 0 {
		m.droppedFrames.Add(context.Background(), int64(n))
	}
}

func (m *Metrics) countUnrecordedResult() { m.unrecordedResults.Add(context.Background(), 1) }
