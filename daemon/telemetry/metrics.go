package telemetry

import (
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

const meterName = "primrosespoke"

// Metrics is a registry of instruments and the HTTP handler that exposes their values.
type Metrics struct {
	// Meter creates instruments.
	Meter metric.Meter
	// Handler serves the values in the Prometheus text format.
	Handler http.Handler
}

// NewMetrics returns a registry that holds only the metrics of the Go runtime and of the
// operating system's process. One process may have several registries.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	res := resource.NewSchemaless(attribute.String("service.name", meterName))
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithResource(res))
	return &Metrics{
		Meter:   provider.Meter(meterName),
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}
