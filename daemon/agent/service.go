package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/claim"
	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/speed"
	"primrosespoke.dev/daemon/claimlog"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
	"primrosespoke.dev/daemon/peer/service"
)

// headerIdempotencyCreated is the header with the time at which an idempotency key was
// created, in RFC 3339.
const headerIdempotencyCreated = "Idempotency-Created"

// answerWriteTimeout bounds the wait for the slowest reader while the answer's buffer is full.
const answerWriteTimeout = time.Minute

// defaultServicePlaces is the number of concurrent calls if the table does not set it.
const defaultServicePlaces = 16

// Claims decides whether a request with an idempotency key may run; claimlog.Log implements it.
type Claims interface {
	// Claim claims the key of a request, or returns why the request must not run.
	Claim(ctx context.Context, r claimlog.Request) (claimlog.Decision, error)
	// Done records how the run under a claim ended.
	Done(id string, answer claim.Answer)
	// Release gives up a claim under which nothing was sent.
	Release(id string)
}

// serviceBackend executes runs on a plain service.
type serviceBackend struct {
	agent  *Agent
	client *service.Client
}

// newServiceBackend returns the backend for a plain service.
func newServiceBackend(a *Agent) (backend, error) {
	return &serviceBackend{agent: a, client: service.New(a.cfg.EndpointURL)}, nil
}

// serviceRun is one run on a plain service.
type serviceRun struct {
	*serviceBackend
	*run
	claimID    string // the claim under which the request runs; empty = none
	bodyPrefix []byte // the first bytes of the body, for the done record
}

// run implements backend.
func (b *serviceBackend) run(ctx context.Context, r *run) outcome {
	s := &serviceRun{serviceBackend: b, run: r}
	if !r.header.NonIdempotent || r.header.IdempotencyKey == "" {
		return s.send(ctx)
	}
	if b.agent.cfg.Claims == nil {
		return s.refuse(nodepb.Refusal_NOT_RUN, "claims are not configured", http.StatusServiceUnavailable, 0)
	}
	decision, err := b.agent.cfg.Claims.Claim(ctx, s.claimRequest())
	switch {
	case err != nil:
		return s.refuse(nodepb.Refusal_NOT_RUN, err.Error(), http.StatusServiceUnavailable, refusalRetryAfter)
	case decision.Refusal != nil:
		return s.refuse(refusalOutcomes[decision.Refusal.Outcome], string(decision.Refusal.Reason), decision.Refusal.Status, decision.Refusal.RetryAfter)
	case decision.Answer != nil:
		return s.replay(ctx, decision.Answer)
	}
	s.claimID = decision.Claim
	if ctx.Err() != nil || decision.DeadlinePassed() {
		b.agent.cfg.Claims.Release(s.claimID)
		return s.refuse(nodepb.Refusal_NOT_RUN, string(claim.ReasonDeadline), http.StatusGatewayTimeout, 0)
	}
	return s.send(ctx)
}

var refusalOutcomes = map[claim.Outcome]nodepb.Refusal_Outcome{
	claim.NotRun:     nodepb.Refusal_NOT_RUN,
	claim.MayHaveRun: nodepb.Refusal_MAY_HAVE_RUN,
	claim.Ran:        nodepb.Refusal_RAN,
}

// claimRequest returns what the claim is decided by. An unreadable creation time counts
// as none.
func (s *serviceRun) claimRequest() claimlog.Request {
	h := s.header
	r := claimlog.Request{
		ID: h.RequestId, Account: h.Account, Key: h.IdempotencyKey, Method: h.Method, Path: h.Pool + h.Path,
		Body: s.body, TimeLeft: time.Duration(h.WaitMs) * time.Millisecond,
	}
	for _, field := range h.Headers {
		if http.CanonicalHeaderKey(field.Name) != headerIdempotencyCreated {
			continue
		}
		if created, err := time.Parse(time.RFC3339, field.Value); err == nil {
			r.CreatedMS = created.UnixMilli()
		}
	}
	return r
}

// refuse ends a run of which nothing was sent.
func (s *serviceRun) refuse(kind nodepb.Refusal_Outcome, reason string, status int, retryAfter time.Duration) outcome {
	s.answer.refuse(&nodepb.Refusal{
		Outcome: kind, Reason: reason, Status: int32(status), RetryAfterMs: retryAfter.Milliseconds(),
	})
	return outcome{kind: endpoint.NeverStarted, acknowledged: true, reason: reason}
}

// replay answers with the recorded answer of the key's first run.
func (s *serviceRun) replay(ctx context.Context, a *claim.Answer) outcome {
	head := &nodepb.Head{Status: int32(a.Status)}
	for _, h := range a.Headers {
		head.Headers = append(head.Headers, &nodepb.Header{Name: h.Name, Value: h.Value})
	}
	s.answer.setHead(head)
	if err := s.answer.write(ctx, a.Body); err != nil {
		s.answer.finish(&nodepb.End{Outcome: nodepb.End_CANCELLED})
		return outcome{kind: endpoint.Cancelled, acknowledged: true, reason: "cancelled"}
	}
	s.answer.finish(&nodepb.End{Outcome: nodepb.End_COMPLETE})
	return outcome{kind: endpoint.Complete, acknowledged: true, reason: "replayed"}
}

// send sends the request to the service once and copies the answer to the readers.
func (s *serviceRun) send(ctx context.Context) outcome {
	h := s.header
	req := service.Request{
		ID: s.endpointRunID, Method: h.Method, Path: h.Path, IdempotencyKey: h.IdempotencyKey,
		NonIdempotent: h.NonIdempotent, Body: bytes.NewReader(s.body), Length: int64(len(s.body)),
	}
	for _, field := range h.Headers {
		req.Headers = append(req.Headers, service.Header{Name: field.Name, Value: field.Value})
	}
	a, err := s.client.Do(ctx, req)
	var notSent *service.NotSentError
	if errors.As(err, &notSent) {
		if s.claimID != "" {
			s.agent.cfg.Claims.Release(s.claimID)
		}
		refused := s.refuse(nodepb.Refusal_NOT_RUN, "endpoint unreachable", http.StatusServiceUnavailable, refusalRetryAfter)
		refused.unreachable = true
		return refused
	}
	if err != nil {
		return s.endIncomplete(ctx, err)
	}
	defer a.Body.Close()
	s.answer.setHead(headOf(a))
	if err := s.copyBody(ctx, a.Body); err != nil {
		return s.endIncomplete(ctx, err)
	}
	s.reportDone(claim.Answer{Status: a.Status, Headers: recordedHeaders(a.Header), Body: s.bodyPrefix})
	s.answer.finish(&nodepb.End{Outcome: nodepb.End_COMPLETE})
	return outcome{kind: endpoint.Complete, acknowledged: true}
}

// copyBody copies the body of the service's answer to the readers.
func (s *serviceRun) copyBody(ctx context.Context, body io.Reader) error {
	buffer := make([]byte, node.MaxChunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.keepPrefix(buffer[:n])
			bounded, stop := context.WithTimeout(ctx, answerWriteTimeout)
			failed := s.answer.write(bounded, buffer[:n])
			stop()
			if failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// keepPrefix keeps the first bytes of the body for the done record. It keeps one byte
// more than a record may have, which shows that the answer is too large.
func (s *serviceRun) keepPrefix(p []byte) {
	if s.claimID != "" {
		s.bodyPrefix = append(s.bodyPrefix, p[:min(len(p), claim.MaxAnswer+1-len(s.bodyPrefix))]...)
	}
}

// reportDone records the answer under the run's claim, if it has one.
func (s *serviceRun) reportDone(a claim.Answer) {
	if s.claimID != "" {
		s.agent.cfg.Claims.Done(s.claimID, a)
	}
}

// endIncomplete ends a run that may have been executed but whose answer is not whole.
func (s *serviceRun) endIncomplete(ctx context.Context, cause error) outcome {
	s.reportDone(claim.Answer{Unknown: true})
	out := outcome{kind: endpoint.Broken, reason: cause.Error()}
	end := &nodepb.End{Outcome: nodepb.End_BROKEN, Reason: out.reason}
	if ctx.Err() != nil {
		out = outcome{kind: endpoint.Cancelled, reason: "cancelled"}
		end = &nodepb.End{Outcome: nodepb.End_CANCELLED, Reason: out.reason}
	}
	if !s.answer.hasHead() {
		s.answer.refuse(&nodepb.Refusal{
			Outcome: nodepb.Refusal_MAY_HAVE_RUN, Reason: out.reason, Status: http.StatusBadGateway,
		})
	}
	s.answer.finish(end)
	return out
}

// headOf returns the status and headers of the service's answer.
func headOf(a *service.Answer) *nodepb.Head {
	head := &nodepb.Head{Status: int32(a.Status)}
	for name, values := range a.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &nodepb.Header{Name: name, Value: value})
		}
	}
	return head
}

// recordedHeaders returns the headers of an answer that its done record contains.
func recordedHeaders(header http.Header) []claim.Header {
	var kept []claim.Header
	for _, name := range []string{"Content-Type", "Location", "Etag"} {
		for _, value := range header[name] {
			kept = append(kept, claim.Header{Name: name, Value: value})
		}
	}
	return slices.Clip(kept)
}

// suspend implements backend. A call to a service cannot be suspended.
func (b *serviceBackend) suspend(context.Context, *run) error { return errNoSuspension }

// resume implements backend. It is never needed, since no run is suspended.
func (b *serviceBackend) resume(context.Context, *run) bool { return false }

// resolveOtherIncarnation implements backend. A service cannot be asked about a run; only
// the claim log knows of those of other incarnations.
func (b *serviceBackend) resolveOtherIncarnation(context.Context, *nodepb.ResolveRequest) endpoint.State {
	return endpoint.StateUnknown
}

// hasRun implements backend. It is always false: a request that must not run twice has a
// claim in the claim log instead.
func (b *serviceBackend) hasRun(context.Context, string) (bool, error) { return false, nil }

// background implements backend. A service reports nothing on its own.
func (b *serviceBackend) background(context.Context, func(message)) {}

// places implements backend. How fast a service answers does not tell how many concurrent
// calls it can take, so the number is fixed.
func (b *serviceBackend) places(*speed.Estimator) int { return defaultServicePlaces }
