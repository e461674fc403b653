package tablesync

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/telemetry"
)

// metrics holds the counters of one Syncer.
type metrics struct {
	edits         metric.Int64Counter
	disagreements metric.Int64Counter
	refusals      metric.Int64Counter
}

// register creates the instruments, including the gauges that read s at each scrape.
func (m *metrics) register(meter metric.Meter, s *Syncer) error {
	create := telemetry.NewInstruments(meter)
	m.edits = create.Counter("table.edits", "", "Edits replayed, by verdict.")
	m.disagreements = create.Counter("table.snapshot.disagreements", "", "Snapshots that differ from this process's own state.")
	m.refusals = create.Counter("table.snapshot.refusals", "", "Snapshots that could not be restored.")
	create.Observe("table.version", "Version of the table in force.", func() int64 { return s.Current().Version })
	create.Observe("table.log.lag", "Records known to exist beyond the table.", s.Lag)
	create.ObserveSeconds("table.age", "Time since the log or a parent answered.", s.Age)
	return create.Err()
}

// countEdit counts the verdict of a newly decided edit; other outcomes are not counted here.
func (m *metrics) countEdit(outcome table.Outcome, v table.Verdict) {
	if outcome != table.OutcomeEdit {
		return
	}
	verdict := string(v.Reason)
	if v.Accepted {
		verdict = "accepted"
	}
	m.edits.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

func (m *metrics) countDisagreement() { m.disagreements.Add(context.Background(), 1) }

func (m *metrics) countRefusal() { m.refusals.Add(context.Background(), 1) }
