package scheduler

import (
	"math"
	"time"

	"primrosespoke.dev/coord/memory"
)

// Memory of engines; see package memory for the load that it answers.

const (
	// maxReservations is for how many waiting requests of a service an entry reserves memory.
	maxReservations = 4
	// reservationWays is how many times the age of the oldest report a reservation must last for all other
	// entries to know it, and for what they sent before to be known here.
	reservationWays = 2
	// minReservationTime and maxReservationTime bound that time. An entry whose reports are older than
	// half of the latter sends nothing, or is not heard.
	minReservationTime = 40 * time.Millisecond
	maxReservationTime = 700 * time.Millisecond
	// reportAgeDecay is the time constant with which the longest age of a report is forgotten.
	reportAgeDecay = 2 * time.Second
	// outsideSenders is how many entries of other failure domains are assumed to send a request to an engine
	// before they hear of each other, where the own domain is preferred. What leaves a domain is limited there.
	outsideSenders = 2
	// maxPeerNeed bounds the memory that another entry may report for each of its requests.
	maxPeerNeed = 1 << 20
)

// memoryState is what a waiting request lacks.
type memoryState struct {
	lacking      bool          // it fitted into the memory of no engine that had a slot
	since        time.Duration // when that was first so
	engine       *endpoint     // where memory is reserved for it; nil = none
	reservedFrom time.Duration
}

// longestAge is the longest age of a report that was seen recently. Right after a report has come its age
// says little about that of the next one.
type longestAge struct{ age, at time.Duration }

func (l *longestAge) observe(now, age time.Duration) {
	if now > l.at {
		l.age = time.Duration(float64(l.age) * math.Exp(-(now-l.at).Seconds()/reportAgeDecay.Seconds()))
		l.at = now
	}
	l.age = max(l.age, age)
}

// need returns the memory that a request may need at an engine.
func (r *Request) need() int {
	return memory.Need(r.PromptTokens, r.MaxOutputTokens, r.OutputTokens)
}

// memoryMatters reports whether the memory of a service's endpoints bounds what is sent there.
func (s *Scheduler) memoryMatters(service string) bool {
	info := s.services[service]
	return info.Engine && info.MemoryTokens > 0 && s.enabled(s.cfg.EngineMemory, service)
}

// needsOf returns the needs of a service's requests.
func (s *Scheduler) needsOf(service string) *memory.Needs {
	n := s.needs[service]
	if n == nil {
		n = &memory.Needs{}
		s.needs[service] = n
	}
	return n
}

// heldMemory returns what this entry's runs at an endpoint need, and the part of those sent after a time.
func (e *endpoint) heldMemory(since time.Duration) (held, recent int) {
	for _, r := range e.runs {
		held += r.request.need()
		if r.sentAt > since {
			recent += r.request.need()
		}
	}
	return held, recent
}

// measureMemory sets the room of the candidates.
func (s *Scheduler) measureMemory(now time.Duration, service string, p *pool) {
	total, usual := s.services[service].MemoryTokens, s.needsOf(service).Usual()
	others := max(len(s.peers.reports), len(s.entries)-1)
	var byDomain map[string]int
	if p.domains != nil {
		byDomain = s.entriesByDomain()
	}
	p.memory = true
	s.longestReportAge.observe(now, p.reportAge)
	p.reservationTime = min(max(reservationWays*s.longestReportAge.age, minReservationTime), maxReservationTime)
	for _, c := range p.candidates {
		peer := &c.peers
		own := len(c.endpoint.runs)
		mayAlsoSend := others
		if byDomain != nil {
			mayAlsoSend = min(others, byDomain[c.endpoint.FailureDomain]+outsideSenders)
		}
		held, unconfirmed := c.endpoint.heldMemory(now - p.reservationTime)
		// What the endpoint or its home counts beyond the reports is there too, and its need is not known.
		unreported := max(c.running-own-peer.Running, 0)
		c.room = memory.Room{
			Total: total, Usual: usual,
			Held:     held + peer.MemoryTokens + memory.Estimate(peer.unsizedRunning, peer.unsizedPrompts, usual) + unreported*usual,
			Reserved: peer.ReservedTokens, OthersFirst: peer.reservedFirst,
			Unconfirmed: unconfirmed, Others: mayAlsoSend,
		}
	}
	reserving := 0
	for _, r := range s.queues[service] {
		if r.memory.engine == nil {
			continue
		}
		c := p.candidateOf(r.memory.engine)
		if reserving++; c == nil || c.reserver != nil || reserving > maxReservations {
			r.memory.engine = nil
			continue
		}
		c.reserver = r
		c.room.Reserved += r.need()
	}
}

func (p *pool) candidateOf(e *endpoint) *candidate {
	for _, c := range p.candidates {
		if c.endpoint == e {
			return c
		}
	}
	return nil
}

// hasMemory reports whether a request fits into the memory of a candidate.
func (s *Scheduler) hasMemory(now time.Duration, r *Request, c *candidate, p *pool) bool {
	if !p.memory {
		return true
	}
	own := 0
	switch {
	case c.reserver == r:
		if now >= r.memory.reservedFrom+p.reservationTime && c.room.FitsReserved(r.need()) {
			return true
		}
		own = r.need()
	case c.reserver != nil && compareRank(r, c.reserver) < 0:
		own = c.reserver.need()
	}
	return c.room.Fits(r.need(), own)
}

// lacksMemory reports whether a request has a free slot at some of the candidates, and memory at none of these.
func (s *Scheduler) lacksMemory(now time.Duration, r *Request, p *pool, candidates []*candidate) bool {
	if !p.memory {
		return false
	}
	open := 0
	for _, c := range candidates {
		if c.available(s.cfg.Overcommit) {
			if s.hasMemory(now, r, c, p) {
				return false
			}
			open++
		}
	}
	return open > 0
}

// takeMemory accounts for a placement.
func (c *candidate) takeMemory(r *Request) {
	c.room.Held += r.need()
	c.room.Unconfirmed += r.need()
	if c.reserver == r {
		c.room.Reserved -= r.need()
		c.reserver = nil
	}
}

// noteLack records that a request fitted into the memory of no engine, of all those that have a slot. What an
// engine has left does not grow during a plan.
func (p *pool) noteLack(r *Request, triedAll bool) {
	if triedAll && r.memory.engine == nil && (p.lackingNeed == 0 || r.need() < p.lackingNeed) {
		p.lackingNeed = r.need()
	}
}

// lacksFor reports whether it is known that a request fits into the memory of no engine.
func (p *pool) lacksFor(r *Request) bool {
	return p.lackingNeed > 0 && r.memory.engine == nil && r.need() >= p.lackingNeed
}

// noteMemory records that it was memory that kept a request from being placed. That holds until it is placed,
// also while there is no slot.
func (r *Request) noteMemory(now time.Duration) {
	if !r.memory.lacking {
		r.memory.lacking, r.memory.since = true, now
	}
}

// reserveMemory chooses the engines at which memory is kept free for the first of the requests that lack it.
// A reservation moves once it is known to all and there is room for the request elsewhere only.
func (s *Scheduler) reserveMemory(now time.Duration, waiting []*Request, p *pool) {
	reserving := 0
	for _, r := range waiting {
		m := &r.memory
		if !m.lacking || reserving == maxReservations {
			if c := p.candidateOf(m.engine); c != nil && c.reserver == r {
				c.reserver, c.room.Reserved = nil, c.room.Reserved-r.need()
			}
			m.engine = nil
			continue
		}
		reserving++
		held := p.candidateOf(m.engine)
		if held != nil && (now < m.reservedFrom+p.reservationTime || held.room.FitsReserved(r.need())) {
			continue
		}
		best := s.roomiest(now, r, p)
		if best == nil || held != nil && best.room.Free() < r.need() {
			continue
		}
		if held != nil {
			held.reserver, held.room.Reserved = nil, held.room.Reserved-r.need()
		}
		best.reserver, best.room.Reserved = r, best.room.Reserved+r.need()
		m.engine, m.reservedFrom = best.endpoint, now
	}
}

// roomiest returns the engine without a reservation of this entry that has the most memory free for a
// request; nil = none. Of engines with about as much, entries choose different ones.
func (s *Scheduler) roomiest(now time.Duration, r *Request, p *pool) *candidate {
	var best *candidate
	better := func(c, than *candidate) bool {
		step := max(r.need(), 1)
		if a, b := c.room.Free()/step, than.room.Free()/step; a != b {
			return a > b
		}
		return mix(hashName(c.endpoint.ID)^mix(hashName(s.self))) < mix(hashName(than.endpoint.ID)^mix(hashName(s.self)))
	}
	mustFit := !r.prospect.tooLate && !r.StreamStarted
	for _, c := range p.candidates {
		if !c.open || c.reserver != nil || r.Avoid[c.endpoint.ID] || !r.mayRunAt(c.endpoint) || mustFit && !s.canAnswer(now, r, c) {
			continue
		}
		if best == nil || better(c, best) {
			best = c
		}
	}
	return best
}

// fitsNoEngine reports whether a request needs more memory than an engine of its service has.
func (s *Scheduler) fitsNoEngine(r *Request, p *pool) bool {
	return p.memory && r.need() > s.services[r.Service].MemoryTokens
}

// memoryReason returns why a request is refused that would be for the given reason.
func (r *Request) memoryReason(reason Reason) Reason {
	if r.memory.lacking && (reason == ReasonBacklog || reason == ReasonWaited) {
		return ReasonEngineMemory
	}
	return reason
}

// withMemory adds the amounts to a refusal for lack of memory.
func (s *Scheduler) withMemory(r *Request, refusal Refusal) Refusal {
	if refusal.Reason == ReasonEngineMemory {
		refusal.MemoryNeed, refusal.MemoryTokens = r.need(), s.services[r.Service].MemoryTokens
	}
	return refusal
}

// reportMemory adds the memory that this entry's requests need or reserve to a report.
func (s *Scheduler) reportMemory(report *Report) {
	for id, l := range report.Loads {
		if e := s.endpoints[id]; s.memoryMatters(e.Service) {
			l.MemoryTokens, _ = e.heldMemory(0)
			report.Loads[id] = l
		}
	}
	for _, queue := range s.queues {
		for _, r := range queue {
			if e := r.memory.engine; e != nil {
				l := report.Loads[e.ID]
				l.ReservedTokens += r.need()
				report.Loads[e.ID] = l
			}
		}
	}
}

// addMemory adds the memory of an endpoint to its status.
func (s *Scheduler) addMemory(status *EndpointStatus, e *endpoint) {
	peer := s.peers.loads[e.ID]
	status.MemoryTokens = s.services[e.Service].MemoryTokens
	status.MemoryHeld, _ = e.heldMemory(0)
	status.PeersMemory = peer.MemoryTokens + memory.Estimate(peer.unsizedRunning, peer.unsizedPrompts, s.needsOf(e.Service).Usual())
	status.MemoryReserved = peer.ReservedTokens
	for _, r := range s.queues[e.Service] {
		if r.memory.engine == e {
			status.MemoryReserved += r.need()
		}
	}
}
