package claimlog

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/claim"
	"primrosespoke.dev/daemon/telemetry"
)

// metrics holds the instruments of a Log.
type metrics struct {
	appends  metric.Int64Counter
	failures metric.Int64Counter
	refusals metric.Int64Counter
	replays  metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	create := telemetry.NewInstruments(meter)
	m := &metrics{
		appends:  create.Counter("claim_appends", "", "Appends to the stream of claims that the log took."),
		failures: create.Counter("claim_append_failures", "", "Appends to the stream of claims that failed or whose answer was lost."),
		refusals: create.Counter("claim_refusals", "", "Calls with an idempotency key that were refused, by outcome."),
		replays:  create.Counter("claim_replays", "", "Calls answered with the answer of the first run of their key."),
	}
	return m, create.Err()
}

// appended counts an append by its result.
func (m *metrics) appended(err error) {
	if err == nil {
		m.appends.Add(context.Background(), 1)
		return
	}
	m.failures.Add(context.Background(), 1)
}

func (m *metrics) refused(r claim.Refusal) {
	outcome := attribute.String("outcome", string(r.Outcome))
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(outcome))
}

func (m *metrics) replayed() { m.replays.Add(context.Background(), 1) }
