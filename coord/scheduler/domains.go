package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"primrosespoke.dev/coord/spill"
)

// Leaving the failure domain; see package spill for the load that it answers.

const (
	// decideInterval is the least time between two decisions on what leaves the domain: plans
	// come more often than what they are decided from changes.
	decideInterval = 10 * time.Millisecond
	// urgentSlack is the time until a request's latest start below which it may leave a domain
	// that has no slot for it, whatever the demand of the domain is.
	urgentSlack = 300 * time.Millisecond
	// largeDomainEntries and largeDomainEndpoints are the numbers of entries and of endpoints in a
	// domain beyond which it is divided into groups.
	largeDomainEntries, largeDomainEndpoints = 10, 16
	// outsideDraws is how many free endpoints of other domains are compared. Entries that act on the
	// same old reports would all choose the same one.
	outsideDraws = 2
	// loggedShareChange is the change of the part that leaves a domain from which on it is reported,
	// and minChangeInterval the least time between two reported changes.
	loggedShareChange = 0.1
	minChangeInterval = 500 * time.Millisecond
)

// domainPreference holds what is decided for one service.
type domainPreference struct {
	planner   *spill.Planner
	decidedAt time.Duration
	decided   bool
	work      float64 // slot-seconds of a request as of the last queue that was not empty
	reported  float64 // part that leaves the domain, as in the last SpillChange
	changedAt time.Duration
}

// SpillChange is a change of the part of a service's demand that leaves the failure domain.
type SpillChange struct {
	Service string
	// Before and After are the parts of the demand.
	Before, After float64
	// Decision holds the inputs and the outcome.
	Decision spill.Decision
}

// SpillStatus is the decision on a service in a state dump.
type SpillStatus struct {
	Service string             `json:"service"`
	Demand  float64            `json:"demand"` // of the own domain
	Slots   float64            `json:"slots"`
	WaitMS  int64              `json:"wait_ms"`
	Leaving float64            `json:"leaving"`
	To      map[string]float64 `json:"to,omitempty"`
	Room    map[string]float64 `json:"room,omitempty"`
}

// domainPool is what a plan knows of the failure domains.
type domainPool struct {
	decision    spill.Decision
	slots       int // in the own domain
	limit       int // runs of this entry in the own domain
	running     int
	quota       map[string]int // runs of this entry that may still start, by other domain
	spare       map[string]int // the same for requests that could not be started in time otherwise
	ownDemand   float64
	demand      float64        // of all entries of the own domain
	domainRate  float64        // requests per second of the other entries of the own domain
	entries     int            // of the own domain that are heard, with this one
	leavingHere float64        // runs of this entry outside, as a part of one where it has less
	open        map[string]int // available candidates, by domain
	home        string         // the own domain
}

// SetFailureDomains sets the failure domains of the other entries, by name.
func (s *Scheduler) SetFailureDomains(domains map[string]string) {
	s.domainOf = domains
	s.byService = nil
}

// prefersDomain reports whether the endpoints of the own failure domain are preferred for a service.
func (s *Scheduler) prefersDomain(service string, list []*endpoint) bool {
	return s.cfg.FailureDomain != "" && slices.ContainsFunc(list, s.isHome) && s.enabled(s.cfg.DomainPreference, service)
}

func (s *Scheduler) isHome(e *endpoint) bool {
	return e.FailureDomain == s.cfg.FailureDomain
}

// PrefersDomain reports whether the own failure domain is preferred for some service.
func (s *Scheduler) PrefersDomain() bool {
	if s.cfg.DomainPreference == Off || s.cfg.FailureDomain == "" {
		return false
	}
	s.endpointsOf("") // rebuilds the lists
	for service, list := range s.byService {
		if s.prefersDomain(service, list) {
			return true
		}
	}
	return false
}

// domainEntries returns the entries of the own domain, this one included, in their common order.
func (s *Scheduler) domainEntries() []string {
	var names []string
	for _, name := range s.entries {
		if name == s.self || s.domainOf[name] == s.cfg.FailureDomain {
			names = append(names, name)
		}
	}
	return names
}

// entriesByDomain counts the entries of each failure domain.
func (s *Scheduler) entriesByDomain() map[string]int {
	counts := map[string]int{}
	for _, name := range s.entries {
		if name == s.self {
			counts[s.cfg.FailureDomain]++
			continue
		}
		counts[s.domainOf[name]]++
	}
	return counts
}

// assignToDomain marks the endpoints of one service that this entry does not prefer: those of other
// domains and, in a large domain, those of its other groups.
func (s *Scheduler) assignToDomain(service string, list []*endpoint) {
	entries := s.domainEntries()
	var ids []string
	for _, e := range list {
		if s.isHome(e) {
			ids = append(ids, e.ID)
		}
	}
	parts := 1
	if len(entries) > largeDomainEntries && len(ids) > largeDomainEndpoints {
		parts = min(groupCount(len(entries)), len(ids)/minGroupEndpoints)
	}
	own := assignGroups(entries, parts)[s.self]
	part := s.partsOf(service, ids, parts)
	for _, e := range list {
		e.outsideGroup = !s.isHome(e) || parts > 1 && part[e.ID] != own
	}
}

// domainGroup returns the other entries that get frequent reports: those of the own domain, or of
// this entry's group in a large one.
func (s *Scheduler) domainGroup() []string {
	entries := s.domainEntries()
	groups := 1
	if len(entries) > largeDomainEntries {
		groups = groupCount(len(entries))
	}
	group := assignGroups(slices.Clone(entries), groups)
	return slices.DeleteFunc(entries, func(name string) bool { return name == s.self || group[name] != group[s.self] })
}

// planDomains decides which part of a service's demand leaves the own domain. It leaves p.domains nil
// where the domain is not preferred, has no usable endpoint, or its endpoints' places or rates are
// given out otherwise.
func (s *Scheduler) planDomains(now time.Duration, service string, p *pool) {
	list := s.endpointsOf(service)
	prefers := s.prefersDomain(service, list)
	if prefers != s.preferred[service] { // an endpoint has stated its pace, or is gone
		s.preferred[service] = prefers
		if prefers {
			s.assignToDomain(service, list)
		} else {
			s.assignToGroups(service, list)
		}
	}
	if !prefers || p.restricted || s.services[service].Engine && s.places != nil {
		return
	}
	home := 0
	for _, c := range p.candidates {
		if c.home = s.isHome(c.endpoint); c.home {
			home += c.slots
		}
	}
	if home == 0 {
		return
	}
	d := &domainPool{home: s.cfg.FailureDomain, open: map[string]int{}, slots: home, quota: map[string]int{}, spare: map[string]int{}, entries: 1}
	outside := map[string]int{}
	for _, e := range list {
		switch {
		case len(e.runs) == 0:
		case s.isHome(e):
			d.running += len(e.runs)
		default:
			outside[e.FailureDomain] += len(e.runs)
		}
	}
	d.ownDemand = float64(p.ownRunning + len(s.queues[service]))
	d.demand = d.ownDemand
	ownExcess := float64(beyondShares(s.queues[service]))
	excess := ownExcess
	for _, name := range s.entries {
		if r, ok := s.peers.reports[name]; ok && s.domainOf[name] == s.cfg.FailureDomain {
			d.demand += float64(r.Demand[service])
			excess += float64(r.Excess[service])
			d.domainRate += r.Arrivals[service]
			d.entries++
		}
	}
	d.decision = s.decideSpill(now, service, p, d)
	position := s.domainPosition()
	entries := float64(len(s.peers.reports) + 1)
	d.limit = home
	if d.demand > d.decision.Home {
		d.limit = int(math.Ceil(homeShare(d.decision.Home, d.ownDemand-ownExcess, d.demand-excess, ownExcess, excess)))
	}
	d.leavingHere = d.decision.Leaving * d.ownDemand / max(d.demand, 1)
	for name, spare := range d.decision.Spare {
		allowed := spill.Quota(d.decision.To[name], d.ownDemand, d.demand, position)
		d.quota[name] = allowed - outside[name]
		d.spare[name] = max(allowed, int(spare/entries+position)) - outside[name]
	}
	p.domains = d
}

// homeShare returns this entry's part of the slots of its domain: in proportion to the demand within
// the accounts' shares, and of what that leaves in proportion to the rest. An account that floods
// through one entry would otherwise draw the slots of the others there.
func homeShare(home, own, all, ownExcess, excess float64) float64 {
	switch {
	case all >= home && all > 0:
		return home * own / all
	case excess > 0:
		return own + (home-all)*ownExcess/excess
	}
	return home
}

// domainPosition returns this entry's position among those of its domain, from 0 to below 1.
func (s *Scheduler) domainPosition() float64 {
	entries := s.domainEntries()
	return (float64(max(slices.Index(entries, s.self), 0)) + 0.5) / float64(max(len(entries), 1))
}

// decideSpill returns the decision on a service. It is renewed every decideInterval.
func (s *Scheduler) decideSpill(now time.Duration, service string, p *pool, d *domainPool) spill.Decision {
	state := s.spills[service]
	if state == nil {
		state = &domainPreference{planner: spill.New(spill.DefaultConfig())}
		s.spills[service] = state
	}
	if state.decided && now < state.decidedAt+decideInterval {
		return state.planner.Last()
	}
	state.decided, state.decidedAt = true, now
	load := spill.Load{Own: s.cfg.FailureDomain, TimeLeft: maxRetryAfter}
	if queue := s.queues[service]; len(queue) > 0 {
		state.work = 0
		for _, r := range queue {
			state.work += s.slotTime(r, p) / float64(len(queue))
			load.TimeLeft = min(load.TimeLeft, s.latestStart(r, p)-now)
		}
	}
	if load.Short = !s.services[service].Engine; load.Short {
		state.work = p.serviceTime
	}
	load.Work = state.work
	load.Domains = s.spillDomains(now, service, p, d)
	decision := state.planner.Decide(now, load)
	s.recordSpillChange(now, service, state, decision)
	return decision
}

// spillDomains returns what is known of the domains.
func (s *Scheduler) spillDomains(now time.Duration, service string, p *pool, d *domainPool) []spill.Domain {
	byName := map[string]*spill.Domain{}
	domain := func(name string) *spill.Domain {
		known := byName[name]
		if known == nil {
			known = &spill.Domain{Name: name, MaxAge: s.cfg.ReportTTL}
			byName[name] = known
		}
		return known
	}
	for _, c := range p.candidates {
		domain(c.endpoint.FailureDomain).Slots += float64(c.slots)
	}
	for _, name := range s.entries {
		each := s.domainOf[name]
		if name == s.self {
			each = s.cfg.FailureDomain
		}
		known := domain(each)
		known.Entries++
		if r, ok := s.peers.reports[name]; ok && name != s.self {
			known.Heard++
			known.Demand += float64(r.Demand[service])
			known.Age += now - r.receivedAt
			known.MaxAge = max(known.MaxAge, r.TTL)
		}
	}
	own := domain(s.cfg.FailureDomain)
	own.Demand += d.ownDemand
	domains := make([]spill.Domain, 0, len(byName))
	for _, each := range byName {
		each.Age /= time.Duration(max(each.Heard, 1))
		domains = append(domains, *each)
	}
	return domains
}

// recordSpillChange keeps a change of the part that leaves the domain until SpillChanges returns it.
func (s *Scheduler) recordSpillChange(now time.Duration, service string, state *domainPreference, d spill.Decision) {
	share := d.Share()
	if math.Abs(share-state.reported) < loggedShareChange && (share == 0) == (state.reported == 0) || now < state.changedAt+minChangeInterval && state.changedAt > 0 {
		return
	}
	s.spillChanges = append(s.spillChanges, SpillChange{Service: service, Before: state.reported, After: share, Decision: d})
	state.reported, state.changedAt = share, now
}

// SpillChanges returns the changes since it was last called.
func (s *Scheduler) SpillChanges() []SpillChange {
	changes := s.spillChanges
	s.spillChanges = nil
	return changes
}

// SpillStatus returns the last decision on each service, sorted by service.
func (s *Scheduler) SpillStatus() []SpillStatus {
	var list []SpillStatus
	for service, state := range s.spills {
		if d := state.planner.Last(); s.preferred[service] {
			list = append(list, SpillStatus{Service: service, Demand: d.Demand, Slots: d.Slots, WaitMS: d.Wait.Milliseconds(), Leaving: d.Leaving, To: d.To, Room: d.Room})
		}
	}
	slices.SortFunc(list, func(a, b SpillStatus) int { return compareBool(a.Service > b.Service, b.Service > a.Service) })
	return list
}

// mayPlaceAny reports whether a request may be placed that is not urgent.
func (d *domainPool) mayPlaceAny() bool {
	return d.open[d.home] > 0 && d.running < d.limit || d.hasOpen(d.quota)
}

// mayPlace reports whether an endpoint may be found for a request, without a look at each: in an
// overload some hundred requests wait, and most plans can place none of them.
func (d *domainPool) mayPlace(now time.Duration, r *Request) bool {
	switch {
	case r.StreamStarted || r.Version != "" || len(r.Avoid) > 0:
		return true
	case d.mayPlaceAny():
		return true
	}
	return r.prospect.latestStart-now < max(urgentSlack, d.decision.Wait) && d.hasOpen(d.spare)
}

// hasOpen reports whether a domain that may get a further run has an available candidate.
func (d *domainPool) hasOpen(quota map[string]int) bool {
	for name, n := range quota {
		if n > 0 && d.open[name] > 0 {
			return true
		}
	}
	return false
}

// chooseByDomain returns the endpoint with the lowest expected cost among those of the own domain
// and, for the part of the demand that leaves it, of others.
func (s *Scheduler) chooseByDomain(now time.Duration, r *Request, p *pool, suitable []*candidate) (*candidate, float64) {
	d := p.domains
	possible := slices.ContainsFunc(p.candidates, func(c *candidate) bool {
		return c.home && !r.Avoid[c.endpoint.ID] && r.mayRunAt(c.endpoint)
	})
	if !possible { // by its software version, or since it was sent to all of them before
		return s.cheapest(now, r, p, s.comparable(p, suitable), nil)
	}
	var best *candidate
	lowest := math.Inf(1)
	if p.pacer != nil {
		if d.decision.Leaving > 0 && s.rng.Float64() < d.decision.Share() {
			// An entry has a few short runs at a time, and the queues of plain endpoints hide that a
			// domain is full. So the part that leaves is drawn, and not counted as runs.
			if c, cost := s.cheapestOutside(now, r, p, suitable, s.drawDomain(d.decision)); c != nil {
				return c, cost
			}
		}
		home := slices.DeleteFunc(slices.Clone(suitable), func(c *candidate) bool { return !c.home })
		best, lowest = s.cheapest(now, r, p, s.comparable(p, home), nil)
	} else {
		if d.running < d.limit || r.StreamStarted {
			best, lowest = s.cheapest(now, r, p, suitable, isHomeCandidate)
		}
		if c, cost := s.cheapestOutside(now, r, p, suitable, d.quota); c != nil && (best == nil || cost < lowest) {
			return c, cost
		}
	}
	switch {
	case best != nil:
		return best, lowest
	case r.StreamStarted:
		return s.cheapest(now, r, p, suitable, nil)
	case r.prospect.latestStart-now < max(urgentSlack, d.decision.Wait) || !slices.ContainsFunc(suitable, isHomeCandidate):
		return s.cheapestOutside(now, r, p, suitable, d.spare)
	}
	return nil, 0
}

func isHomeCandidate(c *candidate) bool { return c.home }

// cheapest returns the available candidate with the lowest expected cost, of those that may be taken;
// nil = all.
func (s *Scheduler) cheapest(now time.Duration, r *Request, p *pool, candidates []*candidate, may func(*candidate) bool) (*candidate, float64) {
	var best *candidate
	lowest := math.Inf(1)
	for _, c := range candidates {
		if (may == nil || may(c)) && c.available(s.cfg.Overcommit) && s.hasMemory(now, r, c, p) {
			if cost := s.cost(now, r, c); cost < lowest {
				best, lowest = c, cost
			}
		}
	}
	return best, lowest
}

// cheapestOutside returns the cheaper one of two available candidates that are drawn from the domains
// that may get further runs.
func (s *Scheduler) cheapestOutside(now time.Duration, r *Request, p *pool, candidates []*candidate, quota map[string]int) (*candidate, float64) {
	if !hasQuota(quota) {
		return nil, 0
	}
	var open []*candidate
	for _, c := range candidates {
		if !c.home && c.available(s.cfg.Overcommit) && s.hasMemory(now, r, c, p) && quota[c.endpoint.FailureDomain] > 0 {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil, 0
	}
	for i := range min(outsideDraws, len(open)) {
		j := i + s.rng.Intn(len(open)-i)
		open[i], open[j] = open[j], open[i]
	}
	return s.cheapest(now, r, p, open[:min(outsideDraws, len(open))], nil)
}

func hasQuota(quota map[string]int) bool {
	for _, n := range quota {
		if n > 0 {
			return true
		}
	}
	return false
}

// drawDomain draws a domain in proportion to what goes there.
func (s *Scheduler) drawDomain(d spill.Decision) map[string]int {
	left := s.rng.Float64() * d.Leaving
	for _, name := range slices.Sorted(maps.Keys(d.To)) {
		if left -= d.To[name]; left <= 0 {
			return map[string]int{name: 1}
		}
	}
	return nil
}

// placedIn counts a run that was placed.
func (d *domainPool) placedIn(domain string, home bool) {
	if home {
		d.running++
		return
	}
	d.quota[domain]--
	d.spare[domain]--
}

// ownLimit returns how many requests this entry may run in all domains.
func (d *domainPool) ownLimit() int {
	return d.limit + int(math.Ceil(d.leavingHere))
}

// paceInDomain sets this entry's share of a plain service's slots: of those in its domain in
// proportion to the requests of the domain's entries, and of what the domain has outside.
func (s *Scheduler) paceInDomain(service string, p *pool, rate float64) {
	d, account := p.domains, p.pacer
	slots := d.decision.Home * (1 + pacedQueueShare*min(p.staleness, 1))
	if d.demand <= float64(d.slots) {
		account.share = slots
		account.credit = maxPacedCredit * p.serviceTime
		return
	}
	even := slots / float64(d.entries)
	part := rate / max(rate+d.domainRate, 1e-9)
	account.share = min(max(slots*part, minPacedShare*even), slots) + d.decision.Leaving*part
}
