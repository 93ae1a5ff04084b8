package forward

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metrics are the counters and histograms of a Server. The zero value records nothing.
type Metrics struct {
	requests metric.Int64Counter
	total    metric.Float64Histogram
	first    metric.Float64Histogram
	denied   metric.Int64Counter
}

// latencyBounds are the bounds of the histograms' buckets in seconds; they cover the objectives and timeouts of routes.
var latencyBounds = metric.WithExplicitBucketBoundaries(0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16)

// NewMetrics creates the instruments.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{}
	var err error
	if m.requests, err = meter.Int64Counter("forward_requests", metric.WithDescription("Requests by result.")); err != nil {
		return nil, err
	}
	if m.denied, err = meter.Int64Counter("forward_retries_denied", metric.WithDescription("Retries that the shared budget did not allow.")); err != nil {
		return nil, err
	}
	if m.total, err = meter.Float64Histogram("forward_duration", metric.WithUnit("s"), latencyBounds, metric.WithDescription("Time to the end of the answer.")); err != nil {
		return nil, err
	}
	m.first, err = meter.Float64Histogram("forward_first_event", metric.WithUnit("s"), latencyBounds, metric.WithDescription("Time to the first event or the answer."))
	return m, err
}

func (m *Metrics) record(result string, total, first time.Duration, hasFirst bool) {
	if m == nil || m.requests == nil {
		return
	}
	ctx := context.Background()
	attributes := metric.WithAttributeSet(attribute.NewSet(attribute.String("result", result)))
	m.requests.Add(ctx, 1, attributes)
	m.total.Record(ctx, total.Seconds(), attributes)
	if hasFirst {
		m.first.Record(ctx, first.Seconds(), attributes)
	}
}

func (m *Metrics) deniedRetry() {
	if m != nil && m.denied != nil {
		m.denied.Add(context.Background(), 1)
	}
}
