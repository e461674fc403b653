package scheduler

import (
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused request
	// should be sent again.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// returnShare is the part of the time that a caller has left after which it should have come
	// back, so that there is time for its answer.
	returnShare = 0.8
	// restRetrySpread is the part of the time until an endpoint is back by which retries are spread.
	restRetrySpread = 0.25
)

// refuseBacklog refuses the requests that cannot be started before their callers stop
// waiting, given the requests ahead of them in the queue. It returns the others.
func (s *Scheduler) refuseBacklog(now time.Duration, queue []*Request, p *pool, plan *Plan) []*Request {
	ahead := 0.0 // slot-seconds of the requests before
	var left []*Request
	for _, r := range queue {
		if end, resting := p.restEnd(); resting && end > s.latestRefusal(r) && !r.StreamStarted {
			plan.Refusals = append(plan.Refusals, s.refuse(now, r, ReasonBacklog, p, len(queue)))
			continue
		}
		before := ahead
		if p.closed {
			before += s.slotTime(r, p) // the rate allows none now
		}
		wait := time.Duration(before / s.usableSlots(r, p) * float64(time.Second))
		if len(p.candidates) > 0 && !r.StreamStarted && now+wait > s.latestRefusal(r) {
			plan.Refusals = append(plan.Refusals, s.refuse(now, r, ReasonBacklog, p, len(queue)))
			continue
		}
		ahead += s.slotTime(r, p)
		left = append(left, r)
	}
	return left
}

// refuse refuses a request until the backlog is expected to be worked off. The times
// are jittered, so that requests refused together are not retried together.
func (s *Scheduler) refuse(now time.Duration, r *Request, reason Reason, p *pool, queued int) Refusal {
	s.observeDecision(r, false)
	switch {
	case reason == ReasonNoVersion:
	case len(p.candidates) == 0:
		reason = ReasonNoEndpoint
	case p.closed:
		reason = ReasonRateLimit
	}
	if end, resting := p.restEnd(); resting {
		after := time.Duration((1 + restRetrySpread*s.rng.Float64()) * float64(max(end-now, minRetryAfter)))
		return Refusal{Request: r.ID, Reason: ReasonResting, RetryAfter: min(after, maxRetryAfter), Waited: now - r.Arrived, Queued: queued}
	}
	refused := s.refusedWorkOf(r.Service)
	backlog := refused.current(now)
	refused.slotSeconds += s.slotTime(r, p)
	for _, other := range s.queues[r.Service] {
		backlog += s.slotTime(other, p)
	}
	expected := time.Duration(backlog / s.usableSlots(r, p) * float64(time.Second))
	after := time.Duration((0.75 + 0.5*s.rng.Float64()) * float64(max(expected, minRetryAfter)))
	// A moment after the caller's own deadline would not help it.
	latest := time.Duration(returnShare * float64(r.Deadline-now))
	return Refusal{
		Request: r.ID, Reason: reason, RetryAfter: min(after, max(latest, minRetryAfter), maxRetryAfter),
		Waited: now - r.Arrived, Queued: queued,
	}
}

// refusedWork is the work that was refused and is expected to be retried.
type refusedWork struct {
	slotSeconds float64
	updatedAt   time.Duration
}

// refusedWorkDecay is the time in which refused work decays to 1/e, about a third:
// callers retry within a few seconds, or not at all.
const refusedWorkDecay = 3 * time.Second

// current returns the refused work that is still expected to be retried, in slot-seconds.
func (w *refusedWork) current(now time.Duration) float64 {
	if now > w.updatedAt {
		w.slotSeconds *= math.Exp(-(now - w.updatedAt).Seconds() / refusedWorkDecay.Seconds())
		w.updatedAt = now
	}
	return w.slotSeconds
}

func (s *Scheduler) refusedWorkOf(service string) *refusedWork {
	w := s.refusedWork[service]
	if w == nil {
		w = &refusedWork{}
		s.refusedWork[service] = w
	}
	return w
}
