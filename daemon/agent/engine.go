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
	cancelBudget     = 5 * time.Second
	cancelPause      = 50 * time.Millisecond
	resumePause      = 20 * time.Millisecond
	maxResumePause   = time.Second
	progressInterval = 50 * time.Millisecond
	retryRefused     = time.Second
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
	last      int64 // number of the last event taken; -1 = none
	done      bool
	resumed   bool
	usage     engine.Usage
	generated int
	started   time.Time
	first     time.Time // first token

	marked       time.Time // start of the window that measures the token interval
	markedTokens int
}

// run implements backend.
func (b *engineBackend) run(ctx context.Context, r *run) outcome {
	e := &engineRun{engineBackend: b, run: r, last: -1, started: time.Now()}
	out, err := b.client.Start(ctx, engine.Request{
		ID:      r.engineID,
		Path:    r.header.Path,
		Headers: passedHeaders(r.header.Headers),
		Body:    r.body,
	})
	var unsent *engine.NotSentError
	if errors.As(err, &unsent) {
		refused := e.refuse(nodepb.Refusal_NOT_RUN, "endpoint unreachable", endpoint.NeverStarted)
		refused.unreachable = true
		return refused
	}
	if err == nil && out.Status != http.StatusOK {
		return e.rejected(ctx, out)
	}
	if err == nil && !out.Stream {
		return e.whole(ctx, out)
	}
	return e.stream(ctx, out, err)
}

// passedHeaders drops what the adapter sets itself.
func passedHeaders(headers []*nodepb.Header) []engine.Header {
	var passed []engine.Header
	for _, h := range headers {
		switch http.CanonicalHeaderKey(h.Name) {
		case "Content-Type", "Accept":
			passed = append(passed, engine.Header{Name: h.Name, Value: h.Value})
		}
	}
	return passed
}

// rejected passes on an answer that is not 200. An engine that is overloaded
// has not run the request if it does not know it.
func (e *engineRun) rejected(ctx context.Context, out *engine.Answer) outcome {
	if out.Status != http.StatusTooManyRequests && out.Status < http.StatusInternalServerError {
		return e.whole(ctx, out)
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
		Status: http.StatusServiceUnavailable, RetryAfterMs: retryRefused.Milliseconds(),
	})
	return outcome{kind: ended, acknowledged: ended == endpoint.NeverStarted, reason: reason}
}

// whole reads a plain answer. It cannot be resumed: one that breaks is cancelled.
func (e *engineRun) whole(ctx context.Context, out *engine.Answer) outcome {
	defer out.Close()
	body, err := out.Body(maxAnswerBytes)
	if err != nil {
		return e.broken(ctx, err)
	}
	e.answer.setHead(&nodepb.Head{Status: int32(out.Status), Headers: contentType(out.Header)})
	if err := e.answer.write(ctx, body); err != nil {
		return e.broken(ctx, err)
	}
	if usage, ok := engine.ParseUsage(body); ok {
		e.usage = usage
		e.generated = usage.Generated
	}
	return e.complete()
}

func contentType(header http.Header) []*nodepb.Header {
	return []*nodepb.Header{{Name: "Content-Type", Value: header.Get("Content-Type")}}
}

// stream takes a stream's events until the last, resuming it when it breaks.
func (e *engineRun) stream(ctx context.Context, out *engine.Answer, err error) outcome {
	deadline := time.Now().Add(e.agent.cfg.ResumeBudget)
	pause := resumePause
	for {
		before := e.last
		if err == nil {
			err = e.take(ctx, out)
			out.Close()
		}
		if e.done {
			return e.complete()
		}
		waited, stopped := e.gate.wait(ctx)
		if stopped != nil || ctx.Err() != nil {
			return e.broken(ctx, ctx.Err())
		}
		if e.last > before || waited {
			deadline = time.Now().Add(e.agent.cfg.ResumeBudget)
			pause = resumePause
		}
		var unknown *engine.UnknownStreamError
		if errors.As(err, &unknown) || time.Now().After(deadline) {
			return e.broken(ctx, err)
		}
		if !waited && e.last == before {
			sleep(ctx, pause)
			pause = min(2*pause, maxResumePause)
		}
		e.agent.metrics.resumes.Add(ctx, 1)
		e.resumed = true
		out, err = e.client.Resume(ctx, e.engineID, e.last)
		e.mark(time.Now())
	}
}

// take reads events until the stream ends or breaks.
func (e *engineRun) take(ctx context.Context, out *engine.Answer) error {
	if !e.answer.begun() {
		e.answer.setHead(&nodepb.Head{Status: http.StatusOK, Headers: contentType(out.Header)})
	}
	for {
		event, err := out.Next()
		if err != nil {
			return err
		}
		if event.ID >= 0 && event.ID <= e.last {
			e.agent.metrics.dropped.Add(ctx, 1)
			continue
		}
		if event.ID > e.last+1 && !(e.last < 0 && event.ID == 1) {
			e.agent.metrics.dropped.Add(ctx, 1)
			return errors.Errorf("gap in the stream: event %d after %d", event.ID, e.last)
		}
		if err := e.answer.write(ctx, event.Encode()); err != nil {
			return err
		}
		e.last = max(e.last, event.ID)
		if event.Done() {
			e.done = true
			return nil
		}
		e.count(event)
	}
}

// count books an event and reports progress from time to time.
func (e *engineRun) count(event engine.Event) {
	now := time.Now()
	usage, isUsage := engine.ParseUsage(event.Data)
	if isUsage {
		e.usage = usage
	} else {
		e.generated++
	}
	if e.first.IsZero() {
		e.first = now
		e.mark(now)
	}
	if now.Sub(e.marked) < progressInterval && e.generated > 1 {
		return
	}
	e.agent.control.post(progressMessage{
		run: e.run, generated: e.generated, buffered: e.answer.size(),
		tokens: e.generated - e.markedTokens, over: now.Sub(e.marked),
	})
	e.mark(now)
}

// mark starts a new window for measuring the token interval.
func (e *engineRun) mark(now time.Time) {
	e.marked = now
	e.markedTokens = e.generated
}

func (e *engineRun) complete() outcome {
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
		kind: endpoint.Complete, acknowledged: true, generated: e.generated,
		prefill: max(e.usage.Prompt-e.usage.Cached, 0), cached: e.usage.Cached, first: e.firstToken(),
	}
}

// firstToken returns the time from the start to the first token, 0 where a
// suspension or a resume makes it meaningless.
func (e *engineRun) firstToken() time.Duration {
	if e.first.IsZero() || e.resumed {
		return 0
	}
	return e.first.Sub(e.started)
}

// broken ends a run that was cancelled or cannot be resumed. It is cancelled
// at the engine, whose word decides whether the run is known to be over.
func (e *engineRun) broken(ctx context.Context, cause error) outcome {
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
		out.prefill = reply.PrefillTokens
		out.wasted = reply.PrefillTokens
		out.generated = reply.GeneratedTokens
		end.PrefillTokens = uint32(reply.PrefillTokens)
	}
	if out.kind == endpoint.Broken && !e.answer.begun() {
		e.answer.refuse(&nodepb.Refusal{
			Outcome: nodepb.Refusal_MAY_HAVE_RUN, Reason: out.reason, Status: http.StatusBadGateway,
		})
	}
	e.answer.finish(end)
	return out
}

// cancelAtEngine asks the engine to end the run until it answers or the budget is spent.
func (e *engineRun) cancelAtEngine() (engine.CancelReply, error) {
	ctx, stop := context.WithTimeout(context.Background(), cancelBudget)
	defer stop()
	for {
		reply, err := e.client.Cancel(ctx, e.engineID)
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
		sleep(ctx, cancelPause)
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
	var unknown *engine.UnknownStreamError
	// A stream that the engine has lost is let go, and ends when it is read.
	return err == nil || errors.As(err, &unknown)
}

func (b *engineBackend) logKV(r *run, action string, err error) {
	b.agent.cfg.Log.Info().Str("request_id", r.key.RequestID).Uint32("attempt", r.key.Attempt).
		Str("action", action).AnErr("error", err).Msg("kv cache moved")
}

// resolveForeign implements backend.
func (b *engineBackend) resolveForeign(ctx context.Context, req *nodepb.ResolveRequest) endpoint.State {
	reply, err := b.client.Cancel(ctx, node.CallersID(req.RequestId))
	switch {
	case err != nil || reply.State == engine.CancelUnknown:
		// The dispatch may still be on its way to the engine.
		return endpoint.StateUnknown
	default:
		return endpoint.StateCancelled
	}
}

// knows implements backend.
func (b *engineBackend) knows(ctx context.Context, requestID string) (bool, error) {
	out, err := b.client.Resume(ctx, node.CallersID(requestID), -1)
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
func (b *engineBackend) places(learned *speed.Estimator) int {
	return learned.Places()
}
