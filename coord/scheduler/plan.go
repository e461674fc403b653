package scheduler

import (
	"math"
	"slices"
	"time"

	"primrosespoke.dev/coord/memory"
)

// Plan decides which requests to place, refuse and fail over now.
func (s *Scheduler) Plan(now time.Duration) Plan {
	var plan Plan
	s.withheld = false
	s.peers.expire(now, s.cfg.ReportTTL)
	for _, service := range s.serviceNames() {
		s.planService(now, service, &plan)
	}
	plan.Failovers = s.silentRuns(now)
	plan.Cuts = s.cuts(now)
	return plan
}

// withheldRetryAfter is after what time a request should be sent again that was refused
// because placements were withheld. By then its caller reaches another entry.
const withheldRetryAfter = 500 * time.Millisecond

// Withhold takes the place of Plan while it is not known which endpoints may get requests.
// It places nothing, and refuses the requests that have been held back for longer than
// maxWait. A request whose caller has received events of its stream waits until its
// deadline, since it can't be refused any more.
func (s *Scheduler) Withhold(now, maxWait time.Duration) Plan {
	if !s.withheld {
		s.withheld, s.withheldSince = true, now
	}
	var plan Plan
	for _, service := range s.serviceNames() {
		var left []*Request
		queue := s.queues[service]
		for _, r := range queue {
			held := now-max(r.Arrived, s.withheldSince) > maxWait && !r.StreamStarted
			if !held && now < s.latestRefusal(r) {
				left = append(left, r)
				continue
			}
			s.observeDecision(r, false)
			plan.Refusals = append(plan.Refusals, Refusal{
				Request: r.ID, Reason: ReasonStaleList, RetryAfter: withheldRetryAfter, Waited: now - r.Arrived, Queued: len(queue),
			})
		}
		s.queues[service] = left
	}
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

// candidate is an endpoint during one plan. Its load includes what the plan has placed
// so far.
type candidate struct {
	endpoint            *endpoint
	slots               int
	running             int
	pendingPromptTokens int
	eventInterval       float64       // seconds
	promptRate          float64       // prompt tokens per second
	serviceTime         float64       // seconds
	slowdown            float64       // by which work takes longer now than the endpoint's learned speeds say
	statedAge           time.Duration // of the statement that was used; 0 = none
	bias                float64       // factor of the expected time to the first event
	home                bool          // in the own failure domain, if that is preferred
	restricted          bool          // by the gate, to rate requests per second from all entries
	rate                float64
	open                bool          // as far as the gate is concerned
	restsUntil          time.Duration // see Gate.RestsUntil; 0 = it does not rest
	due                 bool          // a request should be sent, see Gate.Due
	queueable           int           // runs that may wait in the endpoint's own queue
	regulated           bool          // a request needs a place that the endpoint's home grants
	granted             int           // such places that are not used yet
	asked               int           // places asked for in this plan
	peers               peerLoad      // of other entries, by their reports
	room                memory.Room   // of an engine, if pool.memory
	reserver            *Request      // this entry's waiting request for which memory is reserved; nil = none
}

// occupiableSlots counts the slots that may be in use. A restricted endpoint has few: those that
// are, and one for the next request.
func (c *candidate) occupiableSlots() int {
	switch {
	case c.restsUntil > 0:
		return min(c.slots, c.running)
	case c.restricted:
		return min(c.slots, c.running+1)
	}
	return c.slots
}

// available reports whether a request may be placed at the endpoint.
func (c *candidate) available(overcommit int) bool {
	return c.open && c.freeSlots(overcommit) > 0
}

// freeSlots counts the requests that may still be sent.
func (c *candidate) freeSlots(overcommit int) int {
	if c.regulated {
		return c.granted
	}
	return c.slots + c.queueable + overcommit - c.running
}

// pool holds the endpoints of a service during one plan, and the medians of their
// estimates.
type pool struct {
	candidates        []*candidate
	openCandidates    int           // candidates that are available
	restricted        bool          // some candidate is restricted by the gate
	closed            bool          // all candidates are closed by the gate
	slots             int           // that may be in use
	meanSlots         float64       // of the candidates, whether they may be in use or not
	ownRunning        int           // runs of this entry
	ownLimit          int           // most runs that this entry may have
	excessLimit       int           // most runs of which a request beyond its account's share may be started
	eventInterval     float64       // seconds
	promptRate        float64       // prompt tokens per second
	bestPromptRate    float64       // promptRate of the fastest candidate
	bestEventInterval float64       // eventInterval of the fastest candidate
	serviceTime       float64       // seconds
	reportAge         time.Duration // age of the oldest report of another entry
	pacer             *pacer        // of a plain service; nil for engines
	memory            bool          // the memory of the endpoints bounds what is sent there
	lackingNeed       int           // need that no engine has room for; 0 = none is known
	reservationTime   time.Duration // after which all other entries know of a reservation of memory
	homes             bool          // places of the endpoints are given out by their homes
	domains           *domainPool   // nil = endpoints are chosen without regard to failure domains
	staleness         float64       // mean age of the reports of other entries, in times that a run of a plain service lasts
}

func (s *Scheduler) planService(now time.Duration, service string, plan *Plan) {
	queue := s.queues[service]
	p := s.pool(now, service)
	s.assess(now, queue, p)
	sortByStart(queue)
	s.shareOut(now, service, queue, p)
	mayPlace := p.openCandidates > 0 && (p.domains == nil || p.pacer != nil || p.domains.mayPlaceAny())
	if mayPlace {
		s.takeTurns(queue)
	}
	var left []*Request
	for _, r := range queue {
		if now >= s.latestRefusal(r) {
			plan.Refusals = append(plan.Refusals, s.refuse(now, r, ReasonWaited, p, len(queue)))
			continue
		}
		if !s.hasVersion(r) {
			plan.Refusals = append(plan.Refusals, s.refuse(now, r, ReasonNoVersion, p, len(queue)))
			continue
		}
		if s.fitsNoEngine(r, p) {
			plan.Refusals = append(plan.Refusals, s.refuse(now, r, ReasonEngineMemory, p, len(queue)))
			continue
		}
		c, cost := s.chooseEndpoint(now, r, p)
		if c == nil {
			left = append(left, r)
			continue
		}
		plan.Placements = append(plan.Placements, s.place(now, r, c, cost, p))
	}
	p.closed = len(p.candidates) > 0 && !slices.ContainsFunc(p.candidates, func(c *candidate) bool { return c.open })
	if mayPlace {
		sortByStart(left)
	}
	if p.memory {
		s.reserveMemory(now, left, p)
	}
	s.queues[service] = s.refuseBacklog(now, left, p, plan)
	if p.homes {
		s.askForPlaces(now, service, s.queues[service], p)
	}
	s.recordRestrictedDemand(now, service, p)
}

// hasVersion reports whether an endpoint that takes requests, now or after a failure, may run a
// request that goes on at one version only. Without any, waiting is of no use.
func (s *Scheduler) hasVersion(r *Request) bool {
	return r.Version == "" || slices.ContainsFunc(s.endpointsOf(r.Service), func(e *endpoint) bool {
		return e.listed && !e.Draining && r.mayRunAt(e)
	})
}

// pool collects the usable endpoints of a service.
func (s *Scheduler) pool(now time.Duration, service string) *pool {
	p := &pool{reportAge: s.peers.oldestAge(now)}
	info := s.services[service]
	stated := s.enabled(s.cfg.StatedLoad, service)
	var intervals, serviceTimes []float64
	endpoints := s.endpointsOf(service)
	candidates := make([]candidate, 0, len(endpoints)) // allocated at once, since there may be hundreds
	p.candidates = make([]*candidate, 0, len(endpoints))
	for _, e := range endpoints {
		p.ownRunning += len(e.runs)
		if e.eventInterval > 0 {
			intervals = append(intervals, e.eventInterval.Seconds())
		}
		if e.serviceTime > 0 {
			serviceTimes = append(serviceTimes, e.serviceTime.Seconds())
		}
		if !e.usable(now) || info.Engine && s.places != nil && s.places.Closed(now, e.ID) || s.isClosed(e) {
			continue
		}
		peerLoad := s.peers.loads[e.ID]
		candidates = append(candidates, candidate{endpoint: e, slots: e.Slots, running: len(e.runs) + peerLoad.Running, pendingPromptTokens: e.pendingPromptTokens() + peerLoad.PromptTokens, slowdown: 1, peers: peerLoad})
		c := &candidates[len(candidates)-1]
		if c.slots == 0 {
			c.slots = max(info.Slots, 1)
		}
		if stated {
			c.running, c.slowdown = s.believedBeside(now, e, peerLoad.Running), e.stated.Factor(now)
			if _, at, known := e.stated.Last(); known {
				c.statedAge = max(now-at, 1)
			}
		}
		c.rate, c.restricted = s.gate.Rate(e.ID)
		c.restsUntil, _ = s.gate.RestsUntil(now, e.ID)
		c.open, c.due = s.gate.Open(now, e.ID), s.gate.Due(now, e.ID)
		p.restricted = p.restricted || c.restricted || c.restsUntil > 0
		p.slots += c.occupiableSlots()
		p.meanSlots += float64(c.slots)
		p.candidates = append(p.candidates, c)
	}
	p.meanSlots /= float64(max(len(p.candidates), 1))
	p.eventInterval = median(intervals, defaultEventInterval.Seconds())
	p.serviceTime = median(serviceTimes, defaultServiceTime.Seconds())
	p.promptRate = defaultPromptTokensPerEvent / p.eventInterval
	p.bestEventInterval, p.bestPromptRate = p.eventInterval, p.promptRate
	s.planDomains(now, service, p)
	if !info.Engine && !p.restricted {
		s.pace(now, service, p)
	}
	p.homes = info.Engine && s.places != nil && !p.restricted
	calm := p.homes && s.isCalm(service, p)
	for _, c := range p.candidates {
		if p.homes {
			s.regulate(now, c, calm)
		}
		c.estimate(p)
		c.bias = s.bias(service)
		c.queueable = int(math.Ceil(pacedQueueShare * p.staleness * float64(c.slots)))
		p.observeBest(c)
		if c.available(s.cfg.Overcommit) {
			p.openCandidates++
			if p.domains != nil {
				p.domains.open[c.endpoint.FailureDomain]++
			}
		}
	}
	p.ownLimit = s.ownLimit(service, p)
	p.excessLimit = p.ownLimit
	if s.memoryMatters(service) {
		s.measureMemory(now, service, p)
	}
	return p
}

// observeBest takes a candidate into account for what the fastest one can do.
func (p *pool) observeBest(c *candidate) {
	// The time until which a request can be started, and so whether it is refused, does not follow from
	// a pace that is slower than usual: it may be false, and lasts shorter than callers wait.
	interval := c.leastEventInterval() / max(c.slowdown, 1)
	p.bestEventInterval = min(p.bestEventInterval, interval)
	p.bestPromptRate = max(p.bestPromptRate, c.promptRate*c.eventInterval/interval)
}

// leastEventInterval returns the least time between events, in seconds. A candidate without samples
// may be as fast as is assumed before any.
func (c *candidate) leastEventInterval() float64 {
	if c.endpoint.eventInterval == 0 {
		return min(c.eventInterval, defaultEventInterval.Seconds()*c.slowdown)
	}
	return c.eventInterval
}

func (c *candidate) estimate(p *pool) {
	c.eventInterval, c.serviceTime = p.eventInterval, p.serviceTime
	if c.endpoint.eventInterval > 0 {
		c.eventInterval = c.endpoint.eventInterval.Seconds()
	}
	if c.endpoint.serviceTime > 0 {
		c.serviceTime = c.endpoint.serviceTime.Seconds()
	}
	tokensPerEvent := defaultPromptTokensPerEvent
	if c.endpoint.promptTokensPerEvent > 0 {
		tokensPerEvent = c.endpoint.promptTokensPerEvent
	}
	c.eventInterval *= c.slowdown
	c.serviceTime *= c.slowdown
	c.promptRate = tokensPerEvent / c.eventInterval
}

func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// ownLimit returns how many requests this entry may run at the service's endpoints:
// while total demand exceeds the slots, its share of them by demand.
func (s *Scheduler) ownLimit(service string, p *pool) int {
	if p.domains != nil {
		return p.domains.ownLimit()
	}
	own := p.ownRunning + len(s.queues[service])
	total := own + s.peers.demand[service]
	slots := p.slots + s.cfg.Overcommit*len(p.candidates)
	if total <= slots || total == 0 {
		return slots
	}
	return int(math.Ceil(float64(slots) * float64(own) / float64(total)))
}

// mayStart reports whether this entry may start one more run, of a request.
func (p *pool) mayStart(r *Request) bool {
	if p.pacer != nil {
		return p.pacer.allows(p.serviceTime)
	}
	if p.domains != nil {
		return true // see chooseByDomain
	}
	if r.prospect.class > 0 {
		return p.ownRunning < p.excessLimit
	}
	return p.ownRunning < p.ownLimit
}

// chooseEndpoint returns the endpoint with the lowest expected cost, and that cost. It
// returns nil where the request should wait.
func (s *Scheduler) chooseEndpoint(now time.Duration, r *Request, p *pool) (*candidate, float64) {
	mayStart := p.mayStart(r) || r.StreamStarted
	if p.openCandidates == 0 || !mayStart && !p.homes {
		return nil, 0
	}
	if p.domains != nil && p.pacer == nil && !p.domains.mayPlace(now, r) {
		return nil, 0
	}
	if p.lacksFor(r) {
		r.noteMemory(now)
		return nil, 0
	}
	var best *candidate
	lowest := math.Inf(1)
	allAvoided := !slices.ContainsFunc(p.candidates, func(c *candidate) bool { return !r.Avoid[c.endpoint.ID] && r.mayRunAt(c.endpoint) })
	suitable := make([]*candidate, 0, len(p.candidates))
	mustFit := !r.prospect.tooLate && !r.StreamStarted
	for _, c := range p.candidates {
		if mustFit && !s.canAnswer(now, r, c) {
			continue
		}
		if (!r.Avoid[c.endpoint.ID] || allAvoided) && r.mayRunAt(c.endpoint) {
			suitable = append(suitable, c)
		}
	}
	suitable = s.preferVersion(r, suitable)
	if p.domains != nil {
		c, cost := s.chooseByDomain(now, r, p, suitable)
		if c == nil && s.lacksMemory(now, r, p, suitable) {
			r.noteMemory(now)
		}
		return c, cost
	}
	lacking := 0 // engines that have a slot and no memory for it
	for _, c := range s.comparable(p, suitable) {
		cost := s.cost(now, r, c)
		switch {
		case !c.open: // when it opens does not depend on its slots
		case !mayStart && !c.regulated: // the share of this entry is used
		case c.freeSlots(s.cfg.Overcommit) <= 0:
		case !s.hasMemory(now, r, c, p):
			lacking++
		case c.due:
			return c, cost
		case cost < lowest:
			best, lowest = c, cost
		}
	}
	if lacking > 0 && best == nil {
		r.noteMemory(now)
		p.noteLack(r, mayStart && lacking == p.openCandidates)
	}
	return best, lowest
}

func (s *Scheduler) place(now time.Duration, r *Request, c *candidate, cost float64, p *pool) Placement {
	placement := Placement{
		Request: r.ID, Endpoint: c.endpoint.ID, Address: c.endpoint.Address, Born: c.endpoint.Born, Version: c.endpoint.Version, Waited: now - r.Arrived,
		Running: c.running, Slots: c.slots, Score: cost, ReportAge: p.reportAge, StatedAge: c.statedAge, Slowdown: c.slowdown,
		PendingPromptTokens: c.pendingPromptTokens, EventInterval: time.Duration(c.eventInterval * float64(time.Second)), PromptRate: c.promptRate,
		ExpectedFirstEvent: time.Duration(c.firstEvent(r) * float64(time.Second)), BeyondShare: r.prospect.class > 0,
	}
	if p.pacer != nil && p.pacer.share < float64(p.slots) {
		placement.Share = p.pacer.share
	}
	if p.memory {
		placement.MemoryNeed, placement.MemoryFree = r.need(), c.room.Total-c.room.Held
		if r.memory.lacking {
			placement.MemoryWaited = now - r.memory.since
		}
		placement.MemoryReserved = c.reserver == r
		c.takeMemory(r)
	}
	s.started[r.Service]++
	s.observeDecision(r, true)
	if state := s.sharings[r.Service]; state != nil {
		state.ledger.Start(now, r.Account, r.prospect.work)
	}
	s.runs[r.ID] = &run{request: *r, endpoint: c.endpoint, sentAt: now, lastByteAt: now, expectedFirstEvent: placement.ExpectedFirstEvent}
	c.endpoint.runs[r.ID] = s.runs[r.ID]
	placement.SendBefore = s.gate.Take(now, c.endpoint.ID)
	c.open, c.due = s.gate.Open(now, c.endpoint.ID), false
	if placement.Granted = c.granted > 0; placement.Granted {
		s.places.Use(now, c.endpoint.ID)
		c.granted--
	}
	if placement.Outside = s.cfg.FailureDomain != "" && !s.isHome(c.endpoint); p.domains != nil {
		p.domains.placedIn(c.endpoint.FailureDomain, s.isHome(c.endpoint))
	}
	if r.versions != nil {
		r.versions.Placed(r, placement)
	}
	if c.running++; !c.available(s.cfg.Overcommit) {
		p.openCandidates--
		if p.domains != nil {
			p.domains.open[c.endpoint.FailureDomain]--
		}
	}
	c.pendingPromptTokens += r.PromptTokens
	if p.ownRunning++; p.pacer != nil {
		p.pacer.running++
	}
	return placement
}
