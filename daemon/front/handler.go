package front

import (
	"context"
	"errors"
	"maps"
	"math/rand"
	"net/http"
	"time"

	"primrosespoke.dev/coord/quarantine"
	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
)

// Causes of the cancellation of a request or an attempt.
var (
	errSilent  = errors.New("endpoint silent")
	errTimeout = errors.New("timeout")
)

// delivery is the state of one caller's request, from its arrival to its final answer.
// One goroutine uses it.
type delivery struct {
	front          *Front
	writer         http.ResponseWriter
	request        *http.Request
	id             uint64 // sequence number within this process, the request's ID in the scheduler
	call           Call
	body           []byte
	bodyRoom       int64                // of Front.bodyMemory, which the body takes
	content        uint64               // see contentID
	subjects       []quarantine.Subject // see subjectsOf
	admission      routing.Admission
	checkedBy      *configurationState // by which the request was checked last; nil = it was not
	checkedAt      time.Duration
	maxRuns        int // by all versions of the configuration that it was checked against
	service        string
	arrived        time.Duration   // times are of Front.clock
	deadline       time.Duration   // the deadline or the route's timeout, whichever is sooner
	requestContext context.Context // ends at the deadline or when the caller has gone
	attemptContext context.Context // ends in addition when the attempt is cancelled

	sends               int             // how often the request was sent to an endpoint
	runs                int             // sends after which the endpoint may have run it
	placements          int             // how often the request was queued for a placement
	triedEndpoints      map[string]bool // endpoints that it was placed at, which are avoided
	endpointStatus      int             // of the endpoint's answer that the caller was sent whole; 0 = none
	charged             charge          // to the account
	answered            bool            // the headers of an answer have been prepared
	streamStarted       bool            // the status and headers of a stream have been sent to the caller
	lastEvent           string          // ID of the last event that the caller was sent
	eventsFrom          string          // the endpoint that sent the last event
	streamVersion       string          // of the software that began the stream; empty = it has not begun
	beganStream         bool            // its first event came here, and callers may take it up again
	heldFailure         *answer         // an endpoint's failure, which the caller gets if no further attempt succeeds
	lastEndpoint        string          // of the last placement
	firstByteAt         time.Duration   // when an endpoint's answer began to be sent to the caller
	queuedTime          time.Duration   // sum over all placements
	attemptWritingSince time.Duration   // when the endpoint of the current attempt began to write its answer; 0 = not yet
	attemptSentAt       time.Duration   // when the current attempt was sent; 0 = not yet
	lastEventAt         time.Duration   // when the caller was sent the last event
	longestGap          time.Duration   // between two events
}

// serveCaller handles one request of a caller.
func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	f.inProgress.Add(1)
	defer f.inProgress.Add(-1)
	d := &delivery{
		front: f, writer: w, request: r, id: f.lastDeliveryID.Add(1), arrived: f.now(), requestContext: r.Context(), attemptContext: r.Context(),
		triedEndpoints: map[string]bool{},
	}
	defer d.releaseBody()
	outcome := d.serve()
	d.holdFailure(nil)
	d.logEnd(outcome)
	if outcome == outcomeInterrupted {
		panic(http.ErrAbortHandler) // breaks the connection, so that the caller does not take the answer for complete
	}
}

// outcome says how a request ended, in logs and metrics; empty = it has not ended.
type outcome string

const (
	outcomeAnswered    outcome = "answered"
	outcomeRefused     outcome = "refused"
	outcomeDenied      outcome = "denied"
	outcomeFailed      outcome = "failed"
	outcomeTimeout     outcome = "timeout"
	outcomeInterrupted outcome = "cut"
	outcomeGone        outcome = "caller_gone"
)

// serve reads, checks, charges and delivers the request.
func (d *delivery) serve() outcome {
	call, err := d.front.config.Wire.ReadCall(d.request)
	if err != nil {
		return d.deny(http.StatusBadRequest, err.Error())
	}
	d.call = call
	if done := d.readBody(); done != "" {
		return done
	}
	if done := d.admit(); done != "" {
		return done
	}
	limit := d.timeLeft()
	timed, cancel := context.WithTimeoutCause(d.request.Context(), limit, errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(timed)
	defer end(nil)
	defer context.AfterFunc(d.front.endContext, func() { end(errStopping) })()
	d.requestContext, d.attemptContext, d.deadline = ctx, ctx, d.front.now()+limit
	if done := d.checkSendEnd(); done != "" {
		return done
	}
	if done := d.findOrigin(); done != "" {
		return done
	}
	if done := d.charge(); done != "" {
		return done
	}
	done := d.deliver()
	if d.beganStream {
		d.front.send(streamEndedMessage{key: d.originKey()})
	}
	d.refund()
	return done
}

// admit checks the request against the configuration and selects its service.
func (d *delivery) admit() outcome {
	admission, refusal, reason := d.awaitCheck()
	switch {
	case reason != "":
		return d.refuseUnavailable(reason, staleRetryAfter)
	case refusal == routing.NoRoute:
		return d.deny(http.StatusNotFound, "no such route")
	case refusal == routing.UnknownKey:
		return d.deny(http.StatusUnauthorized, "unknown key")
	}
	d.adopt(admission)
	d.service = admission.Route.Pick(rand.Float64())
	d.identify()
	return ""
}

// identify computes the IDs under which the request is suspected if an endpoint ends while it runs it.
func (d *delivery) identify() {
	d.content = contentID(d.request, d.admission.AccountName(), d.body)
	d.subjects = subjectsOf(d.call.PromptParts, d.content)
}

// adopt takes over the admission by a version of the configuration. How often the request may run
// is limited by each version that it was checked against: what was accepted as a request that runs
// once stays one, and what must run once by now is not repeated.
func (d *delivery) adopt(admission routing.Admission) {
	d.admission = admission
	runs := 1
	if admission.Route.Repeatable() {
		runs = max(admission.Route.MaxAttempts, 1)
	}
	if d.maxRuns == 0 || runs < d.maxRuns {
		d.maxRuns = runs
	}
}

// staleRetryAfter is the Retry-After of a request that is refused because the
// configuration is unknown or may be out of date.
const staleRetryAfter = 500 * time.Millisecond

// defaultTimeLimit applies to a request without a deadline on a route without a timeout.
const defaultTimeLimit = time.Minute

// timeLeft returns how long the request may still take.
func (d *delivery) timeLeft() time.Duration {
	limit := defaultTimeLimit
	if d.call.Deadline > 0 {
		limit = d.call.Deadline
	}
	if t := d.admission.Route.Timeout; t > 0 {
		limit = min(limit, t)
	}
	return limit - (d.front.now() - d.arrived)
}

// charge is the usage that was charged for a request.
type charge struct {
	account string
	cost    float64 // 0 = nothing was charged
	sends   int     // of the request before
}

// refund cancels the charge unless the request was sent under it.
func (d *delivery) refund() {
	if d.charged.cost > 0 && d.sends == d.charged.sends {
		d.front.send(refundMessage{account: d.charged.account, cost: d.charged.cost})
	}
}

// charge counts the request against its account's usage cap, and refuses it if it
// exceeds the cap.
func (d *delivery) charge() outcome {
	d.charged = charge{}
	account := d.admission.Account
	if account == nil || account.Rate <= 0 {
		return ""
	}
	cost := 1.0
	if account.CountTokens {
		cost = float64(account.DefaultTokens)
		if d.call.HasTokenCounts {
			cost = float64(d.call.PromptTokens + d.call.MaxOutputTokens)
		}
	}
	if !d.front.awaitMembers(d.requestContext) {
		return d.refuseOrGiveUp("other entries unknown", staleRetryAfter)
	}
	reply := make(chan chargeReply, 1)
	d.front.send(chargeMessage{account: account.Name, cost: cost, rank: d.admission.Route.Priority, reply: reply})
	select {
	case r := <-reply:
		switch {
		case !r.allowed && d.runs > 0:
			return d.giveUp(reasonOverCap)
		case !r.allowed:
			return d.refuseOverCap(cost, r.wait)
		}
		d.charged = charge{account: account.Name, cost: cost, sends: d.sends}
		return ""
	case <-d.front.stopped:
		return d.refuseOrGiveUp(errStopping.Error(), minRetryAfter)
	}
}

// deliver sends the request to one endpoint after another until one answers or no further
// send is allowed.
func (d *delivery) deliver() outcome {
	for {
		placement, done := d.awaitPlacement()
		if done != "" {
			return done
		}
		result := d.attempt(placement)
		d.front.metrics.placed(result.name())
		if result.final != "" {
			return result.final
		}
		if d.requestContext.Err() != nil {
			return d.endUnanswered()
		}
		if done := d.checkRetry(result); done != "" {
			return done
		}
		d.logRetry(placement, result)
	}
}

// awaitPlacement queues the request and waits until the scheduler places or refuses it.
func (d *delivery) awaitPlacement() (scheduler.Placement, outcome) {
	if d.placements++; d.placements > maxSends {
		return scheduler.Placement{}, d.giveUp("sent too often")
	}
	reply := make(chan decision, 1)
	attempt, cancel := context.WithCancelCause(d.requestContext)
	d.attemptContext = attempt
	d.front.send(submitMessage{request: d.schedulerRequest(), callID: d.call.ID, subjects: d.subjects, first: d.placements == 1, sends: d.sends, reply: reply, cancel: cancel})
	drainBegun := d.front.drainBegun
	var tooLate <-chan time.Time
	for {
		select {
		case decided := <-reply:
			if decided.refusal != nil {
				return scheduler.Placement{}, d.refuseByScheduler(decided.refusal)
			}
			d.queuedTime += decided.placement.Waited
			return *decided.placement, ""
		case <-drainBegun:
			drainBegun = nil
			if left, limited := d.sendEnd(); limited {
				tooLate = time.After(left)
			}
		case <-tooLate:
			d.front.send(withdrawMessage{id: d.id})
			return scheduler.Placement{}, d.endUnsent()
		case <-d.requestContext.Done():
			d.front.send(withdrawMessage{id: d.id})
			return scheduler.Placement{}, d.endUnanswered()
		case <-d.front.stopped:
			return scheduler.Placement{}, d.giveUp(errStopping.Error())
		}
	}
}

const (
	// A caller abandons a stream without an event, also before the first, after the longest of
	// these times: minEventTimeout, eventTimeoutTargetLatencies times the route's target latency,
	// and eventTimeoutTargetGaps times its target gap. The platform's protocol says so.
	minEventTimeout             = 2 * time.Second
	eventTimeoutTargetLatencies = 4
	eventTimeoutTargetGaps      = 8
	// expectedOutputShare is the expected number of generated tokens, as a fraction of the
	// maximum, for a request without an estimate.
	expectedOutputShare = 0.4
)

// schedulerRequest describes the request to the scheduler.
func (d *delivery) schedulerRequest() scheduler.Request {
	route := d.admission.Route
	now := d.front.now()
	r := scheduler.Request{
		ID: d.id, Service: d.service,
		AccountPriority: d.admission.AccountPriority(), Priority: route.Priority, Stream: route.Kind == routing.Streaming,
		PromptTokens: d.call.PromptTokens, OutputTokens: d.call.OutputHint, MaxOutputTokens: d.call.MaxOutputTokens, Account: d.admission.AccountName(),
		Arrived: now, GapTarget: route.GapTarget, Deadline: d.deadline, NextByteDeadline: d.deadline,
		Repeatable: d.runs+1 < d.maxRuns, Avoid: maps.Clone(d.triedEndpoints),
		Version: d.streamVersion, Route: route.Name,
	}
	switch most := d.call.MaxOutputTokens; {
	case r.OutputTokens == 0:
		r.OutputTokens = int(expectedOutputShare * float64(most))
	case most > 0:
		r.OutputTokens = min(r.OutputTokens, most)
	}
	if r.Stream {
		r.EventTimeout = max(minEventTimeout, eventTimeoutTargetLatencies*route.TargetLatency, eventTimeoutTargetGaps*route.GapTarget)
		r.StreamStarted = d.streamStarted
		r.NextByteDeadline = min(d.deadline, max(d.arrived, d.lastEventAt)+r.EventTimeout)
	}
	return r
}

// checkRetry ends the request if it may not be sent again after an attempt. An empty
// outcome means that it may.
func (d *delivery) checkRetry(result attemptResult) outcome {
	if d.beganStream && d.originAmbiguous() {
		return d.giveUp(reasonOriginAmbiguous)
	}
	switch result.kind {
	case notSent:
		return "" // no endpoint received anything, so no budget is needed
	case notRun:
		if !d.takeRetryBudget() {
			return d.giveUp("retry budget spent")
		}
	case mayHaveRun:
		if result.broken && !d.mayResend() {
			return d.giveUp(result.reason)
		}
		if d.runs >= d.maxRuns || !d.takeRetryBudget() {
			return d.giveUp(result.reason)
		}
	}
	d.front.metrics.retries.Add(d.front.baseContext, 1)
	return ""
}

// takeRetryBudget takes one further send out of the retry budget. For an attempt that was
// cancelled because its endpoint was silent, cancelSilent has done so already.
func (d *delivery) takeRetryBudget() bool {
	if errors.Is(context.Cause(d.attemptContext), errSilent) {
		return true
	}
	reply := make(chan bool, 1)
	d.front.send(retryMessage{service: d.service, attempt: uint32(d.sends), reply: reply})
	select {
	case ok := <-reply:
		return ok
	case <-d.front.stopped:
		return false
	}
}
