package request

import (
	"net/http"
	"time"
)

// register asks for the right to start, before the grant is used.
func (r *Request) register(held reservation) {
	r.phase = PhaseRegistering
	r.reservations = append(r.reservations, held) // the grant is given back unless it is used
	r.question = r.nextID()
	r.emit(Register{Query: r.question, Attempt: r.attempt, Agent: r.grant.Agent, Located: r.located})
	r.wake(r.spec.Deadline)
}

func (e RegisterReplied) apply(r *Request, now time.Duration) {
	if r.phase != PhaseRegistering || e.Query != r.question {
		return
	}
	r.question = 0
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
		r.wake(now + r.grant.Lease)
	case RegisterFailed:
		r.registerAgain(now)
	}
}

// registerAgain gives the place back and asks again later, up to the limit: the
// registrar may come back, or the list may name another. The right to start
// may have been given, but nothing has been dispatched under it.
func (r *Request) registerAgain(now time.Duration) {
	r.incompletes++
	if r.incompletes >= r.config.QueryFailureLimit {
		r.refuse(http.StatusServiceUnavailable, "the registrar of the request ID cannot be reached", r.config.RetryAfter)
		return
	}
	r.releaseAll()
	r.phase = PhaseWaiting
	r.wake(now + r.policy.Backoff(r.incompletes))
}

func (r *Request) locate() {
	r.phase = PhaseLocating
	r.question = r.nextID()
	r.emit(Locate{Query: r.question})
	r.wake(r.spec.Deadline)
}

func (e LocateReplied) apply(r *Request, now time.Duration) {
	if r.phase != PhaseLocating || e.Query != r.question {
		return
	}
	r.question = 0
	if e.Agent != "" {
		r.join(e.Agent, e.Attempt)
		return
	}
	if !e.Complete {
		r.incomplete(now)
		return
	}
	r.incompletes = 0
	r.located = true
	r.reserve(now)
}

// incomplete asks the pool again after a while, since an agent that does not
// answer may hold the run, and gives up after the limit.
func (r *Request) incomplete(now time.Duration) {
	r.incompletes++
	if r.incompletes >= r.config.QueryFailureLimit {
		r.current = OutcomeMayHaveRun
		r.refuse(http.StatusServiceUnavailable, "not every agent could be asked for the request ID", r.config.RetryAfter)
		return
	}
	r.phase = PhaseUnsure
	r.wake(now + r.policy.Backoff(r.incompletes))
}

// join reads the run that another submission of the same ID started.
func (r *Request) join(agent string, attempt uint32) {
	if !r.joined {
		r.own = r.attempt
	}
	r.joined = true
	if r.current != OutcomeRan {
		r.current = OutcomeMayHaveRun
	}
	r.grant = Grant{Agent: agent}
	r.attempt = attempt
	r.read()
}

// whereIs asks the registrar again where the joined run is: its holder may have
// made another attempt elsewhere.
func (r *Request) whereIs() {
	r.phase = PhaseRegistering
	r.question = r.nextID()
	r.emit(Register{Query: r.question, Attempt: r.own})
	r.wake(r.spec.Deadline)
}

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
