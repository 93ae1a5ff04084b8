package forward

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// Metrics are the counters and histograms of a Server. A nil or zero Metrics records nothing.
type Metrics struct {
	requests      metric.Int64Counter
	duration      metric.Float64Histogram
	firstEvent    metric.Float64Histogram
	deniedRetries metric.Int64Counter
	stopped       metric.Int64Counter
	takenUp       metric.Int64Counter
	remote        metric.Int64Counter
	irregular     metric.Int64Counter
	ends          metric.Int64Counter
	processes     metric.Int64Counter
	passedOver    metric.Int64Counter
	cold          metric.Int64Counter
}

// latencyBucketsSeconds are the histograms' bucket boundaries. They cover the latency objectives and timeouts of
// routes.
var latencyBucketsSeconds = metric.WithExplicitBucketBoundaries(0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16)

// NewMetrics creates the instruments with the meter.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{}
	var err error
	if m.requests, err = meter.Int64Counter("forward_requests", metric.WithDescription("Requests by result.")); err != nil {
		return nil, err
	}
	if m.deniedRetries, err = meter.Int64Counter("forward_retries_denied", metric.WithDescription("Retries that the shared budget did not allow.")); err != nil {
		return nil, err
	}
	if m.stopped, err = meter.Int64Counter("forward_content_stopped", metric.WithDescription("Requests that were not sent, or not sent again, because their content crashes endpoints.")); err != nil {
		return nil, err
	}
	if m.takenUp, err = meter.Int64Counter("forward_streams_taken_up", metric.WithDescription("Streams that callers took up again, by how their software version was found.")); err != nil {
		return nil, err
	}
	if m.remote, err = meter.Int64Counter("forward_through_routers", metric.WithDescription("Requests that were sent through another router, by result.")); err != nil {
		return nil, err
	}
	if m.irregular, err = meter.Int64Counter("forward_streams_irregular", metric.WithDescription("Streams that an endpoint sent out of order, not as events, or not to their end, by kind.")); err != nil {
		return nil, err
	}
	if m.ends, err = meter.Int64Counter("forward_ends_checked", metric.WithDescription("Answers that ended with their connection, by what shows that they are whole, or why nothing does.")); err != nil {
		return nil, err
	}
	if m.processes, err = meter.Int64Counter("forward_stream_processes", metric.WithDescription("Attempts of streams by what proves the software version of the process that got them.")); err != nil {
		return nil, err
	}
	if m.passedOver, err = meter.Int64Counter("forward_endpoints_passed_over", metric.WithDescription("Requests sent to an endpoint that held less of their prompt than another one, by route and the reason.")); err != nil {
		return nil, err
	}
	if m.cold, err = meter.Int64Counter("forward_cold", metric.WithDescription("Requests and questions to cold endpoints that were sent, or not sent although the endpoint was chosen, by result.")); err != nil {
		return nil, err
	}
	if m.duration, err = meter.Float64Histogram("forward_duration", metric.WithUnit("s"), latencyBucketsSeconds, metric.WithDescription("Time to the end of the answer.")); err != nil {
		return nil, err
	}
	m.firstEvent, err = meter.Float64Histogram("forward_first_event", metric.WithUnit("s"), latencyBucketsSeconds, metric.WithDescription("Time to the first event or the answer."))
	return m, err
}

func (m *Metrics) recordRequest(result string, duration, firstEvent time.Duration, hasFirstEvent bool) {
	if m == nil || m.requests == nil {
		return
	}
	ctx := context.Background()
	attributes := metric.WithAttributeSet(attribute.NewSet(attribute.String("result", result)))
	m.requests.Add(ctx, 1, attributes)
	m.duration.Record(ctx, duration.Seconds(), attributes)
	if hasFirstEvent {
		m.firstEvent.Record(ctx, firstEvent.Seconds(), attributes)
	}
}

func (m *Metrics) recordDeniedRetry() {
	if m != nil && m.deniedRetries != nil {
		m.deniedRetries.Add(context.Background(), 1)
	}
}

func (m *Metrics) recordStopped() {
	if m != nil && m.stopped != nil {
		m.stopped.Add(context.Background(), 1)
	}
}

func (m *Metrics) recordTakenUp(source string) {
	if m != nil && m.takenUp != nil {
		m.takenUp.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("source", source))))
	}
}

func (m *Metrics) recordRemote(result string) {
	if m != nil && m.remote != nil {
		m.remote.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("result", result))))
	}
}

func (m *Metrics) recordIrregular(cause error) {
	if m == nil || m.irregular == nil {
		return
	}
	kind := "not_an_event"
	switch {
	case errors.Is(cause, errOutOfSequence):
		kind = "out_of_sequence"
	case errors.Is(cause, errEndedEarly):
		kind = "ended_early"
	}
	m.irregular.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", kind))))
}

func (m *Metrics) recordEndCheck(result string) {
	if m != nil && m.ends != nil {
		m.ends.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("result", result))))
	}
}

func (m *Metrics) recordPassedOver(kind string, reason route.PassReason) {
	if m != nil && m.passedOver != nil {
		m.passedOver.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("route", kind), attribute.String("reason", string(reason)))))
	}
}

func (m *Metrics) recordProcess(proof versionProof) {
	if m != nil && m.processes != nil {
		m.processes.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("proof", string(proof)))))
	}
}

func (m *Metrics) recordCold(sent bool) {
	if m == nil || m.cold == nil {
		return
	}
	result := "sent"
	if !sent {
		result = "refused"
	}
	m.cold.Add(context.Background(), 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("result", result))))
}
