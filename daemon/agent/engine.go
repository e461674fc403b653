package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/speed"
	"primrosespoke.dev/daemon/peer/engine"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	// cancelTimeout bounds all tries to cancel a run at the engine.
	cancelTimeout = 5 * time.Second
	// cancelRetryDelay is the time between two tries.
	cancelRetryDelay = 50 * time.Millisecond
	// minResumeDelay is the delay before a stream is resumed again without progress; it
	// doubles up to maxResumeDelay.
	minResumeDelay = 20 * time.Millisecond
	maxResumeDelay = time.Second
	// progressInterval is the least time between two progress reports of a run.
	progressInterval = 50 * time.Millisecond
	// refusalRetryAfter is the time after which an entry may retry a refused request.
	refusalRetryAfter = time.Second
)

// engineBackend executes runs on a model engine.
type engineBackend struct {
	agent  *Agent
	client *engine.Client
}

func newEngineBackend(a *Agent) *engineBackend {
	return &engineBackend{agent: a, client: engine.New(a.cfg.EndpointURL)}
}

// engineRun is the progress of one run on a model engine.
type engineRun struct {
	*engineBackend
	*run
	lastEvent    int64 // ID of the last event written to the answer; -1 = none
	done         bool  // the last event of the stream was read
	resumed      bool
	usage        engine.Usage
	generated    int // tokens
	started      time.Time
	firstTokenAt time.Time // time of the first token; zero = none yet

	windowStart       time.Time // start of the window over which the token interval is measured
	windowStartTokens int
}

// run implements backend.
func (b *engineBackend) run(ctx context.Context, r *run) outcome {
	e := &engineRun{engineBackend: b, run: r, lastEvent: -1, started: time.Now()}
	out, err := b.client.Start(ctx, engine.Request{
		ID:      r.endpointRunID,
		Path:    r.header.Path,
		Headers: forwardedHeaders(r.header.Headers),
		Body:    r.body,
	})
	var notSent *engine.NotSentError
	if errors.As(err, &notSent) {
		refused := e.refuse(nodepb.Refusal_NOT_RUN, "endpoint unreachable", endpoint.NeverStarted)
		refused.unreachable = true
		return refused
	}
	if err == nil && out.Status != http.StatusOK {
		return e.handleErrorStatus(ctx, out)
	}
	if err == nil && !out.Stream {
		return e.readWhole(ctx, out)
	}
	return e.stream(ctx, out, err)
}

// forwardedHeaders returns the headers that are sent to the engine. The client sets
// all others itself.
func forwardedHeaders(headers []*nodepb.Header) []engine.Header {
	var forwarded []engine.Header
	for _, h := range headers {
		switch http.CanonicalHeaderKey(h.Name) {
		case "Content-Type", "Accept":
			forwarded = append(forwarded, engine.Header{Name: h.Name, Value: h.Value})
		}
	}
	return forwarded
}

// handleErrorStatus passes on an answer whose status is not 200. Status 429 or 5xx becomes
// a Refusal: NOT_RUN if the engine, asked to cancel the request, does not know it.
func (e *engineRun) handleErrorStatus(ctx context.Context, out *engine.Answer) outcome {
	if out.Status != http.StatusTooManyRequests && out.Status < http.StatusInternalServerError {
		return e.readWhole(ctx, out)
	}
	out.Close()
	reply, err := e.cancelAtEngine()
	if err == nil && reply.State == engine.CancelUnknown {
		return e.refuse(nodepb.Refusal_NOT_RUN, "endpoint refused", endpoint.NeverStarted)
	}
	return e.refuse(nodepb.Refusal_MAY_HAVE_RUN, "endpoint failed", endpoint.Broken)
}

// refuse ends the run with a Refusal instead of an answer.
func (e *engineRun) refuse(kind nodepb.Refusal_Outcome, reason string, ended endpoint.Outcome) outcome {
	e.answer.refuse(&nodepb.Refusal{
		Outcome: kind, Reason: reason,
		Status: http.StatusServiceUnavailable, RetryAfterMs: refusalRetryAfter.Milliseconds(),
	})
	return outcome{kind: ended, acknowledged: ended == endpoint.NeverStarted, reason: reason}
}

// readWhole reads an answer that is not a stream. If reading breaks off, the run is
// cancelled, since such an answer cannot be resumed.
func (e *engineRun) readWhole(ctx context.Context, out *engine.Answer) outcome {
	defer out.Close()
	body, err := out.Body(maxAnswerBytes)
	if err != nil {
		return e.endIncomplete(ctx, err)
	}
	e.answer.setHead(&nodepb.Head{Status: int32(out.Status), Headers: contentType(out.Header)})
	if err := e.answer.write(ctx, body); err != nil {
		return e.endIncomplete(ctx, err)
	}
	if usage, ok := engine.ParseUsage(body); ok {
		e.usage = usage
		e.generated = usage.Generated
	}
	return e.endComplete()
}

func contentType(header http.Header) []*nodepb.Header {
	return []*nodepb.Header{{Name: "Content-Type", Value: header.Get("Content-Type")}}
}

// stream reads the events of a stream up to the last one, and resumes the stream
// whenever it breaks off.
func (e *engineRun) stream(ctx context.Context, out *engine.Answer, err error) outcome {
	deadline := time.Now().Add(e.agent.cfg.ResumeTimeout)
	delay := minResumeDelay
	for {
		before := e.lastEvent
		if err == nil {
			err = e.readEvents(ctx, out)
			out.Close()
		}
		if e.done {
			return e.endComplete()
		}
		waited, stopped := e.gate.wait(ctx)
		if stopped != nil || ctx.Err() != nil {
			return e.endIncomplete(ctx, ctx.Err())
		}
		if e.lastEvent > before || waited {
			deadline = time.Now().Add(e.agent.cfg.ResumeTimeout)
			delay = minResumeDelay
		}
		var unknown *engine.UnknownStreamError
		if errors.As(err, &unknown) || time.Now().After(deadline) {
			return e.endIncomplete(ctx, err)
		}
		if !waited && e.lastEvent == before {
			sleep(ctx, delay)
			delay = min(2*delay, maxResumeDelay)
		}
		e.agent.metrics.resumes.Add(ctx, 1)
		e.resumed = true
		out, err = e.client.Resume(ctx, e.endpointRunID, e.lastEvent)
		e.startWindow(time.Now())
	}
}

// readEvents writes events to the answer until the stream ends or breaks off.
func (e *engineRun) readEvents(ctx context.Context, out *engine.Answer) error {
	if !e.answer.hasHead() {
		e.answer.setHead(&nodepb.Head{Status: http.StatusOK, Headers: contentType(out.Header)})
	}
	for {
		event, err := out.Next()
		if err != nil {
			return err
		}
		if event.ID >= 0 && event.ID <= e.lastEvent {
			e.agent.metrics.dropped.Add(ctx, 1)
			continue
		}
		if event.ID > e.lastEvent+1 && !(e.lastEvent < 0 && event.ID == 1) {
			e.agent.metrics.dropped.Add(ctx, 1)
			return errors.Errorf("gap in the stream: event %d after %d", event.ID, e.lastEvent)
		}
		if err := e.answer.write(ctx, event.Encode()); err != nil {
			return err
		}
		e.lastEvent = max(e.lastEvent, event.ID)
		if event.Done() {
			e.done = true
			return nil
		}
		e.recordEvent(event)
	}
}

// recordEvent counts an event's tokens and reports progress every progressInterval.
func (e *engineRun) recordEvent(event engine.Event) {
	now := time.Now()
	usage, isUsage := engine.ParseUsage(event.Data)
	if isUsage {
		e.usage = usage
	} else {
		e.generated++
	}
	if e.firstTokenAt.IsZero() {
		e.firstTokenAt = now
		e.startWindow(now)
	}
	if now.Sub(e.windowStart) < progressInterval && e.generated > 1 {
		return
	}
	e.agent.control.post(progressMessage{
		run: e.run, generated: e.generated, buffered: e.answer.size(),
		tokens: e.generated - e.windowStartTokens, elapsed: now.Sub(e.windowStart),
	})
	e.startWindow(now)
}

// startWindow starts a new window for measuring the token interval.
func (e *engineRun) startWindow(now time.Time) {
	e.windowStart = now
	e.windowStartTokens = e.generated
}

// endComplete ends a run whose answer is whole. The engine's own token counts replace
// the number of events.
func (e *engineRun) endComplete() outcome {
	if e.usage.Generated > 0 {
		e.generated = e.usage.Generated
	}
	e.answer.finish(&nodepb.End{
		Outcome:         nodepb.End_COMPLETE,
		PrefillTokens:   uint32(max(e.usage.Prompt-e.usage.Cached, 0)),
		CachedTokens:    uint32(e.usage.Cached),
		GeneratedTokens: uint32(e.generated),
	})
	return outcome{
		kind: endpoint.Complete, acknowledged: true, generatedTokens: e.generated,
		prefillTokens: max(e.usage.Prompt-e.usage.Cached, 0), cachedTokens: e.usage.Cached, timeToFirstToken: e.timeToFirstToken(),
	}
}

// timeToFirstToken returns the time from the start to the first token, or 0 if a
// suspension or a resume has made it meaningless.
func (e *engineRun) timeToFirstToken() time.Duration {
	if e.firstTokenAt.IsZero() || e.resumed {
		return 0
	}
	return e.firstTokenAt.Sub(e.started)
}

// endIncomplete ends a run that was cancelled or whose answer cannot be resumed. It
// cancels the run at the engine, whose reply decides whether the run is known to
// have ended.
func (e *engineRun) endIncomplete(ctx context.Context, cause error) outcome {
	out := outcome{kind: endpoint.Broken, reason: "stream could not be resumed"}
	end := &nodepb.End{Outcome: nodepb.End_BROKEN, GeneratedTokens: uint32(e.generated)}
	if ctx.Err() != nil {
		out = outcome{kind: endpoint.Cancelled, reason: "cancelled"}
		end.Outcome = nodepb.End_CANCELLED
	} else if cause != nil {
		out.reason = cause.Error()
	}
	end.Reason = out.reason
	reply, err := e.cancelAtEngine()
	if err == nil {
		out.acknowledged = reply.State != engine.CancelUnknown
		out.prefillTokens = reply.PrefillTokens
		out.wastedTokens = reply.PrefillTokens
		out.generatedTokens = reply.GeneratedTokens
		end.PrefillTokens = uint32(reply.PrefillTokens)
	}
	if out.kind == endpoint.Broken && !e.answer.hasHead() {
		e.answer.refuse(&nodepb.Refusal{
			Outcome: nodepb.Refusal_MAY_HAVE_RUN, Reason: out.reason, Status: http.StatusBadGateway,
		})
	}
	e.answer.finish(end)
	return out
}

// cancelAtEngine asks the engine to cancel the run, and retries until the engine
// answers or cancelTimeout has passed.
func (e *engineRun) cancelAtEngine() (engine.CancelReply, error) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	for {
		reply, err := e.client.Cancel(ctx, e.endpointRunID)
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
		sleep(ctx, cancelRetryDelay)
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// suspend implements backend.
func (b *engineBackend) suspend(ctx context.Context, r *run) error {
	err := b.client.Export(ctx, r.endpointRunID)
	b.logKV(r, "export", err)
	if errors.Is(err, engine.ErrUnsupported) {
		return errNoSuspension
	}
	return err
}

// resume implements backend.
func (b *engineBackend) resume(ctx context.Context, r *run) bool {
	err := b.client.Import(ctx, r.endpointRunID)
	b.logKV(r, "import", err)
	var unknown *engine.UnknownStreamError
	// A run that the engine no longer knows counts as resumed: reading its stream fails
	// and ends it.
	return err == nil || errors.As(err, &unknown)
}

// logKV logs the result of exporting or importing a run's KV cache.
func (b *engineBackend) logKV(r *run, action string, err error) {
	b.agent.cfg.Log.Info().Str("request_id", r.key.RequestID).Uint32("attempt", r.key.Attempt).
		Str("action", action).AnErr("error", err).Msg("kv_cache_moved")
}

// resolveOtherIncarnation implements backend.
func (b *engineBackend) resolveOtherIncarnation(ctx context.Context, req *nodepb.ResolveRequest) endpoint.State {
	reply, err := b.client.Cancel(ctx, node.UnqualifyID(req.RequestId))
	switch {
	case err != nil || reply.State == engine.CancelUnknown:
		// The request may still be on its way to the engine.
		return endpoint.StateUnknown
	default:
		return endpoint.StateCancelled
	}
}

// hasRun implements backend.
func (b *engineBackend) hasRun(ctx context.Context, endpointRunID string) (bool, error) {
	out, err := b.client.Resume(ctx, endpointRunID, -1)
	var unknown *engine.UnknownStreamError
	switch {
	case errors.As(err, &unknown):
		return false, nil
	case err != nil:
		return false, err
	}
	out.Close()
	return true, nil
}

// places implements backend.
func (b *engineBackend) places(estimator *speed.Estimator) int {
	return estimator.Places()
}
