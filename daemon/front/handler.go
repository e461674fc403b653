package front

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand"
	"net/http"
	"time"

	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
)

// Causes of the end of a request or an attempt.
var (
	errSilent  = errors.New("endpoint silent")
	errTimeout = errors.New("timeout")
)

// delivery is one request on its way from its caller to endpoints and back.
type delivery struct {
	front   *Front
	w       http.ResponseWriter
	r       *http.Request
	id      uint64
	call    Call
	body    []byte
	grant   routing.Grant
	service string
	arrived time.Duration
	ends    time.Duration // the deadline or the route's timeout, whichever is sooner
	whole   context.Context
	ctx     context.Context // of the attempt in progress

	sends      int             // endpoints that a request was sent to
	runs       int             // of them, those that may have run it
	tries      int             // placements
	avoid      map[string]bool // endpoints it was sent to
	charged    float64
	answered   bool    // a status has been written
	started    bool    // the head of a stream has been passed on
	lastEvent  string  // ID of the last event passed on
	held       *answer // an endpoint's failure that is passed on if nothing better comes
	endpoint   string  // the last one
	firstByte  time.Duration
	queuedTime time.Duration
	lastPassed time.Duration // when the last event was passed on
	longestGap time.Duration // between two events
	before     time.Duration // how long the caller had been asking
}

// serveCaller takes one request from a caller to its final answer.
func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	f.answering.Add(1)
	defer f.answering.Add(-1)
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	d := &delivery{
		front: f, w: w, r: r, id: f.lastID.Add(1), arrived: f.now(), whole: r.Context(), ctx: r.Context(),
		avoid: map[string]bool{},
	}
	outcome := d.serve()
	d.logEnd(outcome)
	if outcome == outcomeCut {
		panic(http.ErrAbortHandler) // the connection breaks, so that the answer does not look whole
	}
}

// outcome names what became of a request.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeRefused  outcome = "refused"
	outcomeDenied   outcome = "denied"
	outcomeFailed   outcome = "failed"
	outcomeTimeout  outcome = "timeout"
	outcomeCut      outcome = "cut"
	outcomeGone     outcome = "caller_gone"
)

func (d *delivery) serve() outcome {
	call, err := d.front.cfg.Wire.ReadCall(d.r)
	if err != nil {
		return d.deny(http.StatusBadRequest, err.Error())
	}
	d.call = call
	if status, reason := d.readBody(); status != 0 {
		return d.deny(status, reason)
	}
	if done := d.admit(); done != "" {
		return done
	}
	limit := d.timeLeft()
	ctx, cancel := context.WithTimeoutCause(d.r.Context(), limit, errTimeout)
	defer cancel()
	d.whole, d.ctx, d.ends = ctx, ctx, d.arrived+limit
	if done := d.charge(); done != "" {
		return done
	}
	done := d.deliver()
	if d.sends == 0 && d.charged > 0 {
		d.front.send(refundMessage{account: d.grant.Account.Name, cost: d.charged})
	}
	return done
}

// readBody reads the body whole, since a request may be sent more than once and an
// endpoint may answer before it has read all.
func (d *delivery) readBody() (status int, reason string) {
	limit := d.front.cfg.MaxBodyBytes
	if t := d.front.belief.Load().table; t != nil && t.Limits.BodyBytes > 0 {
		limit = t.Limits.BodyBytes
	}
	if d.r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, "body too large"
	}
	body, err := io.ReadAll(http.MaxBytesReader(d.w, d.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "body too large"
	case err != nil:
		return http.StatusBadRequest, "body unreadable"
	}
	d.body = body
	return 0, ""
}

// admit checks a request against the configuration.
func (d *delivery) admit() outcome {
	grant, refusal, reason := d.check()
	switch {
	case reason != "":
		return d.refuseNow(reason, freshRetryAfter)
	case refusal == routing.NoRoute:
		return d.deny(http.StatusNotFound, "no such route")
	case refusal == routing.UnknownKey:
		return d.deny(http.StatusUnauthorized, "unknown key")
	}
	d.grant = grant
	d.service = grant.Route.Pick(rand.Float64())
	return ""
}

// freshRetryAfter is when a request is asked back that came before the configuration was known.
const freshRetryAfter = 500 * time.Millisecond

// check resolves the request by the newest configuration. Without one, or with one
// that may be out of date, it gives a reason to refuse for now.
func (d *delivery) check() (routing.Grant, routing.Refusal, string) {
	b := d.front.belief.Load()
	if b.table == nil {
		return routing.Grant{}, routing.NoRoute, "no configuration known"
	}
	grant, refusal := b.table.Admit(d.r.Host, d.r.URL.Path, d.call.Key)
	public := refusal == routing.Allowed && grant.Route.Public
	if !public && !d.front.fresh(b) {
		return routing.Grant{}, refusal, "configuration not known to be the newest"
	}
	return grant, refusal, ""
}

// defaultTimeLimit bounds a request that states no deadline on a route without a timeout.
const defaultTimeLimit = time.Minute

// timeLeft is how long the request may take from now on.
func (d *delivery) timeLeft() time.Duration {
	limit := defaultTimeLimit
	if d.call.Deadline > 0 {
		limit = d.call.Deadline
	}
	if t := d.grant.Route.Timeout; t > 0 {
		limit = min(limit, t)
	}
	return limit - (d.front.now() - d.arrived)
}

// charge counts the request against its account's usage cap.
func (d *delivery) charge() outcome {
	account := d.grant.Account
	if account == nil || account.Rate <= 0 {
		return ""
	}
	cost := 1.0
	if account.Tokens {
		cost = float64(account.PlainTokens)
		if d.call.Counted {
			cost = float64(d.call.PromptTokens + d.call.MaxOutputTokens)
		}
	}
	reply := make(chan chargeReply, 1)
	d.front.send(chargeMessage{account: account.Name, cost: cost, rank: d.grant.Route.Priority, reply: reply})
	select {
	case r := <-reply:
		if !r.allowed {
			return d.overCap(cost, r.wait)
		}
		d.charged = cost
		return ""
	case <-d.front.stopped:
		return d.refuseNow("stopping", minRetryAfter)
	}
}

// deliver sends the request to endpoints until one answers or no further send is allowed.
func (d *delivery) deliver() outcome {
	for {
		placement, done := d.place()
		if done != "" {
			return done
		}
		result := d.attempt(placement)
		d.front.metrics.placed(result.name())
		if result.final != "" {
			return result.final
		}
		if d.whole.Err() != nil {
			return d.ended()
		}
		if done := d.mayGoOn(result); done != "" {
			return done
		}
		d.logAgain(placement, result)
	}
}

// place waits for an endpoint.
func (d *delivery) place() (scheduler.Placement, outcome) {
	if d.tries++; d.tries > maxSends {
		return scheduler.Placement{}, d.giveUp("sent too often")
	}
	reply := make(chan decision, 1)
	attempt, cut := context.WithCancelCause(d.whole)
	d.ctx = attempt
	d.front.send(submitMessage{request: d.request(), first: d.tries == 1, sends: d.sends, reply: reply, cut: cut})
	select {
	case answer := <-reply:
		if answer.refusal != nil {
			return scheduler.Placement{}, d.turnedAway(answer.refusal)
		}
		d.queuedTime += answer.placement.Waited
		return *answer.placement, ""
	case <-d.whole.Done():
		d.front.send(withdrawMessage{id: d.id})
		return scheduler.Placement{}, d.ended()
	case <-d.front.stopped:
		return scheduler.Placement{}, d.giveUp("stopping")
	}
}

const (
	// silenceFloor, silenceTargets and silenceGaps say how long a caller waits for an
	// event: the longest of a time, some target latencies and some target gaps.
	silenceFloor   = 2 * time.Second
	silenceTargets = 4
	silenceGaps    = 8
	// hintlessShare is the part of the most tokens that is expected where no estimate is given.
	hintlessShare = 0.4
)

// request is the call as the scheduler sees it.
func (d *delivery) request() scheduler.Request {
	route := d.grant.Route
	now := d.front.now()
	r := scheduler.Request{
		ID: d.id, Service: d.service, Class: route.Name,
		AccountPriority: d.grant.AccountPriority(), Priority: route.Priority, Stream: route.Kind == routing.Streaming,
		PromptTokens: d.call.PromptTokens, OutputTokens: d.call.OutputHint,
		Arrived: now, GapTarget: route.GapTarget, Deadline: d.ends, NextByteDeadline: d.ends,
		Repeatable: route.Repeatable() && d.runs+1 < route.MaxAttempts, Avoid: maps.Clone(d.avoid),
	}
	if r.OutputTokens == 0 {
		r.OutputTokens = int(hintlessShare * float64(d.call.MaxOutputTokens))
	}
	d.before = d.timeBefore()
	r.Retried = d.before > 0 || d.tries > 1
	r.Due = d.arrived + route.TargetLatency - d.before
	if r.Stream {
		r.EventTimeout = max(silenceFloor, silenceTargets*route.TargetLatency, silenceGaps*route.GapTarget)
		r.StreamStarted = d.started
		r.NextByteDeadline = min(d.ends, max(d.arrived, d.lastPassed)+r.EventTimeout)
	}
	return r
}

// returnedShare is the part of a route's timeout below which a deadline shows that
// the caller came before: callers state the time that is left to them, and differ in
// how long they wait in all.
const returnedShare = 0.82

// timeBefore is how long the caller has been asking before this request.
func (d *delivery) timeBefore() time.Duration {
	timeout := d.grant.Route.Timeout
	if d.call.Deadline <= 0 || d.call.Deadline >= time.Duration(returnedShare*float64(timeout)) {
		return 0
	}
	return timeout - d.call.Deadline
}

// mayGoOn tells whether the request may be sent again after an attempt.
func (d *delivery) mayGoOn(result attemptResult) outcome {
	switch result.kind {
	case notSent:
		return "" // nothing arrived anywhere
	case notRun:
		if !d.budgeted() {
			return d.giveUp("retry budget spent")
		}
	case mayHaveRun:
		if !d.grant.Route.Repeatable() || d.runs >= d.grant.Route.MaxAttempts || !d.budgeted() {
			return d.giveUp(result.reason)
		}
	}
	d.front.metrics.retries.Add(d.front.base, 1)
	return ""
}

// budgeted asks for one further send. An attempt that was cut for its endpoint's
// silence has it already.
func (d *delivery) budgeted() bool {
	if errors.Is(context.Cause(d.ctx), errSilent) {
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
