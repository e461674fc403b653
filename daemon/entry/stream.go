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

// relay copies the answer of one call from agents to the caller. The goroutine of the
// caller's connection owns it.
type relay struct {
	entry    *Entry
	call     *call
	response *caller.Response
	answer   *request.Answer
	head     *nodepb.Head // of the answer; sent with the first bytes of the body
	sent     bool
}

// errCallerGone is returned when the answer cannot be written to the caller.
var errCallerGone = errors.New("caller disconnected")

// run reads one stream of frames and returns the event that reports how it ended. The
// error is set if the answer could not be written to the caller.
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
		return r.withPosition(s, request.StreamReported{Kind: request.StreamInterrupted}), nil
	}
	defer frames.Close()
	progress := false
	for {
		frame, err := frames.Next()
		if err != nil {
			return r.withPosition(s, request.StreamReported{Kind: request.StreamInterrupted}), nil
		}
		event, done, err := r.handleFrame(frame)
		if err != nil {
			return request.StreamReported{}, err
		}
		if done {
			return r.withPosition(s, event), nil
		}
		if !progress && r.head != nil {
			progress = true
			r.entry.post(callEvent{key: r.call.key, event: r.withPosition(s, request.StreamReported{Kind: request.StreamProgress})})
		}
	}
}

// withPosition adds to an event which stream it reports and how far the answer has come.
func (r *relay) withPosition(s streamCommand, event request.StreamReported) request.StreamReported {
	event.Stream = s.stream
	event.Offset = r.answer.Offset()
	event.Sent = r.sent
	return event
}

// open starts the stream of frames that a command asks for.
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

// handleFrame checks one frame and sends its bytes to the caller. Frames of another
// request or attempt are dropped. If done is set, the stream has ended and event
// reports how.
func (r *relay) handleFrame(frame *nodepb.Frame) (event request.StreamReported, done bool, err error) {
	if verdict := r.answer.CheckOwner(frame.RequestId, frame.Attempt); verdict != request.FrameAccepted {
		r.entry.metrics.frameDropped(verdict)
		return event, false, nil
	}
	switch kind := frame.Kind.(type) {
	case *nodepb.Frame_Head:
		if r.head == nil {
			r.head = kind.Head
		}
		return event, false, nil
	case *nodepb.Frame_Chunk:
		return r.handleChunk(frame.Offset, kind.Chunk)
	case *nodepb.Frame_End:
		return r.handleEnd(kind.End)
	case *nodepb.Frame_Refusal:
		return refusalEvent(kind.Refusal), true, nil
	}
	return event, false, nil
}

// handleChunk sends the bytes of a chunk that the caller has not received yet.
func (r *relay) handleChunk(offset int64, data []byte) (event request.StreamReported, done bool, err error) {
	if r.head == nil {
		// Without a head nothing can be sent; interrupting the stream makes the
		// request read the run again from its start.
		return request.StreamReported{Kind: request.StreamInterrupted}, true, nil
	}
	next, verdict := r.answer.AcceptChunk(offset, data)
	switch verdict {
	case request.FrameGap:
		r.entry.metrics.frameDropped(verdict)
		return request.StreamReported{Kind: request.StreamInterrupted}, true, nil
	case request.FrameOverlap:
		r.entry.metrics.frameDropped(verdict)
		return event, false, nil
	}
	return event, false, r.send(next)
}

// send writes bytes to the caller, after the head if they are the first ones.
func (r *relay) send(data []byte) error {
	if !r.sent {
		r.sent = true
		r.entry.metrics.answerStarted(r.call, r.entry.now())
		r.response.WriteHeader(int(r.head.Status), headersOf(r.head))
	}
	if err := r.response.Write(data); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// handleEnd stores the usage of the run and checks that the answer is complete.
func (r *relay) handleEnd(end *nodepb.End) (event request.StreamReported, done bool, err error) {
	r.call.usage.Store(&usage{prefill: end.PrefillTokens, cached: end.CachedTokens, generated: end.GeneratedTokens})
	if end.Outcome != nodepb.End_COMPLETE {
		event = request.StreamReported{Kind: request.StreamEndedEarly, Reason: "the endpoint ended the answer early"}
		return event, true, nil
	}
	if r.head == nil || r.answer.CheckLength(end.Bytes) != request.FrameAccepted {
		r.entry.metrics.frameDropped(request.FrameGap)
		return request.StreamReported{Kind: request.StreamInterrupted}, true, nil
	}
	if !r.sent {
		err = r.send(nil)
	}
	return request.StreamReported{Kind: request.StreamComplete}, true, err
}

// refusalOutcomes lists the known outcomes of a refusal; for all others the request
// may have run.
var refusalOutcomes = map[nodepb.Refusal_Outcome]request.Outcome{
	nodepb.Refusal_NOT_RUN: request.OutcomeNotRun,
	nodepb.Refusal_RAN:     request.OutcomeRan,
}

// refusalEvent returns the event of an agent's refusal. A status that is no HTTP error
// becomes 503.
func refusalEvent(refusal *nodepb.Refusal) request.StreamReported {
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
