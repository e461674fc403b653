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
	cancelTimeout     = 5 * time.Second
	cancelRetryDelay  = 50 * time.Millisecond
	minResumeDelay    = 20 * time.Millisecond
	maxResumeDelay    = time.Second
	progressInterval  = 50 * time.Millisecond
	refusalRetryAfter = time.Second
)

// engineBackend carries out runs on a model engine.
type engineBackend struct {
	agent  *Agent
	client *engine.Client
}

func newEngineBackend(a *Agent) *engineBackend {
	return &engineBackend{agent: a, client: engine.New(a.cfg.EndpointURL)}
}

// engineRun is the progress of one run through a backend.
type engineRun struct {
	*engineBackend
	*run
	lastEvent    int64 // number of the last event taken; -1 = none
	done         bool
	resumed      bool
	usage        engine.Usage
	generated    int
	started      time.Time
	firstTokenAt time.Time // first token

	windowStart       time.Time // start of the window that measures the token interval
	windowStartTokens int
}

// run implements backend.
func (b *engineBackend) run(ctx context.Context, r *run) outcome {
	e := &engineRun{engineBackend: b, run: r, lastEvent: -1, started: time.Now()}
	out, err := b.client.Start(ctx, engine.Request{
		ID:      r.engineID,
		Path:    r.header.Path,
		Headers: forwardedHeaders(r.header.Headers),
		Body:    r.body,
	})
	var unsent *engine.NotSentError
	if errors.As(err, &unsent) {
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

// forwardedHeaders drops what the adapter sets itself.
func forwardedHeaders(headers []*nodepb.Header) []engine.Header {
	var passed []engine.Header
	for _, h := range headers {
		switch http.CanonicalHeaderKey(h.Name) {
		case "Content-Type", "Accept":
			passed = append(passed, engine.Header{Name: h.Name, Value: h.Value})
		}
	}
	return passed
}

// handleErrorStatus passes on an answer that is not 200. An engine that is overloaded
// has not run the request if it does not know it.
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

func (e *engineRun) refuse(kind nodepb.Refusal_Outcome, reason string, ended endpoint.Outcome) outcome {
	e.answer.refuse(&nodepb.Refusal{
		Outcome: kind, Reason: reason,
		Status: http.StatusServiceUnavailable, RetryAfterMs: refusalRetryAfter.Milliseconds(),
	})
	return outcome{kind: ended, acknowledged: ended == endpoint.NeverStarted, reason: reason}
}

// readWhole reads a plain answer. It cannot be resumed: one that breaks is cancelled.
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
	if usage, ok := engine.ReadUsage(body); ok {
		e.usage = usage
		e.generated = usage.Generated
	}
	return e.endComplete()
}

func contentType(header http.Header) []*nodepb.Header {
	return []*nodepb.Header{{Name: "Content-Type", Value: header.Get("Content-Type")}}
}

// stream takes a stream's events until the last, resuming it when it breaks.
func (e *engineRun) stream(ctx context.Context, out *engine.Answer, err error) outcome {
	deadline := time.Now().Add(e.agent.cfg.ResumeTimeout)
	pause := minResumeDelay
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
			pause = minResumeDelay
		}
		var unknown *engine.UnknownError
		if errors.As(err, &unknown) || time.Now().After(deadline) {
			return e.endIncomplete(ctx, err)
		}
		if !waited && e.lastEvent == before {
			sleep(ctx, pause)
			pause = min(2*pause, maxResumeDelay)
		}
		e.agent.metrics.resumes.Add(ctx, 1)
		e.resumed = true
		out, err = e.client.Resume(ctx, e.engineID, e.lastEvent)
		e.startWindow(time.Now())
	}
}

// readEvents reads events until the stream ends or breaks.
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

// recordEvent books an event and reports progress from time to time.
func (e *engineRun) recordEvent(event engine.Event) {
	now := time.Now()
	usage, isUsage := engine.ReadUsage(event.Data)
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

// timeToFirstToken returns the time from the start to the first token, 0 where a
// suspension or a resume makes it meaningless.
func (e *engineRun) timeToFirstToken() time.Duration {
	if e.firstTokenAt.IsZero() || e.resumed {
		return 0
	}
	return e.firstTokenAt.Sub(e.started)
}

// endIncomplete ends a run that was cancelled or cannot be resumed. It is cancelled
// at the engine, whose word decides whether the run is known to be over.
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

// cancelAtEngine asks the engine to end the run until it answers or the budget is spent.
func (e *engineRun) cancelAtEngine() (engine.Cancelled, error) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	for {
		reply, err := e.client.Cancel(ctx, e.engineID)
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
		sleep(ctx, cancelRetryDelay)
	}
}

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
	err := b.client.Export(ctx, r.engineID)
	b.logKV(r, "export", err)
	if errors.Is(err, engine.ErrUnsupported) {
		return errNoSuspension
	}
	return err
}

// resume implements backend.
func (b *engineBackend) resume(ctx context.Context, r *run) bool {
	err := b.client.Import(ctx, r.engineID)
	b.logKV(r, "import", err)
	var unknown *engine.UnknownError
	// A stream that the engine has lost is let go, and ends when it is read.
	return err == nil || errors.As(err, &unknown)
}

func (b *engineBackend) logKV(r *run, action string, err error) {
	b.agent.cfg.Log.Info().Str("request_id", r.key.RequestID).Uint32("attempt", r.key.Attempt).
		Str("action", action).AnErr("error", err).Msg("kv cache moved")
}

// resolveOtherIncarnation implements backend.
func (b *engineBackend) resolveOtherIncarnation(ctx context.Context, req *nodepb.ResolveRequest) endpoint.State {
	reply, err := b.client.Cancel(ctx, node.CallersID(req.RequestId))
	switch {
	case err != nil || reply.State == engine.CancelUnknown:
		// The dispatch may still be on its way to the engine.
		return endpoint.StateUnknown
	default:
		return endpoint.StateCancelled
	}
}

// hasRun implements backend.
func (b *engineBackend) hasRun(ctx context.Context, requestID string) (bool, error) {
	out, err := b.client.Resume(ctx, node.CallersID(requestID), -1)
	var unknown *engine.UnknownError
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
func (b *engineBackend) places(learned *speed.Learner) int {
	return learned.Places()
}
