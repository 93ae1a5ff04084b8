package telemetry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Observe reports a value of an instrument. Labels are pairs of a name and a value.
type Observe func(value int64, labels ...string)

// Instruments creates instruments that read their values when they are scraped, so that they cost nothing in between.
type Instruments struct {
	meter metric.Meter
	errs  []error
}

// NewInstruments returns a creator of instruments.
func NewInstruments(meter metric.Meter) *Instruments { return &Instruments{meter: meter} }

// Gauge creates an instrument whose value can fall.
func (i *Instruments) Gauge(name, unit, description string, read func(Observe)) {
	_, err := i.meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithInt64Callback(callback(read)))
	i.add(name, err)
}

// Counter creates an instrument whose value only rises during the life of the process.
func (i *Instruments) Counter(name, unit, description string, read func(Observe)) {
	_, err := i.meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithInt64Callback(callback(read)))
	i.add(name, err)
}

// Age creates a gauge in seconds. It shows no value while read reports false.
func (i *Instruments) Age(name, description string, read func() (time.Duration, bool)) {
	_, err := i.meter.Float64ObservableGauge(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if age, ok := read(); ok {
				o.Observe(age.Seconds())
			}
			return nil
		}))
	i.add(name, err)
}

// Err returns the errors of all instruments that could not be created.
func (i *Instruments) Err() error { return errors.Join(i.errs...) }

func (i *Instruments) add(name string, err error) {
	if err != nil {
		i.errs = append(i.errs, fmt.Errorf("telemetry: %s: %w", name, err))
	}
}

func callback(read func(Observe)) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		read(func(value int64, labels ...string) {
			attributes := make([]attribute.KeyValue, 0, len(labels)/2)
			for at := 0; at+1 < len(labels); at += 2 {
				attributes = append(attributes, attribute.String(labels[at], labels[at+1]))
			}
			o.Observe(value, metric.WithAttributes(attributes...))
		})
		return nil
	}
}

// Value returns a reader of a single value without labels.
func Value(read func() int64) func(Observe) {
	return func(observe Observe) { observe(read()) }
}

// ByLabel returns a reader of counts by one label.
func ByLabel(label string, read func() map[string]int64) func(Observe) {
	return func(observe Observe) {
		for value, n := range read() {
			observe(n, label, value)
		}
	}
}
