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

// headerIdempotencyCreated states when an idempotency key was made, in RFC 3339.
const headerIdempotencyCreated = "Idempotency-Created"

// writeBudget bounds the wait for a reader of an answer that is too long to hold.
const writeBudget = time.Minute

// servicePlaces is how many calls at a time a service is given where the table does not say.
const servicePlaces = 16

// Claims decides whether a request with an idempotency key may run; see claimlog.Log.
type Claims interface {
	// Claim decides about a request.
	Claim(ctx context.Context, r claimlog.Request) (claimlog.Decision, error)
	// Done notes the end of a run.
	Done(id string, answer claim.Answer)
	// Release gives a claim back under which nothing was sent.
	Release(id string)
}

// serviceBackend carries out runs on a plain service.
type serviceBackend struct {
	agent  *Agent
	client *service.Client
}

// newServiceBackend returns the backend for a plain service.
func newServiceBackend(a *Agent) (backend, error) {
	return &serviceBackend{agent: a, client: service.New(a.cfg.EndpointURL)}, nil
}

// serviceRun is one run through a backend.
type serviceRun struct {
	*serviceBackend
	*run
	claim string // held; empty = none
	kept  []byte // the answer's first bytes, for the done-record
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
	d, err := b.agent.cfg.Claims.Claim(ctx, s.claimRequest())
	switch {
	case err != nil:
		return s.refuse(nodepb.Refusal_NOT_RUN, err.Error(), http.StatusServiceUnavailable, retryRefused)
	case d.Refusal != nil:
		return s.refuse(outcomes[d.Refusal.Outcome], string(d.Refusal.Reason), d.Refusal.Status, d.Refusal.RetryAfter)
	case d.Answer != nil:
		return s.replay(ctx, d.Answer)
	}
	s.claim = d.Claim
	if ctx.Err() != nil || d.Late() {
		b.agent.cfg.Claims.Release(s.claim)
		return s.refuse(nodepb.Refusal_NOT_RUN, string(claim.ReasonDeadline), http.StatusGatewayTimeout, 0)
	}
	return s.send(ctx)
}

var outcomes = map[claim.Outcome]nodepb.Refusal_Outcome{
	claim.NotRun:     nodepb.Refusal_NOT_RUN,
	claim.MayHaveRun: nodepb.Refusal_MAY_HAVE_RUN,
	claim.Ran:        nodepb.Refusal_RAN,
}

func (s *serviceRun) claimRequest() claimlog.Request {
	h := s.header
	r := claimlog.Request{
		ID: h.RequestId, Account: h.Account, Key: h.IdempotencyKey, Method: h.Method, Path: h.Pool + h.Path,
		Body: s.body, Wait: time.Duration(h.WaitMs) * time.Millisecond,
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
func (s *serviceRun) refuse(kind nodepb.Refusal_Outcome, reason string, status int, retry time.Duration) outcome {
	s.answer.refuse(&nodepb.Refusal{
		Outcome: kind, Reason: reason, Status: int32(status), RetryAfterMs: retry.Milliseconds(),
	})
	return outcome{kind: endpoint.NeverStarted, acknowledged: true, reason: reason}
}

// replay gives the answer of the first run of the key.
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

// send hands the request to the service, once, and passes its answer on.
func (s *serviceRun) send(ctx context.Context) outcome {
	h := s.header
	req := service.Request{
		ID: s.engineID, Method: h.Method, Path: h.Path, IdempotencyKey: h.IdempotencyKey,
		NonIdempotent: h.NonIdempotent, Body: bytes.NewReader(s.body), Length: int64(len(s.body)),
	}
	for _, field := range h.Headers {
		req.Headers = append(req.Headers, service.Header{Name: field.Name, Value: field.Value})
	}
	a, err := s.client.Do(ctx, req)
	var unsent *service.NotSentError
	if errors.As(err, &unsent) {
		if s.claim != "" {
			s.agent.cfg.Claims.Release(s.claim)
		}
		refused := s.refuse(nodepb.Refusal_NOT_RUN, "endpoint unreachable", http.StatusServiceUnavailable, retryRefused)
		refused.unreachable = true
		return refused
	}
	if err != nil {
		return s.broken(ctx, err)
	}
	defer a.Body.Close()
	s.answer.setHead(headOf(a))
	if err := s.pass(ctx, a.Body); err != nil {
		return s.broken(ctx, err)
	}
	s.done(claim.Answer{Status: a.Status, Headers: keptHeaders(a.Header), Body: s.kept})
	s.answer.finish(&nodepb.End{Outcome: nodepb.End_COMPLETE})
	return outcome{kind: endpoint.Complete, acknowledged: true}
}

// pass copies the answer's body to the readers.
func (s *serviceRun) pass(ctx context.Context, body io.Reader) error {
	buffer := make([]byte, node.MaxChunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.keep(buffer[:n])
			bounded, stop := context.WithTimeout(ctx, writeBudget)
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

// keep holds as much of the answer as a done-record takes, and a byte more to show that there was more.
func (s *serviceRun) keep(p []byte) {
	if s.claim != "" {
		s.kept = append(s.kept, p[:min(len(p), claim.MaxAnswer+1-len(s.kept))]...)
	}
}

func (s *serviceRun) done(a claim.Answer) {
	if s.claim != "" {
		s.agent.cfg.Claims.Done(s.claim, a)
	}
}

// broken ends a run that may have been carried out and whose answer is not whole.
func (s *serviceRun) broken(ctx context.Context, cause error) outcome {
	s.done(claim.Answer{Unknown: true})
	out := outcome{kind: endpoint.Broken, reason: cause.Error()}
	end := &nodepb.End{Outcome: nodepb.End_BROKEN, Reason: out.reason}
	if ctx.Err() != nil {
		out = outcome{kind: endpoint.Cancelled, reason: "cancelled"}
		end = &nodepb.End{Outcome: nodepb.End_CANCELLED, Reason: out.reason}
	}
	if !s.answer.begun() {
		s.answer.refuse(&nodepb.Refusal{
			Outcome: nodepb.Refusal_MAY_HAVE_RUN, Reason: out.reason, Status: http.StatusBadGateway,
		})
	}
	s.answer.finish(end)
	return out
}

func headOf(a *service.Answer) *nodepb.Head {
	head := &nodepb.Head{Status: int32(a.Status)}
	for name, values := range a.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &nodepb.Header{Name: name, Value: value})
		}
	}
	return head
}

// keptHeaders are those that a done-record carries.
func keptHeaders(header http.Header) []claim.Header {
	var kept []claim.Header
	for _, name := range []string{"Content-Type", "Location", "Etag"} {
		for _, value := range header[name] {
			kept = append(kept, claim.Header{Name: name, Value: value})
		}
	}
	return slices.Clip(kept)
}

// suspend implements backend: a service's work can't be suspended.
func (b *serviceBackend) suspend(context.Context, *run) error { return errNoSuspension }

// resume implements backend.
func (b *serviceBackend) resume(context.Context, *run) bool { return false }

// resolveForeign implements backend: only the log knows of another incarnation's run.
func (b *serviceBackend) resolveForeign(context.Context, *nodepb.ResolveRequest) endpoint.State {
	return endpoint.StateUnknown
}

// knows implements backend: what must not run twice is claimed in the log.
func (b *serviceBackend) knows(context.Context, string) (bool, error) { return false, nil }

// background implements backend.
func (b *serviceBackend) background(context.Context, func(message)) {}

// places implements backend: a service's speed says nothing of how many calls it takes.
func (b *serviceBackend) places(*speed.Estimator) int { return servicePlaces }
