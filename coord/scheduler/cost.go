package scheduler

import "time"

const (
	// gapShare is the part of the promised gap that prompts in progress may take.
	gapShare = 0.75
	// neighbourWeight is the cost of a second of delay for each neighbour, in seconds.
	neighbourWeight = 0.15
	// paceWeight is the cost of a second of generation, against one of waiting for the first event.
	paceWeight = 0.1
	// lateCost is added, in seconds, where the first event is expected late.
	lateCost = 1.0
	// gapCost is added for each second beyond the promised gap.
	gapCost = 4.0
	// deadlineCost is added where the end is expected after the deadline.
	deadlineCost = 3.0
	// failureCost is added in proportion to an endpoint's failure rate.
	failureCost = 3.0
)

// slotTime is how long a request is expected to take a slot, in seconds. While a
// prompt is read, all requests at the endpoint stand still, so it counts for each slot.
func (s *Scheduler) slotTime(r *Request, p *pool) float64 {
	if !s.services[r.Service].Engine {
		return p.work
	}
	slots := float64(p.slots) / float64(max(len(p.candidates), 1))
	return float64(r.PromptTokens)/p.rate*max(slots, 1) + float64(r.OutputTokens)*s.tokenTime(r.Service, p.pace)
}

// tokenTime is the time of a token where an event takes pace seconds.
func (s *Scheduler) tokenTime(service string, pace float64) float64 {
	return pace / float64(max(s.services[service].EventTokens, 1))
}

// cost is what sending a request to an endpoint is expected to cost, in seconds.
func (s *Scheduler) cost(now time.Duration, r *Request, c *candidate) float64 {
	cost := failureCost * c.e.failures
	if c.e.away {
		cost += awayCost
	}
	if !s.services[r.Service].Engine {
		queued := float64(c.running) / float64(max(c.slots, 1))
		return cost + c.work*(1+queued)
	}
	first := c.firstEvent(r)
	prompts := float64(c.prompts + r.PromptTokens)
	generation := float64(r.OutputTokens) * s.tokenTime(r.Service, c.pace)
	cost += first + paceWeight*generation
	cost += neighbourWeight * float64(r.PromptTokens) / c.rate * float64(c.running)
	if now.Seconds()+first > r.Due.Seconds() {
		cost += lateCost
	}
	if gap := gapShare * r.GapTarget.Seconds(); gap > 0 {
		cost += gapCost * max(s.stretchedGap(r.Service, prompts, c)-gap, 0)
	}
	if now.Seconds()+first+generation > r.Deadline.Seconds() {
		cost += deadlineCost
	}
	return cost
}

// firstEvent is how long a request is expected to wait for its first event, in seconds.
func (c *candidate) firstEvent(r *Request) float64 {
	first := float64(c.prompts+r.PromptTokens)/c.rate + c.pace
	if over := c.running + 1 - c.slots; over > 0 {
		first += c.pace * float64(over) * 2
	}
	return first * c.bias
}

// promptChunk is how many prompt tokens an engine is assumed to read in one step.
const promptChunk = 2048.0

// stretchedGap is the time between two events while prompts are read: an event
// takes the steps of its tokens, and each step reads a chunk at most.
func (s *Scheduler) stretchedGap(service string, prompts float64, c *candidate) float64 {
	steps := float64(max(s.services[service].EventTokens, 1))
	return c.pace + min(prompts, steps*promptChunk)/c.rate
}
