package agent

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/daemon/telemetry"
)

// metrics holds the agent's metric instruments.
type metrics struct {
	grants      metric.Int64Counter
	started     metric.Int64Counter
	ended       metric.Int64Counter
	preemptions metric.Int64Counter
	resumes     metric.Int64Counter
	dropped     metric.Int64Counter
	prefill     metric.Int64Counter
	wasted      metric.Int64Counter
	generated   metric.Int64Counter
	running     metric.Int64Gauge
	suspended   metric.Int64Gauge
	waiting     metric.Int64Gauge
	places      metric.Int64Gauge
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	create := telemetry.NewInstruments(meter)
	m := &metrics{
		grants:      create.Counter("agent_grants", "{grant}", "Grants given."),
		started:     create.Counter("agent_runs_started", "{run}", "Runs handed to the endpoint."),
		ended:       create.Counter("agent_runs_ended", "{run}", "Runs that ended, by outcome."),
		preemptions: create.Counter("agent_preemptions", "{run}", "Suspensions for a more urgent tier."),
		resumes:     create.Counter("agent_stream_resumes", "{resume}", "Broken endpoint streams resumed at their offset."),
		dropped:     create.Counter("agent_events_dropped", "{event}", "Late, foreign or overlapping events of the endpoint."),
		prefill:     create.Counter("agent_prefill_tokens", "{token}", "Prefill tokens computed."),
		wasted:      create.Counter("agent_prefill_wasted_tokens", "{token}", "Prefill tokens computed for work that was thrown away."),
		generated:   create.Counter("agent_generated_tokens", "{token}", "Tokens generated."),
		running:     create.Gauge("agent_running", "Runs in service."),
		suspended:   create.Gauge("agent_suspended", "Suspended runs."),
		waiting:     create.Gauge("agent_waiting", "Waiting reservations."),
		places:      create.Gauge("agent_places", "Runs that the endpoint is given at a time."),
	}
	return m, create.Err()
}

func tierAttribute(tier string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("tier", tier))
}

func outcomeAttributes(tier, outcome string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("tier", tier), attribute.String("outcome", outcome))
}

// recordGauges records the gauges from the machine's status.
func (c *control) recordGauges() {
	s := c.machine.Status()
	c.metrics.running.Record(c.ctx, int64(s.Running))
	c.metrics.suspended.Record(c.ctx, int64(s.Suspended))
	c.metrics.waiting.Record(c.ctx, int64(s.Waiting))
	c.metrics.places.Record(c.ctx, int64(s.Places))
}
