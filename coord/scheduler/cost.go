package scheduler

import "time"

const (
	// prefillGapShare is the fraction of the target gap up to which the gap expected during prefill adds no cost.
	prefillGapShare = 0.75
	// interferenceWeight is the cost, in seconds, of delaying another request at the
	// endpoint by one second.
	interferenceWeight = 0.15
	// generationWeight is the cost of a second of generation relative to a second of
	// waiting for the first event.
	generationWeight = 0.1
	// gapCost is the cost, in seconds, of each second by which the gap expected during prefill exceeds prefillGapShare of the target gap.
	gapCost = 4.0
	// deadlineCost is added, in seconds, where the end is expected after the deadline.
	deadlineCost = 3.0
	// failureCost is the cost, in seconds, of an endpoint whose failure rate is 1; it is proportional to the rate.
	failureCost = 3.0
)

// slotTime returns the expected time for which a request occupies a slot, in seconds.
// Prefill stalls all requests at the endpoint, so its time counts once for each slot.
func (s *Scheduler) slotTime(r *Request, p *pool) float64 {
	if !s.services[r.Service].Engine {
		return p.serviceTime
	}
	return float64(r.PromptTokens)/p.promptRate*max(p.meanSlots, 1) + float64(r.OutputTokens)*s.tokenInterval(r.Service, p.eventInterval)
}

// tokenInterval returns the time per token, in seconds, given the time between events.
func (s *Scheduler) tokenInterval(service string, eventInterval float64) float64 {
	return eventInterval / float64(max(s.services[service].EventTokens, 1))
}

// cost returns the expected cost of sending a request to an endpoint, in seconds.
func (s *Scheduler) cost(now time.Duration, r *Request, c *candidate) float64 {
	cost := failureCost * c.endpoint.failureRate
	if c.endpoint.outsideGroup {
		cost += outsideGroupCost
	}
	if !s.services[r.Service].Engine {
		queued := float64(c.running) / float64(max(c.slots, 1))
		return cost + c.serviceTime*(1+queued)
	}
	first := c.firstEvent(r)
	promptTokens := float64(c.pendingPromptTokens + r.PromptTokens)
	generation := float64(r.OutputTokens) * s.tokenInterval(r.Service, c.eventInterval)
	cost += first + generationWeight*generation
	cost += interferenceWeight * float64(r.PromptTokens) / c.promptRate * float64(c.running)
	if freeGap := prefillGapShare * r.GapTarget.Seconds(); freeGap > 0 {
		cost += gapCost * max(s.gapDuringPrefill(r.Service, promptTokens, c)-freeGap, 0)
	}
	if now.Seconds()+first+generation > r.Deadline.Seconds() {
		cost += deadlineCost
	}
	return cost
}

// firstEvent returns the expected time to the first event of a request, in seconds.
func (c *candidate) firstEvent(r *Request) float64 {
	first := float64(c.pendingPromptTokens+r.PromptTokens)/c.promptRate + c.eventInterval
	if over := c.running + 1 - c.slots; over > 0 {
		first += c.eventInterval * float64(over) * 2
	}
	return first * c.bias
}

// prefillChunkTokens is how many prompt tokens an engine is assumed to prefill in one step.
const prefillChunkTokens = 2048.0

// gapDuringPrefill returns the expected time between two events during prefill, in
// seconds. An event takes one step for each of its tokens, and each step prefills one
// chunk at most.
func (s *Scheduler) gapDuringPrefill(service string, promptTokens float64, c *candidate) float64 {
	steps := float64(max(s.services[service].EventTokens, 1))
	return c.eventInterval + min(promptTokens, steps*prefillChunkTokens)/c.promptRate
}
