package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/daemon/telemetry"
)

// metrics holds the entry's metric instruments. The number of label values is
// limited: tiers and accounts come from the table, reasons from a fixed set.
type metrics struct {
	inProgress    atomic.Int64
	waiting       atomic.Int64
	answers       metric.Int64Counter
	refusals      metric.Int64Counter
	callersGone   metric.Int64Counter
	cutAnswers    metric.Int64Counter
	retries       metric.Int64Counter
	droppedFrames metric.Int64Counter
	firstByte     metric.Float64Histogram
	dispatchWait  metric.Float64Histogram
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	create := telemetry.NewInstruments(meter)
	m := &metrics{
		answers:       create.Counter("entry_answers", "", "Requests answered whole within their deadline, by tier and account."),
		refusals:      create.Counter("entry_refusals", "", "Requests refused, by reason, outcome and tier."),
		callersGone:   create.Counter("entry_callers_gone", "", "Requests whose caller went before the answer was whole."),
		cutAnswers:    create.Counter("entry_cut_answers", "", "Answers that were sent in part and ended with an error."),
		retries:       create.Counter("entry_retries", "", "Further attempts after one that ran, by whether the budget allowed them."),
		droppedFrames: create.Counter("entry_dropped_frames", "", "Answer frames dropped, by reason."),
		firstByte:     create.Seconds("entry_first_byte_seconds", "Time from arrival to the first byte of the answer."),
		dispatchWait:  create.Seconds("entry_wait_seconds", "Time from arrival to the dispatch."),
	}
	create.Observe("entry_in_progress", "Requests in progress.", m.inProgress.Load)
	create.Observe("entry_waiting", "Requests that wait for a place.", m.waiting.Load)
	return m, create.Err()
}

// labels returns the labels of a call's tier and account, after the given ones.
func labels(k *call, more ...attribute.KeyValue) metric.MeasurementOption {
	more = append(more, attribute.String("tier", k.tier.Name), attribute.String("account", k.account.Name))
	return metric.WithAttributes(more...)
}

func (m *metrics) frameDropped(verdict request.FrameVerdict) {
	m.droppedFrames.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", verdict.String())))
}

// requestRefused counts a request that was refused before it became a call.
func (m *metrics) requestRefused(reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// retryDecided counts a decision about a further attempt.
func (m *metrics) retryDecided(k *call, allowed bool) {
	m.retries.Add(context.Background(), 1, labels(k, attribute.Bool("allowed", allowed)))
}

func (m *metrics) requestDispatched(k *call, now time.Duration) {
	m.dispatchWait.Record(context.Background(), (now - k.arrived).Seconds(), labels(k))
}

func (m *metrics) answerStarted(k *call, now time.Duration) {
	m.firstByte.Record(context.Background(), (now - k.arrived).Seconds(), labels(k))
}

func (m *metrics) requestEnded(k *call, effect request.Effect) {
	ctx := context.Background()
	switch effect := effect.(type) {
	case request.Finish:
		if effect.CallerGone {
			m.callersGone.Add(ctx, 1, labels(k))
			return
		}
		m.answers.Add(ctx, 1, labels(k))
	case request.Refuse:
		m.refusals.Add(ctx, 1, labels(k,
			attribute.String("reason", refusalKind(effect.Status)), attribute.String("outcome", string(effect.Outcome))))
	case request.Abort:
		m.cutAnswers.Add(ctx, 1, labels(k, attribute.String("outcome", string(effect.Outcome))))
	}
}
