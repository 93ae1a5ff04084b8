package telemetry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Observe reports a value of an instrument. The labels are alternating label names and values.
type Observe func(value int64, labels ...string)

// Instruments creates instruments whose values are read by callbacks at each scrape, so that they cost nothing between
// scrapes. It collects the errors of the creation; check Err afterwards.
type Instruments struct {
	meter metric.Meter
	errs  []error
}

// NewInstruments returns an Instruments that creates its instruments with meter.
func NewInstruments(meter metric.Meter) *Instruments { return &Instruments{meter: meter} }

// Gauge creates an instrument whose value can rise and fall.
func (i *Instruments) Gauge(name, unit, description string, read func(Observe)) {
	_, err := i.meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithInt64Callback(callback(read)))
	i.addError(name, err)
}

// Counter creates an instrument whose value never decreases during the lifetime of the process.
func (i *Instruments) Counter(name, unit, description string, read func(Observe)) {
	_, err := i.meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithInt64Callback(callback(read)))
	i.addError(name, err)
}

// Age creates a gauge in seconds. It has no value while read returns false.
func (i *Instruments) Age(name, description string, read func() (time.Duration, bool)) {
	_, err := i.meter.Float64ObservableGauge(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if age, ok := read(); ok {
				o.Observe(age.Seconds())
			}
			return nil
		}))
	i.addError(name, err)
}

// Err returns the joined errors of all instruments that could not be created.
func (i *Instruments) Err() error { return errors.Join(i.errs...) }

func (i *Instruments) addError(name string, err error) {
	if err != nil {
		i.errs = append(i.errs, fmt.Errorf("telemetry: create instrument %s: %w", name, err))
	}
}

func callback(read func(Observe)) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		read(func(value int64, labels ...string) {
			attributes := make([]attribute.KeyValue, 0, len(labels)/2)
			for j := 0; j+1 < len(labels); j += 2 {
				attributes = append(attributes, attribute.String(labels[j], labels[j+1]))
			}
			o.Observe(value, metric.WithAttributes(attributes...))
		})
		return nil
	}
}

// Value returns a callback that reports a single value without labels.
func Value(read func() int64) func(Observe) {
	return func(observe Observe) { observe(read()) }
}

// ByLabel returns a callback that reports one count for each value of a label.
func ByLabel(label string, read func() map[string]int64) func(Observe) {
	return func(observe Observe) {
		for value, n := range read() {
			observe(n, label, value)
		}
	}
}
