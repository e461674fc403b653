package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// refusedWeight raises the worth of kinds of which many are turned away, so that none starves.
	refusedWeight = 1.5
	// patientShare is the part of the time until it is due that a request waits for a better endpoint.
	patientShare = 0.35
	// patientCost is how much better an endpoint without a free slot must be to be waited for.
	patientCost = 0.8
)

// Plan decides what is sent, turned away and cut now.
func (s *Scheduler) Plan(now time.Duration) Plan {
	var plan Plan
	s.peers.expire(now, s.cfg.ReportTTL)
	for _, service := range s.serviceNames() {
		s.planService(now, service, &plan)
	}
	plan.Failovers = s.silent(now)
	return plan
}

func (s *Scheduler) serviceNames() []string {
	names := make([]string, 0, len(s.queues))
	for name, queue := range s.queues {
		if len(queue) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// candidate is an endpoint as the planner sees it; loads include what this plan has placed.
type candidate struct {
	e       *endpoint
	slots   int
	running int
	prompts int // tokens not yet read
	pace    float64
	rate    float64 // prompt tokens a second
	work    float64
	bias    float64 // of the expected time to the first event
}

// free counts the requests that may still be sent.
func (c *candidate) free(overcommit int) int {
	return c.slots + overcommit - c.running
}

// pool is a service's endpoints during one plan.
type pool struct {
	candidates []*candidate
	open       int // candidates with a free slot
	slots      int
	held       int // by this entry
	allowed    int // for this entry
	pace       float64
	rate       float64
	bestRate   float64 // of the fastest endpoint
	work       float64
	reportAge  time.Duration
}

func (s *Scheduler) planService(now time.Duration, service string, plan *Plan) {
	queue := s.queues[service]
	p := s.pool(now, service)
	s.order(now, queue, p)
	var left []*Request
	for _, r := range queue {
		if now >= r.NextByteDeadline-s.cfg.RefuseMargin {
			plan.Refusals = append(plan.Refusals, s.refuse(now, r, ReasonWaited, p, len(queue)))
			continue
		}
		c, score := s.choose(now, r, p)
		if c == nil {
			left = append(left, r)
			continue
		}
		plan.Placements = append(plan.Placements, s.place(now, r, c, score, p))
	}
	s.queues[service] = s.turnAway(now, left, p, plan)
}

// pool gathers the usable endpoints of a service.
func (s *Scheduler) pool(now time.Duration, service string) *pool {
	p := &pool{reportAge: s.peers.oldest(now)}
	info := s.services[service]
	var paces, works []float64
	for _, e := range s.endpointsOf(service) {
		p.held += len(e.runs)
		if e.pace > 0 {
			paces = append(paces, e.pace.Seconds())
		}
		if e.work > 0 {
			works = append(works, e.work.Seconds())
		}
		if !e.usable(now) {
			continue
		}
		held := s.peers.loads[e.ID]
		c := &candidate{e: e, slots: e.Slots, running: len(e.runs) + held.Running, prompts: e.pending() + held.PromptTokens}
		if c.slots == 0 {
			c.slots = max(info.Slots, 1)
		}
		p.slots += c.slots
		if c.free(s.cfg.Overcommit) > 0 {
			p.open++
		}
		p.candidates = append(p.candidates, c)
	}
	p.pace = median(paces, defaultEventTime.Seconds())
	p.work = median(works, defaultWork.Seconds())
	p.rate = promptPerEvent / p.pace
	for _, c := range p.candidates {
		c.estimate(p)
		c.bias = s.bias(service)
		p.bestRate = max(p.bestRate, c.rate)
	}
	p.allowed = s.allowed(service, p)
	return p
}

func (c *candidate) estimate(p *pool) {
	c.pace, c.work = p.pace, p.work
	if c.e.pace > 0 {
		c.pace = c.e.pace.Seconds()
	}
	if c.e.work > 0 {
		c.work = c.e.work.Seconds()
	}
	per := promptPerEvent
	if c.e.promptPer > 0 {
		per = c.e.promptPer
	}
	c.rate = per / c.pace
}

func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// allowed is how many requests this entry may hold at the service's endpoints:
// while demand exceeds the slots, its share by demand.
func (s *Scheduler) allowed(service string, p *pool) int {
	own := p.held + len(s.queues[service])
	total := own + s.peers.demand[service]
	slots := p.slots + s.cfg.Overcommit*len(p.candidates)
	if total <= slots || total == 0 {
		return slots
	}
	return int(math.Ceil(float64(slots) * float64(own) / float64(total)))
}

// order sorts a queue by worth per second of a slot, the best first.
func (s *Scheduler) order(now time.Duration, queue []*Request, p *pool) {
	keys := make(map[uint64]float64, len(queue))
	for _, r := range queue {
		keys[r.ID] = s.density(now, r, p)
	}
	slices.SortStableFunc(queue, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(keys[b.ID], keys[a.ID]), cmp.Compare(a.Arrived, b.Arrived))
	})
}

// density is the worth of a request per second of a slot.
func (s *Scheduler) density(now time.Duration, r *Request, p *pool) float64 {
	if r.StreamStarted {
		return math.Inf(1)
	}
	worth := r.worth(s.means[keyOf(r)])
	first := float64(r.PromptTokens) / max(p.bestRate, 1)
	switch {
	case r.Retried:
		worth *= returnedWorth
	case now.Seconds()+first > r.Due.Seconds():
		worth *= lateWorth
	}
	key := keyOf(r)
	worth *= 1 + refusedWeight*s.refused[key]
	worth *= s.placedOf(key).lift(sizeClassOf(r.size(), s.means[key]))
	return worth / max(s.slotTime(r, p), 1e-4)
}

// choose returns the endpoint with the least expected cost, or nil where the request waits.
func (s *Scheduler) choose(now time.Duration, r *Request, p *pool) (*candidate, float64) {
	if p.open == 0 || p.held >= p.allowed && !r.StreamStarted {
		return nil, 0
	}
	var best *candidate
	least, leastFull := math.Inf(1), math.Inf(1)
	again := !slices.ContainsFunc(p.candidates, func(c *candidate) bool { return !r.Avoid[c.e.ID] })
	for _, c := range p.candidates {
		if r.Avoid[c.e.ID] && !again {
			continue
		}
		cost := s.cost(now, r, c)
		switch {
		case c.free(s.cfg.Overcommit) <= 0:
			leastFull = min(leastFull, cost)
		case cost < least:
			best, least = c, cost
		}
	}
	patience := time.Duration(patientShare * float64(r.Due-r.Arrived))
	if best != nil && least >= leastFull+patientCost && now < r.Arrived+patience {
		return nil, 0
	}
	return best, least
}

func (s *Scheduler) place(now time.Duration, r *Request, c *candidate, score float64, p *pool) Placement {
	placement := Placement{
		Request: r.ID, Endpoint: c.e.ID, Address: c.e.Address, Waited: now - r.Arrived,
		Running: c.running, Slots: c.slots, Score: score, ReportAge: p.reportAge,
		PendingPromptTokens: c.prompts, EventInterval: time.Duration(c.pace * float64(time.Second)), PromptRate: c.rate,
		ExpectedFirstEvent: time.Duration(c.firstEvent(r) * float64(time.Second)),
	}
	s.observeRefusal(r, false)
	s.runs[r.ID] = &run{request: *r, endpoint: c.e, sent: now, lastByte: now, expected: placement.ExpectedFirstEvent}
	c.e.runs[r.ID] = s.runs[r.ID]
	if c.running++; c.free(s.cfg.Overcommit) <= 0 {
		p.open--
	}
	c.prompts += r.PromptTokens
	p.held++
	return placement
}
