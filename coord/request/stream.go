package request

import (
	"net/http"
	"time"

	"primrosespoke.dev/coord/invariant"
)

// dispatch sends the request to the agent of the grant. From then on the attempt
// may have started.
func (r *Request) dispatch(now time.Duration) {
	invariant.Check(now < r.spec.Deadline, "request/no-dispatch-past-deadline",
		"request %s dispatched at %s, deadline %s", r.spec.ID, now, r.spec.Deadline)
	invariant.Check(r.mayDispatch(), "request/attempt-after-proof",
		"request %s attempt %d while the outcome is %s, sent %t", r.spec.ID, r.attempt, r.Outcome(), r.sent)
	r.phase = PhaseStreaming
	r.streamID = r.nextID()
	r.failedResolves = 0
	r.readFailures = 0
	r.currentOutcome = OutcomeMayHaveRun
	r.emit(Dispatch{Stream: r.streamID, Attempt: r.attempt, Grant: r.grant})
	r.setTimer(r.spec.Deadline)
}

// mayDispatch tells whether another attempt may be dispatched, given the outcomes
// of the earlier ones and whether some of an answer was sent.
func (r *Request) mayDispatch() bool {
	if r.sent || r.joined || r.currentOutcome != OutcomeNotRun {
		return false
	}
	if r.spec.NonIdempotent || r.config.Strict {
		return r.pastOutcome == OutcomeNotRun
	}
	return r.pastOutcome != OutcomeMayHaveRun
}

func (e StreamReported) apply(r *Request, now time.Duration) {
	if r.phase != PhaseStreaming || e.Stream != r.streamID {
		return
	}
	r.recordProgress(e)
	switch e.Kind {
	case StreamProgress:
		r.currentOutcome = OutcomeRan
	case StreamComplete:
		r.currentOutcome = OutcomeRan
		r.end(Finish{})
	case StreamRefused:
		r.dispatchRefused(now, e)
	case StreamEndedEarly:
		r.currentOutcome = OutcomeRan
		r.retryOrFail(now, http.StatusBadGateway, e.Reason, 0)
	case StreamInterrupted:
		r.streamInterrupted(now, e)
	}
}

// recordProgress records what was sent to the caller so far.
func (r *Request) recordProgress(e StreamReported) {
	if e.Sent {
		r.sent = true
		r.currentOutcome = OutcomeRan
	}
	if e.Offset > r.offset {
		r.offset = e.Offset
		r.readFailures = 0
		r.failedResolves = 0
	}
}

// streamInterrupted handles a stream that stopped without an end frame. The
// request's own attempt is resolved before its answer is read on at the offset;
// a joined run is looked up again after a back-off.
func (r *Request) streamInterrupted(now time.Duration, e StreamReported) {
	r.streamID = 0
	r.readFailures++
	if r.readFailures > r.config.ReadFailureLimit {
		r.cancelRun()
		r.fail(http.StatusBadGateway, "the answer could not be read to its end", 0)
		return
	}
	if !r.joined {
		r.resolve()
		return
	}
	// The dispatch of a run that its agent does not know may still be under way.
	r.phase = PhaseResolving
	r.queryID = 0
	r.setTimer(now + r.policy.Backoff(r.readFailures))
}

// cancelRun cancels the current attempt unless another submission started it.
func (r *Request) cancelRun() {
	if !r.joined {
		r.emit(Cancel{Attempt: r.attempt, Grant: r.grant})
	}
}

// resolve asks the agent for the state of the request's own attempt, or the
// registrar for the joined run.
func (r *Request) resolve() {
	if r.joined {
		r.locateJoinedRun()
		return
	}
	r.phase = PhaseResolving
	r.queryID = r.nextID()
	r.emit(Resolve{Query: r.queryID, Attempt: r.attempt, Grant: r.grant, Cancel: r.cancelling})
	r.setTimer(r.spec.Deadline)
}

func (e ResolveReplied) apply(r *Request, now time.Duration) {
	if r.phase != PhaseResolving || e.Query != r.queryID {
		return
	}
	r.queryID = 0
	switch e.State {
	case AttemptNotStarted:
		r.requeue(now)
	case AttemptRunning, AttemptEnded:
		r.currentOutcome = OutcomeRan
		if r.cancelling {
			r.retryResolve(now)
			return
		}
		r.read()
	case AttemptCancelled:
		r.currentOutcome = OutcomeRan
		r.retryOrFail(now, http.StatusBadGateway, "the run was cancelled", 0)
	case AttemptUnknown:
		r.agentReplaced()
	case AttemptUnanswered:
		r.retryResolve(now)
	}
}

// retryResolve asks the agent again after a back-off. At the limit it cancels the
// attempt and ends the request.
func (r *Request) retryResolve(now time.Duration) {
	r.failedResolves++
	if r.failedResolves >= r.config.QueryFailureLimit {
		r.emit(Cancel{Attempt: r.attempt, Grant: r.grant})
		r.fail(http.StatusBadGateway, "the agent that was given the request cannot be reached", 0)
		return
	}
	r.setTimer(now + r.policy.Backoff(r.failedResolves))
}

// read reads the run's answer from the first byte that was not sent yet.
func (r *Request) read() {
	r.phase = PhaseStreaming
	r.streamID = r.nextID()
	r.emit(Read{Stream: r.streamID, Attempt: r.attempt, Agent: r.grant.Agent, Offset: r.offset})
	r.setTimer(r.spec.Deadline)
}

// agentReplaced handles an attempt whose agent was replaced by another
// incarnation. The new one is asked to cancel the run at the endpoint, which
// proves that the run has ended if it succeeds.
func (r *Request) agentReplaced() {
	if r.cancelling || r.sent {
		r.cancelRun()
		r.fail(http.StatusBadGateway, "the agent that was given the request was replaced", 0)
		return
	}
	r.cancelling = true
	r.resolve()
}

// dispatchRefused handles an agent's refusal of the dispatch. If another place
// may serve the request, it waits for one; if another entry has asked the pool
// for the ID, the pool is asked again. All other refusals go to the caller.
func (r *Request) dispatchRefused(now time.Duration, e StreamReported) {
	r.currentOutcome = e.Outcome
	if e.Outcome == OutcomeNotRun && !r.joined && !r.sent {
		if r.mayPlaceElsewhere(e) {
			r.requeue(now)
			return
		}
		if r.mayLocateAgain(e) {
			r.conflicts++
			r.currentOutcome = OutcomeNotRun
			r.waitForNextAttempt(now)
			r.locate()
			return
		}
	}
	r.streamID = 0
	r.fail(e.Status, e.Reason, e.RetryAfter)
}

// mayPlaceElsewhere tells whether a refusal only means that this agent cannot
// serve the request now. A non-idempotent request that is told when to retry was
// refused because the claim log may be unavailable, and its caller learns it at once.
func (r *Request) mayPlaceElsewhere(e StreamReported) bool {
	return e.Status == http.StatusServiceUnavailable && !(r.spec.NonIdempotent && e.RetryAfter > 0)
}

// mayLocateAgain tells whether the agent may have refused because another entry
// asked the pool for the ID later than this one, which then asks again.
func (r *Request) mayLocateAgain(e StreamReported) bool {
	return e.Status == http.StatusConflict && r.spec.ChosenID && r.conflicts < conflictLimit
}

// requeue lets the request wait for another place, because its attempt never
// started and never will. No work was lost, so no retry budget is spent.
func (r *Request) requeue(now time.Duration) {
	r.currentOutcome = OutcomeNotRun
	r.failedPlacements++
	agent := r.grant.Agent
	r.waitForNextAttempt(now + r.policy.Backoff(r.failedPlacements))
	r.deniedAgents = append(r.deniedAgents, agent)
}

// retryOrFail handles an attempt that started and is proven to have ended: the
// request waits for another attempt if that is allowed, and fails otherwise.
func (r *Request) retryOrFail(now time.Duration, status int, reason string, retryAfter time.Duration) {
	r.streamID = 0
	r.pastOutcome, r.currentOutcome = OutcomeRan, OutcomeNotRun
	if r.mayDispatch() {
		if delay, ok := r.policy.Retry(now, r.attempt); ok {
			r.waitForNextAttempt(now + delay)
			return
		}
	}
	r.fail(status, reason, retryAfter)
}

// waitForNextAttempt resets the state of the attempt and lets the request wait
// for a place for the next one.
func (r *Request) waitForNextAttempt(at time.Duration) {
	r.streamID = 0
	r.attempt++
	r.offset = 0
	r.cancelling = false
	r.located = false
	r.grant = Grant{}
	r.phase = PhaseWaiting
	r.setTimer(at)
}
