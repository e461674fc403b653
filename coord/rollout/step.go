package rollout

import (
	"maps"
	"slices"
	"time"
)

// evidence returns what all entries have seen, those that have ended included.
func (s *Service) evidence() Evidence {
	sum := Evidence{}
	sum.add(s.own)
	for _, e := range s.peers {
		sum.add(e)
	}
	return sum
}

// Situation is what a step depends on beside the state of the service.
type Situation struct {
	// Entries is the number of all entries, this one included, 0 while it is unknown, and Heard the
	// names of the others whose reports arrive.
	Entries int
	Heard   []string
	// Writes is set if this entry writes the status.
	Writes bool
	// Stored is set if the store answered of late. All requests move only then, since the verdict
	// must be written soon.
	Stored bool
	// Current is set if verdicts of others would have been heard of.
	Current bool
	// Blocking and Streams are the runs of this entry at old versions that can't be repeated, and
	// the streams that have begun there.
	Blocking, Streams int
}

// Age returns for how long the order has been known.
func (s *Service) Age(now time.Duration) time.Duration {
	return max(now-s.startedAt, 0)
}

// Step decides on the phase, and reports whether it has changed.
func (s *Service) Step(now time.Duration, at Situation) bool {
	s.entries, s.current = at.Entries, at.Current
	before := s.record()
	if s.order.Target == "" || !s.informed || before.Phase.Decided() {
		return false
	}
	s.progress = min(1, s.Age(now).Seconds()/s.moveAt().Seconds())
	sum := s.evidence()
	phase, reason := s.decide(now, sum, at)
	s.observeWindow(now, sum)
	if phase == before.Phase {
		return false
	}
	s.merge(Record{Target: before.Target, Generation: before.Generation, Phase: phase, Reason: reason})
	return true
}

func (s *Service) decide(now time.Duration, sum Evidence, at Situation) (Phase, string) {
	phase := s.record().Phase
	if route, bad := s.findWorse(sum); bad {
		return RolledBack, "worse than the version before: " + route
	}
	age, duration := s.Age(now), s.order.Duration
	listed := s.lists(s.isTarget)
	last := duration - max(share(duration, lastMove), min(minLastMove, share(duration, minMoveTime)))
	switch {
	case phase == Moving && at.Writes && !listed && age >= share(duration, 1-lastStreams):
		return RolledBack, "no endpoint of the version any more"
	case phase != Running || !at.Writes:
	case age >= last && !listed:
		return RolledBack, "no endpoint of the version"
	case age >= last && sum.total().silent():
		return RolledBack, "too few of the requests were answered"
	case age >= last && s.suspect(sum):
		return RolledBack, "perhaps worse than the version before at the last moment"
	case age >= last && at.Stored:
		return Moving, "no worse than the version before at the last moment"
	case age >= s.moveAt() && at.Stored && s.isStarted() && sum.enough(triedShare*s.cfg.ExposureShare) && !sum.total().silent() && !s.suspect(sum):
		return Moving, "no worse than the version before"
	}
	return phase, ""
}

// moveAt returns the age of the order at which all requests move if the target is good: late, since
// a version may turn bad, but early enough for the old version's answers to end.
func (s *Service) moveAt() time.Duration {
	d := s.order.Duration
	move := min(max(s.longest+moveMargin, share(d, minMoveTime)), share(d, maxMoveTime))
	return max(d-move, share(d, minObserved))
}

// completeAt returns the age of the order at which a version may be completed.
func (s *Service) completeAt() time.Duration {
	d := s.order.Duration
	return d - max(share(d, completeMargin), min(minCompleteMargin, share(d, 2*completeMargin)))
}

func share(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}

// findWorse returns the route on which the target is worse, by all that was seen or of late alone.
func (s *Service) findWorse(sum Evidence) (string, bool) {
	if route, bad := sum.worseRoute(); bad {
		return route, true
	}
	route, bad := s.recent(sum).worseRoute()
	return route + " of late", bad
}

// recent returns what was seen of late; nothing before the window is full.
func (s *Service) recent(sum Evidence) Evidence {
	recent := Evidence{}
	if len(s.window) < windowSteps {
		return recent
	}
	for route, p := range sum {
		from := s.window[0][route]
		recent[route] = Pair{Old: p.Old.minus(from.Old), New: p.New.minus(from.New)}
		if s.record().Phase == Moving { // the old version answers no more
			recent[route] = Pair{Old: p.Old, New: recent[route].New}
		}
	}
	return recent
}

// suspect reports whether the target may be worse, by all that was seen or of late alone.
func (s *Service) suspect(sum Evidence) bool {
	return sum.total().suspect() || s.recent(sum).total().suspect()
}

func (c Counts) minus(other Counts) Counts {
	return Counts{Sent: max(c.Sent-other.Sent, 0), Answered: max(c.Answered-other.Answered, 0), Bad: max(c.Bad-other.Bad, 0)}
}

// observeWindow keeps the sums of the last steps.
func (s *Service) observeWindow(now time.Duration, sum Evidence) {
	if len(s.window) > 0 && now < s.windowAt+windowStep {
		return
	}
	s.window, s.windowAt = append(s.window, sum), now
	if len(s.window) > windowSteps {
		s.window = slices.Delete(s.window, 0, len(s.window)-windowSteps)
	}
}

// Status is the row that the store should have.
type Status struct {
	Service, Target string
	Phase           Phase // Running, RolledBack or Completed
}

// Wanted returns the status that the store should have; false = none is known.
func (s *Service) Wanted(now time.Duration, at Situation) (Status, bool) {
	r := s.record()
	if s.order.Target == "" || !s.informed {
		return Status{}, false
	}
	phase := Running
	switch {
	case r.Phase.Decided():
		phase = r.Phase
	case r.Phase == Moving && s.Age(now) >= s.completeAt() && s.lists(s.isTarget) && s.drained(now, at):
		phase = Completed
	}
	return Status{Service: s.name, Target: s.order.Target, Phase: phase}, true
}

// drained reports whether nothing of the old version runs at any heard entry that must not be cut:
// requests that can't be repeated, and while there is time streams that can be resumed.
func (s *Service) drained(now time.Duration, at Situation) bool {
	blocking, streams := at.Blocking, at.Streams
	for _, entry := range at.Heard {
		p, ok := s.latest[entry]
		if !ok {
			continue // its release, or its settings, know no roll-outs
		}
		if p.target != s.order.Target || p.generation != s.record().Generation || p.phase != Moving {
			return false // it may still place requests at the old version
		}
		blocking, streams = blocking+p.blocking, streams+p.stream
	}
	timeLeft := s.Age(now) < share(s.order.Duration, 1-lastStreams)
	return blocking == 0 && (streams == 0 || !timeLeft)
}

// Report is what an entry tells the others of one service.
type Report struct {
	Service string
	Order   Order
	Age     time.Duration
	// Records holds the present target first.
	Records []Record
	// Informed is set if the entry knows of the store's earlier verdicts.
	Informed          bool
	Evidence          Evidence
	Paces             map[string]float64 // of the old version, by route
	Longest           time.Duration
	Blocking, Streams int
}

// Report returns what the others are told.
func (s *Service) Report(now time.Duration, blocking, streams int) Report {
	r := Report{Service: s.name, Order: s.order, Age: s.Age(now), Informed: s.informed, Blocking: blocking, Streams: streams, Longest: s.longest, Paces: map[string]float64{}}
	if s.order.Target != "" {
		r.Records = append(r.Records, s.record())
	}
	for _, target := range slices.Sorted(maps.Keys(s.records)) {
		if known := s.records[target]; target != s.order.Target && known.Phase.Decided() {
			r.Records = append(r.Records, known)
		}
	}
	if s.record().Phase.Decided() {
		return r
	}
	r.Evidence = maps.Clone(s.own)
	for route, p := range s.paces {
		if recent := p.median(now, recentTime); recent > 0 {
			r.Paces[route] = recent
		}
	}
	return r
}

// Receive takes over another entry's report.
func (s *Service) Receive(now time.Duration, entry, incarnation string, r Report) {
	if r.Order.Target != "" {
		s.Observe(r.Order, max(now-r.Age, 0), true)
	}
	for _, each := range r.Records {
		if each.Phase == Completed && !each.Written {
			continue // only the store decides that
		}
		s.merge(each)
	}
	if r.Order.Target == "" || r.Order.Target != s.order.Target {
		return
	}
	s.learnAge(now, r.Age)
	if len(r.Records) == 0 || r.Records[0].Target != s.order.Target || r.Records[0].Generation != s.record().Generation {
		return
	}
	s.informed = s.informed || r.Informed
	from := source{entry: entry, incarnation: incarnation}
	s.peers[from] = MergeEvidence(s.peers[from], r.Evidence)
	s.peerTotal = Pair{}
	for _, e := range s.peers {
		t := e.total()
		s.peerTotal = Pair{Old: s.peerTotal.Old.plus(t.Old), New: s.peerTotal.New.plus(t.New)}
	}
	s.latest[entry] = peerState{target: r.Order.Target, generation: r.Records[0].Generation, phase: r.Records[0].Phase, blocking: r.Blocking, stream: r.Streams}
	s.longest = max(s.longest, r.Longest)
	for route, value := range r.Paces {
		p := s.pace(route)
		p.peers, p.peersAt = value, now
	}
}

// learnAge takes over that another entry has known the order for longer. An entry that followed the
// orders when this one came knows about when that was.
func (s *Service) learnAge(now, age time.Duration) {
	if !s.late {
		age = min(age, s.Age(now)+ageTolerance)
		if age-s.Age(now) > ageTolerance/2 {
			return
		}
	}
	s.startedAt = min(s.startedAt, now-age)
}

func (s *Service) pace(route string) *pace {
	p := s.paces[route]
	if p == nil {
		p = &pace{}
		s.paces[route] = p
	}
	return p
}

// Description is the state of a roll-out, for operators.
type Description struct {
	Service, Target, Phase, Reason string
	Written                        bool
	Age, Duration                  time.Duration
	Old, New                       Counts
	Evidence                       Evidence // of all entries
	Own                            Pair     // of this entry
}

// Describe returns the state for operators.
func (s *Service) Describe(now time.Duration) Description {
	r, sum := s.record(), s.evidence()
	total := sum.total()
	return Description{
		Service: s.name, Target: s.order.Target, Phase: r.Phase.String(), Reason: r.Reason, Written: r.Written, Age: s.Age(now), Duration: s.order.Duration,
		Old: total.Old, New: total.New, Evidence: sum, Own: s.ownTotal,
	}
}
