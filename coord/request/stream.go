package request

import (
	"net/http"
	"time"

	"primrosespoke.dev/coord/invariant"
)

// dispatch uses the grant. From here on the attempt may have started.
func (r *Request) dispatch(now time.Duration) {
	invariant.Check(now < r.spec.Deadline, "request/no-dispatch-past-deadline",
		"request %s dispatched at %s, deadline %s", r.spec.ID, now, r.spec.Deadline)
	invariant.Check(r.mayAttempt(), "request/attempt-after-proof",
		"request %s attempt %d while the outcome is %s, sent %t", r.spec.ID, r.attempt, r.Outcome(), r.sent)
	r.phase = PhaseStreaming
	r.stream = r.nextID()
	r.questions = 0
	r.breaks = 0
	r.current = OutcomeMayHaveRun
	r.emit(Dispatch{Stream: r.stream, Attempt: r.attempt, Grant: r.grant})
	r.wake(r.spec.Deadline)
}

// mayAttempt tells whether an attempt may be dispatched after all before it.
func (r *Request) mayAttempt() bool {
	if r.sent || r.joined || r.current != OutcomeNotRun {
		return false
	}
	if r.spec.NonIdempotent || r.config.Strict {
		return r.past == OutcomeNotRun
	}
	return r.past != OutcomeMayHaveRun
}

func (e StreamReported) apply(r *Request, now time.Duration) {
	if r.phase != PhaseStreaming || e.Stream != r.stream {
		return
	}
	r.note(e)
	switch e.Kind {
	case StreamProgress:
		r.current = OutcomeRan
	case StreamComplete:
		r.current = OutcomeRan
		r.end(Finish{})
	case StreamRefused:
		r.refused(now, e)
	case StreamEndedEarly:
		r.current = OutcomeRan
		r.again(now, http.StatusBadGateway, e.Reason, 0)
	case StreamInterrupted:
		r.cut(now, e)
	}
}

// note records what the caller has got by now.
func (r *Request) note(e StreamReported) {
	if e.Sent {
		r.sent = true
		r.current = OutcomeRan
	}
	if e.Offset > r.offset {
		r.offset = e.Offset
		r.breaks = 0
		r.questions = 0
	}
}

// cut handles a stream that ended without an end: a run is read on at the
// offset, an attempt whose outcome is not known is resolved first.
func (r *Request) cut(now time.Duration, e StreamReported) {
	r.stream = 0
	r.breaks++
	if r.breaks > r.config.ReadFailureLimit {
		r.abandonRun()
		r.fail(http.StatusBadGateway, "the answer could not be read to its end", 0)
		return
	}
	if !r.joined {
		r.resolve()
		return
	}
	// A run that its agent does not know may still be on its way there.
	r.phase = PhaseResolving
	r.question = 0
	r.wake(now + r.policy.Backoff(r.breaks))
}

func (r *Request) abandonRun() {
	if !r.joined {
		r.emit(Cancel{Attempt: r.attempt, Grant: r.grant})
	}
}

func (r *Request) resolve() {
	if r.joined {
		r.whereIs()
		return
	}
	r.phase = PhaseResolving
	r.question = r.nextID()
	r.emit(Resolve{Query: r.question, Attempt: r.attempt, Grant: r.grant, Cancel: r.cancelled})
	r.wake(r.spec.Deadline)
}

func (e ResolveReplied) apply(r *Request, now time.Duration) {
	if r.phase != PhaseResolving || e.Query != r.question {
		return
	}
	r.question = 0
	switch e.State {
	case AttemptNotStarted:
		r.replace(now)
	case AttemptRunning, AttemptEnded:
		r.current = OutcomeRan
		if r.cancelled {
			r.unanswered(now)
			return
		}
		r.read()
	case AttemptCancelled:
		r.current = OutcomeRan
		r.again(now, http.StatusBadGateway, "the run was cancelled", 0)
	case AttemptUnknown:
		r.replaced()
	case AttemptUnanswered:
		r.unanswered(now)
	}
}

// unanswered asks again after a while, and gives up after the limit.
func (r *Request) unanswered(now time.Duration) {
	r.questions++
	if r.questions >= r.config.QueryFailureLimit {
		r.emit(Cancel{Attempt: r.attempt, Grant: r.grant})
		r.fail(http.StatusBadGateway, "the agent that was given the request cannot be reached", 0)
		return
	}
	r.wake(now + r.policy.Backoff(r.questions))
}

func (r *Request) read() {
	r.phase = PhaseStreaming
	r.stream = r.nextID()
	r.emit(Read{Stream: r.stream, Attempt: r.attempt, Agent: r.grant.Agent, Offset: r.offset})
	r.wake(r.spec.Deadline)
}

// replaced handles an attempt whose agent was replaced by another incarnation:
// the new one may still end the run at the endpoint, which proves that it ended.
func (r *Request) replaced() {
	if r.cancelled || r.sent {
		r.abandonRun()
		r.fail(http.StatusBadGateway, "the agent that was given the request was replaced", 0)
		return
	}
	r.cancelled = true
	r.resolve()
}

// refused handles an agent's refusal of the dispatch. One that only means "not
// here, not now" sends the request back to wait for another place; for a
// non-idempotent request the log may be out, and its caller is told at once.
func (r *Request) refused(now time.Duration, e StreamReported) {
	r.current = e.Outcome
	if e.Outcome == OutcomeNotRun && !r.joined && !r.sent {
		if r.elsewhere(e) {
			r.replace(now)
			return
		}
		if r.conflict(e) {
			r.conflicts++
			r.current = OutcomeNotRun
			r.next(now)
			r.locate()
			return
		}
	}
	r.stream = 0
	r.fail(e.Status, e.Reason, e.RetryAfter)
}

// elsewhere tells whether a refusal only means "not here, not now".
func (r *Request) elsewhere(e StreamReported) bool {
	return e.Status == http.StatusServiceUnavailable && !(r.spec.NonIdempotent && e.RetryAfter > 0)
}

// conflict tells whether the agent may have refused because another entry asked
// the pool for the ID later than this one. Then this one asks again.
func (r *Request) conflict(e StreamReported) bool {
	return e.Status == http.StatusConflict && r.spec.ChosenID && r.conflicts < conflictLimit
}

// replace sends the request back to wait, because its attempt never started
// and never will. That costs no work, so no budget is spent.
func (r *Request) replace(now time.Duration) {
	r.current = OutcomeNotRun
	r.failures++
	agent := r.grant.Agent
	r.next(now + r.policy.Backoff(r.failures))
	r.denied = append(r.denied, agent)
}

// again begins a further attempt after one that started and is proven to have
// ended, where that is allowed, and fails otherwise.
func (r *Request) again(now time.Duration, status int, reason string, retryAfter time.Duration) {
	r.stream = 0
	r.past, r.current = OutcomeRan, OutcomeNotRun
	if r.mayAttempt() {
		if delay, ok := r.policy.Retry(now, r.attempt); ok {
			r.next(now + delay)
			return
		}
	}
	r.fail(status, reason, retryAfter)
}

// next lets the request wait for a place for its next attempt.
func (r *Request) next(at time.Duration) {
	r.stream = 0
	r.attempt++
	r.offset = 0
	r.cancelled = false
	r.located = false
	r.grant = Grant{}
	r.phase = PhaseWaiting
	r.wake(at)
}
