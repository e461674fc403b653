package rollout

import (
	"maps"
	"slices"
	"time"
)

// run is a request of this entry at an endpoint.
type run struct {
	service, route, version string
	sentAt                  time.Duration
	weight                  float64
	repeatable, begun       bool
	judged, bad             bool
	target                  string // of the service when the request was placed
}

// Set is the roll-outs of all services, as one entry knows them, and its runs. One goroutine uses
// it.
type Set struct {
	cfg      Config
	services map[string]*Service
	runs     map[uint64]*run
	informed bool                         // the store's statuses have been read
	listed   map[string]map[string]string // versions of endpoints that take requests, by service and ID
}

// NewSet returns a set without orders.
func NewSet(cfg Config) *Set {
	return &Set{cfg: cfg, services: map[string]*Service{}, runs: map[uint64]*run{}, listed: map[string]map[string]string{}}
}

// maxServices bounds the services whose orders are followed, since rows and reports may name any.
const maxServices = 256

// service returns the roll-outs of a service, or nil if there are too many.
func (s *Set) service(name string) *Service {
	known := s.services[name]
	if known == nil && len(s.services) < maxServices {
		known = newService(s.cfg, name)
		known.SetListed(s.listed[name])
		known.informed = s.informed
		s.services[name] = known
	}
	return known
}

// SetListed sets the versions of the endpoints that take requests, by service and ID.
func (s *Set) SetListed(listed map[string]map[string]string) {
	s.listed = listed
	for name, each := range s.services {
		each.SetListed(listed[name])
	}
}

// Observe takes over an order of a row. late is set if the row may be older than this read.
func (s *Set) Observe(now time.Duration, o Order, late bool) {
	if each := s.service(o.Service); each != nil {
		o.Duration = min(max(o.Duration, MinDuration), MaxDuration)
		each.Observe(o, now, late)
	}
}

// Informed records that all statuses that the store has were passed on.
func (s *Set) Informed() {
	s.informed = true
	for _, each := range s.services {
		each.informed = true
	}
}

// Status takes over a status that the store has.
func (s *Set) Status(service, target string, phase Phase, at ID) {
	if each := s.service(service); each != nil {
		each.Status(target, phase, at)
	}
}

// Admits reports whether a request may be placed at an endpoint.
func (s *Set) Admits(service string, r Request, endpoint, version string) bool {
	each := s.services[service]
	return each == nil || each.Admits(r, endpoint, version)
}

// Prefers reports whether a request that Admits admits to a version should go there.
func (s *Set) Prefers(service, version string) bool {
	each := s.services[service]
	return each != nil && each.Prefers(version)
}

// Closed reports whether no request at all may be placed at a version.
func (s *Set) Closed(service, version string) bool {
	each := s.services[service]
	return each != nil && each.Closed(version)
}

// Placement is a request that was placed.
type Placement struct {
	ID                      uint64
	Service, Route, Version string
	// Repeatable is set if the request may be sent again after it has run.
	Repeatable bool
	// Weight is the expected time of the answer relative to others of the route; 1 = usual.
	Weight float64
}

// Placed records that a request is placed.
func (s *Set) Placed(now time.Duration, p Placement) {
	r := &run{service: p.Service, route: p.Route, version: p.Version, sentAt: now, weight: max(p.Weight, 1), repeatable: p.Repeatable}
	s.runs[p.ID] = r
	if each := s.services[p.Service]; each != nil && each.order.Target != "" {
		r.target = each.order.Target
		each.count(r, func(c *Counts) { c.Sent++ })
	}
}

// count changes the counts of a run's version and route.
func (s *Service) count(r *run, change func(*Counts)) {
	if r.target != s.order.Target || s.record().Phase.Decided() {
		return
	}
	p := s.own[r.route]
	switch {
	case r.version == s.order.Target:
		change(&p.New)
		change(&s.ownTotal.New)
	case s.isOld(r.version):
		change(&p.Old)
		change(&s.ownTotal.Old)
	}
	s.own[r.route] = p
}

// judge counts the answer of a run, once. took is the time up to its first byte or event.
func (s *Service) judge(now time.Duration, r *run, took time.Duration, failed bool) {
	p := s.pace(r.route)
	bad := failed || p.isSlow(now, took, r.weight)
	if !r.judged {
		s.count(r, func(c *Counts) { c.Answered++ })
	}
	if bad && !r.bad {
		s.count(r, func(c *Counts) { c.Bad++ })
	}
	if !failed && !r.judged && r.version != s.order.Target && s.isOld(r.version) {
		p.add(now, took.Seconds()/r.weight)
	}
	r.judged, r.bad = true, r.bad || bad
}

// judgeLate counts a run that is too slow before it ends, since it may hang for as long as its
// caller waits.
func (s *Service) judgeLate(now time.Duration, r *run) {
	if r.judged || !s.pace(r.route).isSlow(now, now-r.sentAt, r.weight) {
		return
	}
	s.count(r, func(c *Counts) { c.Answered++; c.Bad++ })
	r.judged, r.bad = true, true
}

// FirstEvent records the first event of a stream.
func (s *Set) FirstEvent(now time.Duration, id uint64) {
	r := s.runs[id]
	if r == nil || r.begun {
		return
	}
	r.begun = true
	if each := s.services[r.service]; each != nil {
		each.judge(now, r, now-r.sentAt, false)
	}
}

// Result says how a run ended.
type Result int

// Results of a run.
const (
	// Answered: the answer was received in full.
	Answered Result = iota + 1
	// Failed: the endpoint failed the request, broke off or could not be reached.
	Failed
	// Unjudged: the request was not run.
	Unjudged
	// Abandoned: the caller or the entry ended the run, which says nothing unless it took long.
	Abandoned
)

// Ended records how a run ended.
func (s *Set) Ended(now time.Duration, id uint64, result Result) {
	r := s.runs[id]
	delete(s.runs, id)
	if r == nil {
		return
	}
	each := s.services[r.service]
	if each == nil || result == Unjudged {
		return
	}
	took := now - r.sentAt
	if r.version != each.order.Target {
		each.longest = max(each.longest, min(took, maxLongest))
	}
	switch {
	case result == Failed:
		each.judge(now, r, took, true)
	case r.judged:
	case result == Answered, each.pace(r.route).isSlow(now, took, r.weight):
		each.judge(now, r, took, false)
	}
}

// maxLongest bounds what one answer that hangs adds to the time that is left for the move.
const maxLongest = 30 * time.Second

// running counts the runs of a service at old versions: those that can't be repeated, and the
// streams that have begun and can be resumed.
func (s *Set) running(service string) (blocking, streams int) {
	target := s.services[service].order.Target
	for _, r := range s.runs {
		switch {
		case r.service != service || r.version == target:
		case !r.repeatable:
			blocking++
		case r.begun:
			streams++
		}
	}
	return blocking, streams
}

// names returns the names of the services with orders or verdicts, sorted.
func (s *Set) names() []string {
	return slices.Sorted(maps.Keys(s.services))
}

// Step decides on the phases of all services, and reports whether one has changed. writes tells
// whether this entry writes the status of a service; for the rest see Situation.
func (s *Set) Step(now time.Duration, at Situation, writes func(service string) bool) bool {
	changed := false
	for _, r := range s.runs {
		if each := s.services[r.service]; each != nil {
			each.judgeLate(now, r)
		}
	}
	for _, name := range s.names() {
		at.Writes = writes(name)
		at.Blocking, at.Streams = s.running(name)
		changed = s.services[name].Step(now, at) || changed
	}
	return changed
}

// Wanted returns the statuses that the store should have.
func (s *Set) Wanted(now time.Duration, heard []string) []Status {
	var wanted []Status
	for _, name := range s.names() {
		at := Situation{Heard: heard}
		at.Blocking, at.Streams = s.running(name)
		if status, ok := s.services[name].Wanted(now, at); ok {
			wanted = append(wanted, status)
		}
	}
	return wanted
}

// Undecided reports whether an order has no verdict in the store.
func (s *Set) Undecided() bool {
	for _, each := range s.services {
		if r := each.record(); each.order.Target != "" && !(r.Phase.Decided() && r.Written) {
			return true
		}
	}
	return false
}

// Reports returns what the others are told; only of roll-outs without a verdict in the store unless
// all is set.
func (s *Set) Reports(now time.Duration, all bool) []Report {
	var reports []Report
	for _, name := range s.names() {
		each := s.services[name]
		if r := each.record(); all || each.order.Target != "" && !(r.Phase.Decided() && r.Written) {
			blocking, streams := s.running(name)
			reports = append(reports, each.Report(now, blocking, streams))
		}
	}
	return reports
}

// Receive takes over another entry's reports.
func (s *Set) Receive(now time.Duration, entry, incarnation string, reports []Report) {
	for _, r := range reports {
		if each := s.service(r.Service); each != nil {
			each.Receive(now, entry, incarnation, r)
		}
	}
}

// Describe returns the state of all roll-outs, for operators.
func (s *Set) Describe(now time.Duration) []Description {
	var all []Description
	for _, name := range s.names() {
		if each := s.services[name]; each.order.Target != "" {
			all = append(all, each.Describe(now))
		}
	}
	return all
}
