// Package telemetry creates the metrics of a process and their Prometheus endpoint.
package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// maxScrapes is the number of scrapes that are served at a time. Each holds all metrics until its reader has taken them.
const maxScrapes = 4

// Metrics holds the meter of a process and the handler that Prometheus scrapes.
type Metrics struct {
	// Meter creates instruments.
	Meter metric.Meter
	// Handler serves the metrics in the Prometheus text format.
	Handler  http.Handler
	provider *sdk.MeterProvider
}

// New returns the metrics of the named process, including those of the Go runtime and the operating system process.
func New(name string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	for _, c := range []prometheus.Collector{collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})} {
		if err := registry.Register(c); err != nil {
			return nil, fmt.Errorf("telemetry: register collector: %w", err)
		}
	}
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("telemetry: create Prometheus exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &Metrics{
		Meter:    provider.Meter(name),
		Handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}),
		provider: provider,
	}, nil
}

// Close shuts down the meter provider.
func (m *Metrics) Close(ctx context.Context) error {
	return m.provider.Shutdown(ctx)
}
