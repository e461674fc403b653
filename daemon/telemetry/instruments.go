package telemetry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Instruments creates metric instruments and keeps the first error, so that a caller
// creates all of them and then checks Err once.
type Instruments struct {
	meter metric.Meter
	err   error
}

// NewInstruments returns Instruments of a meter; with a nil meter, the instruments record nothing.
func NewInstruments(meter metric.Meter) *Instruments {
	if meter == nil {
		meter = noop.Meter{}
	}
	return &Instruments{meter: meter}
}

// Err returns the first error that creating an instrument gave.
func (i *Instruments) Err() error {
	return i.err
}

func (i *Instruments) recordError(name string, err error) {
	if err != nil && i.err == nil {
		i.err = errors.Wrap(err, name)
	}
}

// Counter returns a counter with the given unit, for example "{run}"; it may be empty.
func (i *Instruments) Counter(name, unit, help string) metric.Int64Counter {
	c, err := i.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(help))
	i.recordError(name, err)
	return c
}

// Gauge returns a gauge that holds the last recorded value.
func (i *Instruments) Gauge(name, help string) metric.Int64Gauge {
	g, err := i.meter.Int64Gauge(name, metric.WithDescription(help))
	i.recordError(name, err)
	return g
}

// Seconds returns a histogram of durations in seconds.
func (i *Instruments) Seconds(name, help string) metric.Float64Histogram {
	h, err := i.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(help))
	i.recordError(name, err)
	return h
}

// Observe registers a gauge whose value is read at each scrape. value must be safe to call
// from any goroutine.
func (i *Instruments) Observe(name, help string, value func() int64) {
	read := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value())
		return nil
	}
	_, err := i.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(read))
	i.recordError(name, err)
}

// ObserveSeconds registers a gauge of a duration in seconds; see Observe.
func (i *Instruments) ObserveSeconds(name, help string, value func() time.Duration) {
	read := func(_ context.Context, o metric.Float64Observer) error {
		o.Observe(value().Seconds())
		return nil
	}
	_, err := i.meter.Float64ObservableGauge(name, metric.WithUnit("s"), metric.WithDescription(help), metric.WithFloat64Callback(read))
	i.recordError(name, err)
}
