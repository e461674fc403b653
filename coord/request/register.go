package request

import (
	"net/http"
	"time"
)

// register asks the registrar for the right to start, before the grant is used.
func (r *Request) register(held reservation) {
	r.phase = PhaseRegistering
	r.reservations = append(r.reservations, held) // so that releaseAll gives the grant back unless it is used
	r.queryID = r.nextID()
	r.emit(Register{Query: r.queryID, Attempt: r.attempt, Agent: r.grant.Agent, Located: r.located})
	r.setTimer(r.spec.Deadline)
}

func (e RegisterReplied) apply(r *Request, now time.Duration) {
	if r.phase != PhaseRegistering || e.Query != r.queryID {
		return
	}
	r.queryID = 0
	if r.joined {
		r.rejoin(e)
		return
	}
	switch e.Verdict {
	case RegisterGranted:
		r.reservations = nil
		r.dispatch(now)
	case RegisterHeld:
		r.releaseAll()
		r.join(e.Agent, e.Attempt)
	case RegisterUnsure:
		r.located = false
		r.releaseAll()
		r.phase = PhaseUnsure
		r.setTimer(now + r.grant.Lease)
	case RegisterFailed:
		r.retryRegister(now)
	}
}

// retryRegister gives the place back and asks again later, up to the limit. By
// then the registrar may be reachable again, or the instance list may name
// another one. The right to start may have been given, but nothing was
// dispatched under it.
func (r *Request) retryRegister(now time.Duration) {
	r.failedLookups++
	if r.failedLookups >= r.config.QueryFailureLimit {
		r.refuse(http.StatusServiceUnavailable, "the registrar of the request ID cannot be reached", r.config.RetryAfter)
		return
	}
	r.releaseAll()
	r.phase = PhaseWaiting
	r.setTimer(now + r.policy.Backoff(r.failedLookups))
}

func (r *Request) locate() {
	r.phase = PhaseLocating
	r.queryID = r.nextID()
	r.emit(Locate{Query: r.queryID})
	r.setTimer(r.spec.Deadline)
}

func (e LocateReplied) apply(r *Request, now time.Duration) {
	if r.phase != PhaseLocating || e.Query != r.queryID {
		return
	}
	r.queryID = 0
	if e.Agent != "" {
		r.join(e.Agent, e.Attempt)
		return
	}
	if !e.Complete {
		r.retryLocate(now)
		return
	}
	r.failedLookups = 0
	r.located = true
	r.reserve(now)
}

// retryLocate asks the pool again after a back-off, because an agent that did
// not answer may hold the run, and refuses the request at the limit.
func (r *Request) retryLocate(now time.Duration) {
	r.failedLookups++
	if r.failedLookups >= r.config.QueryFailureLimit {
		r.currentOutcome = OutcomeMayHaveRun
		r.refuse(http.StatusServiceUnavailable, "not every agent could be asked for the request ID", r.config.RetryAfter)
		return
	}
	r.phase = PhaseUnsure
	r.setTimer(now + r.policy.Backoff(r.failedLookups))
}

// join reads the answer of the run that another submission of the ID started.
func (r *Request) join(agent string, attempt uint32) {
	if !r.joined {
		r.ownAttempt = r.attempt
	}
	r.joined = true
	if r.currentOutcome != OutcomeRan {
		r.currentOutcome = OutcomeMayHaveRun
	}
	r.grant = Grant{Agent: agent}
	r.attempt = attempt
	r.read()
}

// locateJoinedRun asks the registrar again where the joined run is, because the
// submission that holds the right may have made another attempt elsewhere.
func (r *Request) locateJoinedRun() {
	r.phase = PhaseRegistering
	r.queryID = r.nextID()
	r.emit(Register{Query: r.queryID, Attempt: r.ownAttempt})
	r.setTimer(r.spec.Deadline)
}

// rejoin handles the registrar's answer to locateJoinedRun.
func (r *Request) rejoin(e RegisterReplied) {
	switch {
	case e.Verdict == RegisterFailed:
		r.read()
	case e.Verdict != RegisterHeld:
		r.fail(http.StatusBadGateway, "the run of this request ID is no longer known", 0)
	case r.sent && e.Attempt != r.attempt:
		r.fail(http.StatusBadGateway, "the run of this request ID ended early", 0)
	default:
		r.join(e.Agent, e.Attempt)
	}
}
