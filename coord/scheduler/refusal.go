package scheduler

import (
	"container/heap"
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused request
	// should be sent again.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// restRetrySpread is the part of the time until an endpoint is back by which retries are spread.
	restRetrySpread = 0.25
)

// refuseBacklog refuses the requests that cannot be started in time, given the requests ahead of
// them in the queue. It returns the others.
func (s *Scheduler) refuseBacklog(now time.Duration, queue []*Request, p *pool, plan *Plan) []*Request {
	if len(queue) == 0 {
		return nil
	}
	ahead := newBacklog(s.usableSlots(queue[0], p), len(queue))
	var left []*Request
	for _, r := range queue {
		work := r.prospect.work
		wait := ahead.wait()
		if p.closed {
			wait += time.Duration(ahead.scale * work * float64(time.Second)) // the rate allows none now
		}
		end, resting := p.restEnd()
		tooLate := resting && end > r.prospect.latestStart || len(p.candidates) > 0 && now+wait > r.prospect.latestStart
		if tooLate && !r.StreamStarted {
			plan.Refusals = append(plan.Refusals, s.refuse(now, r, ReasonBacklog, p, len(queue)))
			continue
		}
		ahead.add(work)
		left = append(left, r)
	}
	return left
}

// backlog is the work of queued requests on a number of slots, each of which takes the next request
// when it is free. So a long request holds up those behind it at one slot only.
type backlog struct {
	freeAt slotTimes
	scale  float64 // of a request's work, where the number of slots is not whole
}

// newBacklog returns the backlog of up to the given number of requests.
func newBacklog(slots float64, requests int) backlog {
	whole := max(math.Floor(slots), 1)
	return backlog{freeAt: make(slotTimes, int(min(whole, float64(requests)))), scale: whole / slots}
}

// wait returns the time until the first slot is free.
func (b *backlog) wait() time.Duration {
	return time.Duration(b.freeAt[0] * float64(time.Second))
}

// add gives the first free slot the work of a request, in slot-seconds.
func (b *backlog) add(work float64) {
	b.freeAt[0] += b.scale * work
	heap.Fix(&b.freeAt, 0)
}

// slotTimes is a heap of the times, in seconds from now, at which slots are free.
type slotTimes []float64

func (t slotTimes) Len() int           { return len(t) }
func (t slotTimes) Less(i, j int) bool { return t[i] < t[j] }
func (t slotTimes) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *slotTimes) Push(any)          {}
func (t *slotTimes) Pop() any          { return nil }

// refuse refuses a request until the backlog is expected to be worked off. The times
// are jittered, so that requests refused together are not retried together.
func (s *Scheduler) refuse(now time.Duration, r *Request, reason Reason, p *pool, queued int) Refusal {
	s.observeDecision(r, false)
	if state := s.sharings[r.Service]; state != nil && r.offered {
		state.ledger.Withdraw(now, r.offeredAt, r.Account, r.offeredWork)
	}
	reason = r.memoryReason(reason)
	switch {
	case reason == ReasonNoVersion, reason == ReasonEngineMemory:
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
	latest := s.latestReturn(now, r, p)
	return s.withMemory(r, Refusal{
		Request: r.ID, Reason: reason, RetryAfter: min(after, max(latest, minRetryAfter), maxRetryAfter),
		Waited: now - r.Arrived, Queued: queued, BeyondShare: r.prospect.class > 0,
	})
}

// latestReturn returns after what time a caller should have sent a refused request again for its
// answer to come before it leaves.
func (s *Scheduler) latestReturn(now time.Duration, r *Request, p *pool) time.Duration {
	_, whole := s.shortestRun(r, p)
	return r.Deadline - now - whole - s.cfg.RefuseMargin
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
