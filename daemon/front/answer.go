package front

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/scheduler"
)

// answer is an endpoint's answer, read whole.
type answer struct {
	status int
	header http.Header
	body   *heldAnswer
}

// hopByHopHeaders apply to one connection only and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop ones, among them
// those that the Connection header names.
func EndToEndHeaders(h http.Header) http.Header {
	passed := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		passed.Del(name)
	}
	return passed
}

// writeAnswer sends an endpoint's answer to the caller unchanged.
func (d *delivery) writeAnswer(a *answer) outcome {
	d.endpointStatus = a.status
	d.writeHead(a.header)
	if d.request.Method != http.MethodHead {
		d.writer.Header().Set("Content-Length", strconv.Itoa(a.body.length()))
	}
	d.writer.WriteHeader(a.status)
	control := http.NewResponseController(d.writer)
	transfers := d.front.answerMemory.writing
	writing := transfers.begin(d.call.ID, a.body.bytes(), d.endWriting)
	defer transfers.remove(writing)
	for _, piece := range a.body.pieces {
		// What a caller does not read takes room that others wait for.
		if err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
			d.front.log.Debug().Err(err).Msg("write_deadline_not_set")
		}
		for part := range slices.Chunk(piece, writePieceBytes) {
			if _, err := transfers.move(writing, func() (int, error) { return d.writer.Write(part) }); err != nil {
				return outcomeGone
			}
		}
	}
	return outcomeAnswered
}

// endWriting has the write to the caller that is in progress fail.
func (d *delivery) endWriting() {
	if err := http.NewResponseController(d.writer).SetWriteDeadline(time.Now()); err != nil {
		d.front.log.Debug().Str("request_id", d.call.ID).Err(err).Msg("write_deadline_not_set")
	}
}

// logAnswerEnded logs that the writing of an answer was ended for others.
func (f *Front) logAnswerEnded(x *transfer) {
	f.metrics.transfersEnded.Add(f.baseContext, 1, metric.WithAttributes(attribute.String("kind", "answer")))
	f.logTransfer("answer_ended_for_others", x)
}

// writeHead copies an endpoint's end-to-end headers into the caller's answer.
func (d *delivery) writeHead(header http.Header) {
	d.answered = true
	d.firstByteAt = d.front.now()
	d.closeIfDraining()
	own := d.writer.Header()
	for name, values := range EndToEndHeaders(header) {
		own[name] = values
	}
}

// problem is the JSON body of an answer that the front itself produces (RFC 9457).
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
}

// Values of problem.Outcome.
const (
	reportedNotRun     = "not_run"
	reportedMayHaveRun = "may_have_run"
)

// problemAnswer sends an answer that the front itself produces.
func (d *delivery) problemAnswer(status int, outcome, detail string) {
	d.answered = true
	d.closeIfDraining()
	h := d.writer.Header()
	h.Set("Content-Type", "application/problem+json")
	if d.call.ID != "" {
		h.Set(d.front.config.Wire.RequestIDHeader(), d.call.ID)
	}
	body, err := json.Marshal(problem{Title: http.StatusText(status), Status: status, Outcome: outcome, Detail: detail})
	if err != nil {
		d.front.log.Error().Err(err).Msg("problem_unencodable")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	d.writer.WriteHeader(status)
	if _, err := d.writer.Write(body); err != nil {
		d.front.log.Debug().Str("request_id", d.call.ID).Err(err).Msg("answer_not_written")
	}
}

// deny answers a request that is invalid or not allowed.
func (d *delivery) deny(status int, reason string) outcome {
	d.problemAnswer(status, reportedNotRun, reason)
	e := d.front.log.Info().Str("request_id", d.call.ID).Int("status", status).Str("reason", reason).
		Str("host", d.request.Host).Int("placements", d.placements)
	if state := d.checkedBy; state != nil && state.table != nil {
		age, _ := state.freshness.Age(d.checkedAt)
		d.front.metrics.denied(status, state.proof.kind, age)
		e = e.Int64("version", state.table.Version).Int64("configuration_age_ms", age.Milliseconds()).
			Str("proof_source", state.proof.source).Str("proof_kind", state.proof.kind).Int64("proof_next", state.proof.next).
			Int64("proof_took_ms", state.proof.took.Milliseconds())
	}
	e.Msg("request_denied")
	return outcomeDenied
}

// denyOrGiveUp ends a request that a newer version does not allow. A denial says that it was not
// run, so one that may have run gets what came of that.
func (d *delivery) denyOrGiveUp(status int, reason string) outcome {
	if d.runs > 0 {
		return d.giveUp(reason)
	}
	return d.deny(status, reason)
}

func (d *delivery) version() int64 {
	if t := d.front.configuration.Load().table; t != nil {
		return t.Version
	}
	return 0
}

// Bounds of the Retry-After that callers are sent.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// refuse answers that the request was not run, and after which time to retry.
func (d *delivery) refuse(status int, reason string, after time.Duration) outcome {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	d.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	d.problemAnswer(status, reportedNotRun, reason)
	return outcomeRefused
}

// refuseUnavailable refuses a request that this front can't check or charge now.
func (d *delivery) refuseUnavailable(reason string, after time.Duration) outcome {
	d.front.log.Info().Str("request_id", d.call.ID).Str("reason", reason).
		Int64("version", d.version()).Int64("configuration_age_ms", d.front.configurationAge().Milliseconds()).Msg("request_refused")
	return d.refuse(http.StatusServiceUnavailable, reason, after)
}

// refuseOrGiveUp ends a request that this front can't check or charge now, which may have run.
func (d *delivery) refuseOrGiveUp(reason string, after time.Duration) outcome {
	if d.runs > 0 {
		return d.giveUp(reason)
	}
	return d.refuseUnavailable(reason, after)
}

// reasonOverCap is why a request is not sent under an account that has used up its cap.
const reasonOverCap = "usage cap"

// refuseOverCap refuses a request that exceeds its account's usage cap.
func (d *delivery) refuseOverCap(cost float64, wait time.Duration) outcome {
	d.front.log.Info().Str("request_id", d.call.ID).Str("account", d.admission.Account.Name).
		Str("reason", reasonOverCap).Float64("cost", cost).Int64("fits_after_ms", wait.Milliseconds()).
		Int64("version", d.admission.Version).Msg("request_refused")
	return d.refuse(http.StatusTooManyRequests, reasonOverCap, wait)
}

// refuseByScheduler answers a request that the scheduler refused.
func (d *delivery) refuseByScheduler(r *scheduler.Refusal) outcome {
	if r.Reason == scheduler.ReasonEngineMemory {
		d.front.metrics.memoryRefusals.Add(d.front.baseContext, 1)
	}
	d.front.log.Info().Str("request_id", d.call.ID).Str("reason", string(r.Reason)).Str("service", d.service).
		Int64("waited_ms", r.Waited.Milliseconds()).Int("queued", r.Queued).Int("runs", d.runs).Bool("beyond_share", r.BeyondShare).Str("account", d.admission.AccountName()).
		Int("memory_need", r.MemoryNeed).Int("memory_tokens", r.MemoryTokens).
		Int64("retry_after_ms", r.RetryAfter.Milliseconds()).Msg("request_refused")
	if d.runs > 0 {
		return d.giveUp("no further endpoint")
	}
	return d.refuse(http.StatusServiceUnavailable, string(r.Reason), r.RetryAfter)
}

// giveUp sends the final answer of a request that may not be sent again.
func (d *delivery) giveUp(reason string) outcome {
	d.front.log.Info().Str("request_id", d.call.ID).Str("reason", reason).Int("sends", d.sends).Int("runs", d.runs).
		Str("endpoint", d.lastEndpoint).Bool("started", d.streamStarted).Msg("request_given_up")
	switch {
	case d.streamStarted:
		return outcomeInterrupted
	case d.runs == 0:
		return d.refuse(http.StatusServiceUnavailable, reason, minRetryAfter)
	case d.takeHeldFailure():
		return d.writeAnswer(d.heldFailure)
	}
	d.problemAnswer(http.StatusBadGateway, reportedMayHaveRun, reason)
	return outcomeFailed
}

// endUnanswered sends the final answer after the deadline, or none if the caller has gone.
func (d *delivery) endUnanswered() outcome {
	if d.request.Context().Err() != nil {
		return outcomeGone
	}
	if !errors.Is(context.Cause(d.requestContext), errTimeout) {
		return d.giveUp(context.Cause(d.requestContext).Error())
	}
	d.front.log.Info().Str("request_id", d.call.ID).Int("sends", d.sends).Int("runs", d.runs).
		Str("endpoint", d.lastEndpoint).Bool("started", d.streamStarted).Msg("request_timed_out")
	switch {
	case d.streamStarted:
		return outcomeInterrupted
	case d.runs == 0:
		return d.refuse(http.StatusServiceUnavailable, "timeout", minRetryAfter)
	case d.takeHeldFailure():
		return d.writeAnswer(d.heldFailure)
	}
	d.problemAnswer(http.StatusGatewayTimeout, reportedMayHaveRun, "timeout")
	return outcomeTimeout
}

// logEnd records a request's metrics and logs its end.
func (d *delivery) logEnd(o outcome) {
	route := ""
	if d.admission.Route != nil {
		route = d.admission.Route.Name
	}
	spent := d.front.now() - d.arrived
	d.front.metrics.ended(string(o), route, spent)
	if d.sends > 0 {
		d.front.metrics.waited.Record(d.front.baseContext, d.queuedTime.Seconds())
	}
	e := d.front.log.Info().Str("request_id", d.call.ID).Str("outcome", string(o)).Str("route", route).
		Int("sends", d.sends).Str("endpoint", d.lastEndpoint).
		Int("prompt_tokens", d.call.PromptTokens).Int("output_hint", d.call.OutputHint).
		Int64("queued_ms", d.queuedTime.Milliseconds()).Int64("total_ms", spent.Milliseconds())
	if d.admission.Account != nil {
		e = e.Str("account", d.admission.Account.Name).Float64("charged", d.charged.cost)
	}
	if d.firstByteAt > 0 {
		first := d.firstByteAt - d.arrived
		d.front.metrics.firstByte.Record(d.front.baseContext, first.Seconds())
		e = e.Int64("first_byte_ms", first.Milliseconds()).Int64("longest_gap_ms", d.longestGap.Milliseconds())
	}
	if d.endpointStatus != 0 {
		e = e.Int("endpoint_status", d.endpointStatus)
	}
	e.Msg("request_ended")
}

// logRetry logs that a request is placed again.
func (d *delivery) logRetry(p scheduler.Placement, result attemptResult) {
	d.front.log.Info().Str("request_id", d.call.ID).Int("sends", d.sends).Int("runs", d.runs).
		Str("endpoint", p.Endpoint).Str("result", result.name()).Str("reason", result.reason).
		Str("last_event", d.lastEvent).Msg("request_placed_again")
}
