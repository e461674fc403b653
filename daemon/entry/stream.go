package entry

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/daemon/peer/caller"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// relay moves the bytes of one answer from agents to the caller. The goroutine
// of the caller's connection owns it.
type relay struct {
	entry  *Entry
	call   *call
	out    *caller.Response
	answer *request.Answer
	head   *nodepb.Head // of the answer, until it is sent
	sent   bool
}

// errCallerGone is returned when the answer cannot be written to the caller.
var errCallerGone = errors.New("caller has gone")

// run reads one stream and returns what to report of it.
func (r *relay) run(ctx context.Context, s streamCommand) (request.StreamReported, error) {
	defer s.close()
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	if !r.sent {
		r.head = nil
	}
	r.answer.BeginAttempt(s.attempt)
	frames, err := r.open(s)
	if err != nil {
		return r.report(s, request.StreamReported{Kind: request.StreamInterrupted}), nil
	}
	defer frames.Close()
	progress := false
	for {
		frame, err := frames.Next()
		if err != nil {
			return r.report(s, request.StreamReported{Kind: request.StreamInterrupted}), nil
		}
		event, done, err := r.take(frame)
		if err != nil {
			return request.StreamReported{}, err
		}
		if done {
			return r.report(s, event), nil
		}
		if !progress && r.head != nil {
			progress = true
			r.entry.post(happened{key: r.call.key, event: r.report(s, request.StreamReported{Kind: request.StreamProgress})})
		}
	}
}

func (r *relay) report(s streamCommand, event request.StreamReported) request.StreamReported {
	event.Stream = s.stream
	event.Offset = r.answer.Offset()
	event.Sent = r.sent
	return event
}

func (r *relay) open(s streamCommand) (*node.FrameReader, error) {
	client := r.entry.client
	if s.dispatch == nil {
		return client.ReadRun(s.ctx, s.agent, r.call.request.ID, s.attempt, s.offset)
	}
	return client.Dispatch(s.ctx, s.agent, r.dispatchHeader(s), bytes.NewReader(r.call.request.Body))
}

func (r *relay) dispatchHeader(s streamCommand) *nodepb.DispatchHeader {
	k := r.call
	q := k.request
	header := &nodepb.DispatchHeader{
		RequestId:   q.ID,
		Attempt:     s.attempt,
		GrantId:     s.dispatch.ID,
		Incarnation: s.dispatch.Incarnation,
		Entry:       r.entry.InternalAddress(),

		Submission:     r.entry.submission(k),
		Account:        k.account.Name,
		Tier:           k.tier.Name,
		Pool:           k.endpoint.Name,
		Method:         q.Method,
		Path:           q.Path,
		WaitMs:         (k.deadline - r.entry.now()).Milliseconds(),
		NonIdempotent:  k.nonIdempotent,
		IdempotencyKey: q.IdempotencyKey,
		PromptTokens:   q.PromptTokens,
		MaxTokens:      expectedTokens(k),
		BodyBytes:      int64(len(q.Body)),
		PrefixHash:     prefixHash(k),
		Stream:         q.Stream,
	}
	for _, h := range q.Headers {
		header.Headers = append(header.Headers, &nodepb.Header{Name: h.Name, Value: h.Value})
	}
	return header
}

// take checks one frame and passes its bytes on. done is set when the stream has ended.
func (r *relay) take(frame *nodepb.Frame) (event request.StreamReported, done bool, err error) {
	if verdict := r.answer.CheckOwner(frame.RequestId, frame.Attempt); verdict != request.FrameAccepted {
		r.entry.metrics.dropped(verdict)
		return event, false, nil
	}
	switch kind := frame.Kind.(type) {
	case *nodepb.Frame_Head:
		if r.head == nil {
			r.head = kind.Head
		}
		return event, false, nil
	case *nodepb.Frame_Chunk:
		return r.chunk(frame.Offset, kind.Chunk)
	case *nodepb.Frame_End:
		return r.end(kind.End)
	case *nodepb.Frame_Refusal:
		return refused(kind.Refusal), true, nil
	}
	return event, false, nil
}

func (r *relay) chunk(offset int64, data []byte) (event request.StreamReported, done bool, err error) {
	if r.head == nil {
		// Without a head nothing can be sent: read again from the start.
		return request.StreamReported{Kind: request.StreamInterrupted}, true, nil
	}
	next, verdict := r.answer.AcceptChunk(offset, data)
	switch verdict {
	case request.FrameGap:
		r.entry.metrics.dropped(verdict)
		return request.StreamReported{Kind: request.StreamInterrupted}, true, nil
	case request.FrameOverlap:
		r.entry.metrics.dropped(verdict)
		return event, false, nil
	}
	return event, false, r.send(next)
}

func (r *relay) send(data []byte) error {
	if !r.sent {
		r.sent = true
		r.entry.metrics.began(r.call, r.entry.now())
		r.out.WriteHeader(int(r.head.Status), headersOf(r.head))
	}
	if err := r.out.Write(data); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

func (r *relay) end(end *nodepb.End) (event request.StreamReported, done bool, err error) {
	r.call.used.Store(&usage{prefill: end.PrefillTokens, cached: end.CachedTokens, generated: end.GeneratedTokens})
	if end.Outcome != nodepb.End_COMPLETE {
		event = request.StreamReported{Kind: request.StreamEndedEarly, Reason: "the endpoint ended the answer early"}
		return event, true, nil
	}
	if r.head == nil || r.answer.CheckLength(end.Bytes) != request.FrameAccepted {
		r.entry.metrics.dropped(request.FrameGap)
		return request.StreamReported{Kind: request.StreamInterrupted}, true, nil
	}
	if !r.sent {
		err = r.send(nil)
	}
	return request.StreamReported{Kind: request.StreamComplete}, true, err
}

var refusalOutcomes = map[nodepb.Refusal_Outcome]request.Outcome{
	nodepb.Refusal_NOT_RUN: request.OutcomeNotRun,
	nodepb.Refusal_RAN:     request.OutcomeRan,
}

func refused(refusal *nodepb.Refusal) request.StreamReported {
	outcome, ok := refusalOutcomes[refusal.Outcome]
	if !ok {
		outcome = request.OutcomeMayHaveRun
	}
	status := int(refusal.Status)
	if status < http.StatusBadRequest || status > 599 {
		status = http.StatusServiceUnavailable
	}
	return request.StreamReported{
		Kind:       request.StreamRefused,
		Outcome:    outcome,
		Status:     status,
		Reason:     refusal.Reason,
		RetryAfter: time.Duration(refusal.RetryAfterMs) * time.Millisecond,
	}
}

func headersOf(head *nodepb.Head) []caller.Header {
	headers := make([]caller.Header, 0, len(head.Headers))
	for _, h := range head.Headers {
		headers = append(headers, caller.Header{Name: h.Name, Value: h.Value})
	}
	return headers
}
