package request

import (
	"net/http"
	"slices"
	"time"
)

func (Admitted) apply(r *Request, now time.Duration) {
	r.admitted = true
	if r.phase == PhaseWaiting && now >= r.timerAt {
		r.reserve(now)
		return
	}
	r.setTimer(r.timerAt)
}

func (AdmissionRevoked) apply(r *Request, _ time.Duration) {
	r.admitted = false
	if r.phase != PhaseReserving {
		return
	}
	r.releaseAll()
	r.phase = PhaseWaiting
	r.setTimer(r.spec.Deadline)
}

// reserve places further reservations, up to the configured number.
func (r *Request) reserve(now time.Duration) {
	if !r.admitted {
		r.phase = PhaseWaiting
		r.setTimer(r.spec.Deadline)
		return
	}
	exclude := slices.Clone(r.deniedAgents)
	for _, held := range r.reservations {
		exclude = append(exclude, held.agent)
	}
	missing := r.config.Reservations - len(r.reservations)
	if missing > 0 {
		for _, agent := range r.policy.Pick(now, exclude, missing) {
			r.emitReserve(agent)
		}
	}
	if len(r.reservations) == 0 {
		r.backOff(now)
		return
	}
	r.phase = PhaseReserving
	r.setTimer(r.spec.Deadline)
}

func (r *Request) emitReserve(agent string) {
	placed := reservation{id: r.nextID(), agent: agent}
	r.reservations = append(r.reservations, placed)
	r.emit(Reserve{Reservation: placed.id, Agent: agent, Attempt: r.attempt})
}

// backOff waits before any agent is asked again, including those that denied.
func (r *Request) backOff(now time.Duration) {
	r.phase = PhaseWaiting
	r.deniedAgents = nil
	r.failedPlacements++
	r.setTimer(now + r.policy.Backoff(r.failedPlacements))
}

func (e ReserveReplied) apply(r *Request, now time.Duration) {
	at := slices.IndexFunc(r.reservations, func(held reservation) bool { return held.id == e.Reservation })
	if at < 0 {
		// The reservation was released before. That release also gives back the grant.
		return
	}
	held := r.reservations[at]
	r.reservations = slices.Delete(r.reservations, at, at+1)
	switch e.Verdict {
	case ReserveGranted:
		r.accept(now, held, e.Grant)
	case ReserveFailed:
		r.emit(Release{Reservation: held.id, Agent: held.agent})
		r.deniedAgents = append(r.deniedAgents, held.agent)
		r.reserve(now)
	case ReserveDenied:
		r.deniedAgents = append(r.deniedAgents, held.agent)
		r.reserve(now)
	case ReserveLapsed:
		r.reserve(now)
	}
}

// accept keeps the first grant and releases the other reservations.
func (r *Request) accept(now time.Duration, held reservation, grant Grant) {
	r.releaseAll()
	r.grant = grant
	r.grant.Agent = held.agent
	r.deniedAgents = nil
	r.failedPlacements = 0
	if r.spec.ChosenID {
		r.register(held)
		return
	}
	r.dispatch(now)
}

func (e Shed) apply(r *Request, _ time.Duration) {
	if r.phase >= PhaseRegistering {
		return
	}
	r.refuse(e.Status, e.Reason, e.RetryAfter)
}

func (CallerGone) apply(r *Request, _ time.Duration) {
	if r.phase == PhaseEnded {
		return
	}
	r.stopAttempt()
	r.end(Finish{CallerGone: true})
}

func (TimerFired) apply(r *Request, now time.Duration) {
	if now < r.timerAt {
		if r.phase != PhaseEnded {
			r.setTimer(r.timerAt)
		}
		return
	}
	switch r.phase {
	case PhaseWaiting:
		if r.admitted {
			r.reserve(now)
		}
	case PhaseUnsure:
		r.locate()
	case PhaseResolving:
		if r.queryID == 0 {
			r.resolve()
		}
	}
}

// timeout ends a request whose deadline has passed.
func (r *Request) timeout() {
	r.stopAttempt()
	r.fail(http.StatusGatewayTimeout, "the deadline has passed", 0)
}

// recordLateReport records what an event that came after the deadline tells
// about the execution; all else in it is ignored.
func (r *Request) recordLateReport(event Event) {
	report, ok := event.(StreamReported)
	if !ok || r.phase != PhaseStreaming || report.Stream != r.streamID {
		return
	}
	r.recordProgress(report)
	switch report.Kind {
	case StreamProgress, StreamComplete, StreamEndedEarly:
		r.currentOutcome = OutcomeRan
	case StreamRefused:
		r.currentOutcome = report.Outcome
	}
}

// stopAttempt stops reading and cancels the current attempt if it may have
// started. A run that another submission started goes on.
func (r *Request) stopAttempt() {
	if r.phase == PhaseStreaming {
		r.emit(CloseStream{Stream: r.streamID})
	}
	r.streamID = 0
	if r.joined {
		return
	}
	switch r.phase {
	case PhaseStreaming, PhaseResolving:
		r.emit(Cancel{Attempt: r.attempt, Grant: r.grant})
	}
}

// fail ends the request with an error: Abort if part of the answer was sent,
// else Refuse.
func (r *Request) fail(status int, reason string, retryAfter time.Duration) {
	if r.sent {
		r.end(Abort{Outcome: r.Outcome(), Reason: reason})
		return
	}
	r.refuse(status, reason, retryAfter)
}

func (r *Request) refuse(status int, reason string, retryAfter time.Duration) {
	r.end(Refuse{Status: status, Outcome: r.Outcome(), Reason: reason, RetryAfter: retryAfter})
}
