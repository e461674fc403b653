package front

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

// resultKind says what is known about a request after an attempt.
type resultKind int

const (
	// finished: the caller has its final answer.
	finished resultKind = iota + 1
	// notSent: no byte of the request reached the endpoint.
	notSent
	// notRun: the endpoint states that it has not run the request and never will.
	notRun
	// mayHaveRun: the request was sent, and no complete answer was received.
	mayHaveRun
)

// attemptResult is how one attempt ended.
type attemptResult struct {
	kind   resultKind
	final  outcome // set if the caller has its final answer
	reason string
	// broken is set if the connection ended before the answer was complete, other than by
	// this front.
	broken bool
	// answered is set if the answer was a whole success.
	answered bool
}

var resultNames = map[resultKind]string{
	finished: "finished", notSent: "not_sent", notRun: "not_run", mayHaveRun: "may_have_run",
}

func (r attemptResult) name() string {
	return resultNames[r.kind]
}

func finishedWith(o outcome) attemptResult {
	return attemptResult{kind: finished, final: o}
}

// attempt sends the request to one endpoint and reports the outcome to the scheduler.
func (d *delivery) attempt(p scheduler.Placement) attemptResult {
	d.lastEndpoint = p.Endpoint
	d.attemptWritingSince, d.attemptSentAt = 0, 0
	d.triedEndpoints[p.Endpoint] = true
	d.logPlaced(p)
	d.front.metrics.placedIn(d.service, p.Outside)
	result, outcome := d.exchange(p)
	if result.broken {
		d.reportBreak(p)
	}
	done := doneMessage{id: d.id, outcome: outcome, route: d.admission.Route.Name, worked: d.worked(result)}
	if result.answered {
		done.answered = d.subjects
	}
	d.front.send(done)
	return result
}

// logPlaced logs the placement with the values that the scheduler based it on.
func (d *delivery) logPlaced(p scheduler.Placement) {
	d.front.log.Info().Str("request_id", d.call.ID).Int("attempt", d.placements).Str("service", d.service).Str("endpoint", p.Endpoint).Bool("outside_domain", p.Outside).Str("endpoint_version", p.Version).Float64("share", p.Share).
		Int64("waited_ms", p.Waited.Milliseconds()).Int("running", p.Running).Int("slots", p.Slots).
		Int("prompts", p.PendingPromptTokens).Int64("event_ms", p.EventInterval.Milliseconds()).Int64("prompt_rate", int64(p.PromptRate)).Int64("expected_ms", p.ExpectedFirstEvent.Milliseconds()).Float64("score", p.Score).Int64("report_age_ms", p.ReportAge.Milliseconds()).
		Int64("stated_age_ms", p.StatedAge.Milliseconds()).Float64("slowdown", p.Slowdown).
		Int("memory_need", p.MemoryNeed).Int("memory_free", p.MemoryFree).Int64("memory_waited_ms", p.MemoryWaited.Milliseconds()).Bool("memory_reserved", p.MemoryReserved).
		Int64("list_age_ms", d.front.listAge().Milliseconds()).Bool("granted", p.Granted).Bool("beyond_share", p.BeyondShare).Str("account", d.admission.AccountName()).Bool("endpoint_limited", d.front.isLimited(p.Endpoint)).
		Int64("version", d.admission.Version).Msg("request_placed")
}

// exchange gets a connection, checks that the request is still allowed, sends it and
// reads the answer.
func (d *delivery) exchange(p scheduler.Placement) (attemptResult, scheduler.Outcome) {
	conn, err := d.front.pool.Get(d.attemptContext, p.Address, d.call.ID)
	if err != nil {
		if d.attemptContext.Err() != nil {
			return attemptResult{kind: notSent, reason: err.Error()}, scheduler.Abandoned
		}
		return attemptResult{kind: notSent, reason: err.Error()}, scheduler.Unreachable
	}
	stop := context.AfterFunc(d.attemptContext, conn.Close)
	defer stop()
	if reason, outcome := d.checkIncarnation(p, conn); reason != "" {
		conn.Close()
		d.front.metrics.placementVoid(reason)
		return attemptResult{kind: notSent, reason: reason}, outcome
	}
	if done := d.checkSendEnd(); done != "" {
		conn.Close()
		return finishedWith(done), scheduler.Abandoned
	}
	// Last, since time passes before: nothing that is checked below may lapse until the send.
	if result, ok := d.stillAllowed(); !ok {
		conn.Close()
		return result, scheduler.Abandoned
	}
	if reason := d.checkPlacement(p); reason != "" {
		conn.Close()
		d.front.metrics.placementVoid(reason)
		return attemptResult{kind: notSent, reason: reason}, scheduler.Abandoned
	}
	d.attemptSentAt = d.front.now()
	sent, err := conn.Send(d.backendRequest(p))
	if err != nil && !sent {
		conn.Close()
		return attemptResult{kind: notSent, reason: err.Error()}, d.connectionOutcome()
	}
	d.sends++
	resp, err := conn.Receive(d.request.Method, d.isAnswerToRequest)
	if err != nil {
		conn.Close()
		d.runs++
		return attemptResult{kind: mayHaveRun, reason: d.failureReason(err), broken: d.attemptContext.Err() == nil}, d.connectionOutcome()
	}
	result, outcome := d.receive(p, conn, resp)
	if outcome != scheduler.Answered && outcome != scheduler.Rejected {
		conn.Close()
	}
	return result, outcome
}

// checkPlacement returns a reason not to carry out a placement, which may have been made some
// time ago; empty = the request may be sent.
func (d *delivery) checkPlacement(p scheduler.Placement) string {
	return cmp.Or(d.front.checkEndpoint(p), d.front.checkLimit(p), d.checkSubjects())
}

// connectionOutcome returns the outcome of an attempt that ended without a complete answer.
func (d *delivery) connectionOutcome() scheduler.Outcome {
	if d.attemptContext.Err() == nil {
		return scheduler.Failed
	}
	if errors.Is(context.Cause(d.attemptContext), errSilent) {
		return scheduler.Unreachable
	}
	return scheduler.Abandoned
}

// failureReason names the reason for the cancellation of the attempt, or else the error.
func (d *delivery) failureReason(err error) string {
	if cause := context.Cause(d.attemptContext); cause != nil {
		return cause.Error()
	}
	return err.Error()
}

// reasonRepeatForbidden is why a request that ran is not sent again.
const reasonRepeatForbidden = "repeat forbidden by a newer configuration"

// stillAllowed checks the request against the current configuration once more before it
// is sent: it may have waited in the queue, and the process may have been suspended.
func (d *delivery) stillAllowed() (attemptResult, bool) {
	admission, refusal, reason := d.awaitCheck()
	allowed := reason == "" && refusal == routing.Allowed
	// A stream that has begun is not moved, since its events are all of one account.
	sameAccount := allowed && admission.AccountName() == d.admission.AccountName()
	switch {
	case sameAccount && (d.streamStarted || admission.Version == d.admission.Version):
		return attemptResult{}, true
	case d.streamStarted:
		return finishedWith(outcomeInterrupted), false
	case reason != "":
		return finishedWith(d.refuseOrGiveUp(reason, staleRetryAfter)), false
	case refusal == routing.NoRoute:
		return finishedWith(d.denyOrGiveUp(http.StatusNotFound, "no such route any more")), false
	case refusal == routing.UnknownKey:
		return finishedWith(d.denyOrGiveUp(http.StatusUnauthorized, "key removed")), false
	}
	before := d.admission
	d.adopt(admission)
	if d.runs > 0 && d.runs >= d.maxRuns {
		d.front.log.Info().Str("request_id", d.call.ID).Int64("version_before", before.Version).Int64("version", admission.Version).
			Str("route", admission.Route.Name).Int("runs", d.runs).Int("max_runs", d.maxRuns).Msg("repeat_forbidden")
		return finishedWith(d.giveUp(reasonRepeatForbidden)), false
	}
	if !sameAccount {
		return d.changeAccount(before), false
	}
	if !admission.Route.Allows(d.service) {
		d.service = admission.Route.Pick(rand.Float64())
		return attemptResult{kind: notSent, reason: "route moved"}, false
	}
	return attemptResult{}, true
}

// changeAccount has the request go on under the account that holds its key by now. It is placed
// again, since its priority and its content ID depend on the account.
func (d *delivery) changeAccount(before routing.Admission) attemptResult {
	d.front.log.Info().Str("request_id", d.call.ID).Int64("version_before", before.Version).Int64("version", d.admission.Version).
		Str("account_before", before.AccountName()).Str("account", d.admission.AccountName()).Int("sends", d.sends).Int("runs", d.runs).
		Msg("request_account_changed")
	d.refund()
	if done := d.charge(); done != "" {
		return finishedWith(done)
	}
	d.identify()
	if !d.admission.Route.Allows(d.service) {
		d.service = d.admission.Route.Pick(rand.Float64())
	}
	return attemptResult{kind: notSent, reason: "key of another account by now"}
}

// backendRequest builds the request to the placement's endpoint.
func (d *delivery) backendRequest(p scheduler.Placement) *backend.Request {
	a := Attempt{Endpoint: p.Endpoint, Account: d.admission.AccountName(), LastEvent: d.call.LastEvent}
	if d.call.Deadline > 0 {
		a.TimeLeft = max(d.deadline-d.front.now(), time.Millisecond)
	}
	if d.lastEvent != "" {
		a.LastEvent = d.lastEvent
	}
	return &backend.Request{
		Method: d.request.Method, URI: d.request.RequestURI, Host: d.request.Host,
		Header: d.front.config.Wire.RequestHeader(&d.call, a), Body: d.body,
		HasBody: d.request.ContentLength != 0 || len(d.body) > 0,
	}
}

// isAnswerToRequest reports whether an answer belongs to this request. An answer without
// a request ID is accepted only if its status is an error.
func (d *delivery) isAnswerToRequest(status int, h http.Header) bool {
	head := d.front.config.Wire.ReadHead(status, h)
	if head.RequestID == "" {
		return status >= http.StatusBadRequest
	}
	return head.RequestID == d.call.ID
}

// receive reads an answer and decides by its status and headers whether the caller gets
// it. Streams are relayed event by event.
func (d *delivery) receive(p scheduler.Placement, conn *backend.Conn, resp *http.Response) (attemptResult, scheduler.Outcome) {
	head := d.front.config.Wire.ReadHead(resp.StatusCode, resp.Header)
	if head.Leaving {
		d.front.send(leavingMessage{endpoint: p.Endpoint, born: p.Born, requestID: d.call.ID})
	}
	d.reportLimit(p, head)
	if head.Load != nil && !head.Misdirected {
		d.front.send(statementMessage{endpoint: p.Endpoint, born: p.Born, statement: *head.Load, requestID: d.call.ID})
	}
	if resp.StatusCode >= http.StatusBadRequest {
		conn.MarkFailed(d.call.ID)
	}
	if !d.isProof(resp.StatusCode, head, conn.Reused()) {
		d.runs++
		conn.Close()
		return attemptResult{kind: mayHaveRun, reason: reasonNoProof}, scheduler.Failed
	}
	if head.NotRun {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejectionBytes)); err != nil {
			conn.Close()
		} else {
			conn.Release(resp)
		}
		return attemptResult{kind: notRun, reason: "rejected with " + resp.Status}, scheduler.Rejected
	}
	d.runs++
	success := resp.StatusCode < http.StatusMultipleChoices
	// Without a seal a denial or a redirect may come from another program at the endpoint's address.
	if head.Encoded || resp.StatusCode < http.StatusInternalServerError && !head.Sealed {
		return attemptResult{kind: mayHaveRun, reason: fmt.Sprintf("answer without seal, status %d", resp.StatusCode)}, scheduler.Failed
	}
	if success && d.admission.Route.Kind == routing.Streaming {
		if d.streamStarted && !sameMediaType(d.writer.Header(), resp.Header) {
			return attemptResult{kind: mayHaveRun, reason: reasonNotTakenUp}, scheduler.Failed
		}
		return d.relayStream(p, conn, resp)
	}
	body := d.front.answerMemory.newAnswer(p.Endpoint, conn.Close)
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	defer func() {
		if a != d.heldFailure {
			body.release()
		}
	}()
	if err := body.readBody(d.attemptContext, resp.Body, resp.ContentLength); err != nil {
		return d.cutShort("answer cut short", err, body)
	}
	if d.endedWithEndpoint(p, conn, resp) {
		return attemptResult{kind: mayHaveRun, reason: reasonEndpointEnded, broken: true}, scheduler.Failed
	}
	if !body.keep(heldDelivering) {
		return d.cutShort("answer cut short", errNoRoom, body)
	}
	conn.Release(resp)
	return d.handleAnswer(a, success)
}

// cutShort returns how an attempt ends whose answer was not read to its end.
func (d *delivery) cutShort(reason string, err error, held *heldAnswer) (attemptResult, scheduler.Outcome) {
	if held.wasGivenUp() {
		err = errNoRoom
	}
	if errors.Is(err, errNoRoom) || errors.Is(err, errAnswerTooLong) || errors.Is(err, errEventTooLong) {
		d.front.log.Warn().Str("request_id", d.call.ID).Str("endpoint", d.lastEndpoint).Int64("bytes", held.bytes()).
			Bool("started", d.streamStarted).Err(err).Msg("answer_given_up")
		d.front.metrics.answerGivenUp(err.Error())
		return attemptResult{kind: mayHaveRun, reason: reason + ": " + err.Error()}, scheduler.Failed
	}
	return attemptResult{kind: mayHaveRun, reason: reason + ": " + d.failureReason(err), broken: d.attemptContext.Err() == nil}, d.connectionOutcome()
}

// reasonNotTakenUp is why an answer does not go on with a stream that has begun.
const reasonNotTakenUp = "stream not taken up"

// sameMediaType reports whether two answers have bodies of the same kind.
func sameMediaType(a, b http.Header) bool {
	return mediaType(a) == mediaType(b)
}

// mediaType returns the media type of a body without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// reasonNoProof is why a rejection does not count as one.
const reasonNoProof = "rejected without proof that the request was not run"

// isProof reports whether an answer that tells callers that their request was not run shows that.
// An endpoint that closes an idle connection may write an answer of its own accord, which then
// arrives as the answer to a request that it runs or that it has not read. So a rejection counts
// only if it names the request, or if it is the first answer on its connection and nothing could
// name the request: another endpoint that has the address now may not, and the caller may have
// chosen no ID. A status that promises that nothing was run counts only if the endpoint states
// that too or has sealed its answer.
func (d *delivery) isProof(status int, head Head, reused bool) bool {
	switch {
	case head.NotRun && head.RequestID != "":
		return head.RequestID == d.call.ID
	case head.NotRun:
		return !reused && (head.Misdirected || d.call.ID == "")
	case isPromise(status):
		return head.Sealed
	}
	return true
}

// isPromise reports whether a status tells a caller that the request was not run and never will be.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

const (
	// maxRejectionBytes limits how much of a rejection's body is read so that its
	// connection can be reused.
	maxRejectionBytes = 64 << 10
	// maxAnswerBytes limits the body of an answer that is not a stream.
	maxAnswerBytes = 16 << 20
)

// handleAnswer sends a complete answer to the caller. It holds an endpoint's failure back
// if another endpoint may still answer the request.
func (d *delivery) handleAnswer(a *answer, success bool) (attemptResult, scheduler.Outcome) {
	if d.streamStarted {
		return attemptResult{kind: mayHaveRun, reason: reasonNotTakenUp}, scheduler.Failed
	}
	if !success && a.status >= http.StatusInternalServerError && d.maxRuns > 1 {
		if a.body.keep(heldParked) {
			d.holdFailure(a)
		}
		return attemptResult{kind: mayHaveRun, reason: "endpoint failed with " + http.StatusText(a.status)}, scheduler.Failed
	}
	outcome := scheduler.Answered
	if a.status >= http.StatusInternalServerError {
		outcome = scheduler.Failed
	}
	result := finishedWith(d.writeAnswer(a))
	result.answered = success
	return result, outcome
}

// holdFailure keeps an endpoint's failure in place of an earlier one; nil = none.
func (d *delivery) holdFailure(a *answer) {
	if d.heldFailure != nil {
		d.heldFailure.body.release()
	}
	d.heldFailure = a
}

// takeHeldFailure reports whether there is a failure for the caller, and keeps it until it is
// written.
func (d *delivery) takeHeldFailure() bool {
	return d.heldFailure != nil && d.heldFailure.body.keep(heldDelivering)
}
