package scheduler

import (
	"time"

	"primrosespoke.dev/coord/load"
)

// Mode says for which services a decision applies.
type Mode int

// Modes of a decision.
const (
	// Auto applies the decision to services of which an endpoint has stated the pace of its machine.
	Auto Mode = iota
	// On applies it to all services.
	On
	// Off applies it to none.
	Off
)

// Statement is what an endpoint says of its own load in an answer. It counts the work of all callers.
type Statement = load.Statement

// Verdicts on a statement besides those of package load.
const (
	// StatementOff: statements of the service's endpoints are not used.
	StatementOff load.Verdict = "off"
	// StatementOutdated: it is of another incarnation, or the endpoint is not known any more.
	StatementOutdated load.Verdict = "outdated"
)

// StatementEffect is what became of a statement.
type StatementEffect struct {
	Verdict load.Verdict
	// Changed is set if the verdict on the endpoint's statements, or whether its machine counts as slow,
	// differs from before.
	Changed bool
	Slow    bool
	// Age is that of the statement used before; 0 = there was none.
	Age time.Duration
	// Factor is by how much work there takes longer than the learned speeds say, and Believed the
	// number of requests that the endpoint is believed to hold.
	Factor   float64
	Believed int
}

// arrivalTime is after what time a request counts as having reached its endpoint: a way between
// failure domains.
const arrivalTime = 5 * time.Millisecond

// ObserveStatement records what an endpoint stated in an answer. born is the incarnation that the
// request was sent to.
func (s *Scheduler) ObserveStatement(now time.Duration, id string, born int64, st Statement) StatementEffect {
	e := s.endpoints[id]
	if e == nil || e.Born != born {
		return StatementEffect{Verdict: StatementOutdated}
	}
	e.statesPace = e.statesPace || st.HasPace
	own := load.Own{}
	for _, r := range e.runs {
		if now >= r.sentAt+arrivalTime {
			own.Sent++
		}
		if r.firstEventSeen {
			own.Answering++
		}
	}
	effect := StatementEffect{}
	if _, at, known := e.stated.Last(); known {
		effect.Age = now - at
	}
	effect.Verdict = e.stated.Observe(now, st, own, s.peers.loads[e.ID].Running, s.slotsOf(e))
	if !s.enabled(s.cfg.StatedLoad, e.Service) {
		return StatementEffect{Verdict: StatementOff}
	}
	effect.Slow, effect.Factor, effect.Believed = e.stated.Slow(now), e.stated.Factor(now), s.believedRunning(now, e)
	effect.Changed = effect.Verdict != e.verdict && (e.verdict != "" || effect.Verdict != load.Used) || effect.Slow != e.slow
	e.verdict, e.slow = effect.Verdict, effect.Slow
	return effect
}

// slotsOf returns how many requests an endpoint runs at once.
func (s *Scheduler) slotsOf(e *endpoint) int {
	if e.Slots > 0 {
		return e.Slots
	}
	return max(s.services[e.Service].Slots, 1)
}

// believedRunning returns how many requests an endpoint is believed to hold, where statements are used.
func (s *Scheduler) believedRunning(now time.Duration, e *endpoint) int {
	return s.believedBeside(now, e, s.peers.loads[e.ID].Running)
}

// believedBeside returns the same, given how many requests the other entries report.
func (s *Scheduler) believedBeside(now time.Duration, e *endpoint, reported int) int {
	return len(e.runs) + e.stated.Others(now, reported, s.slotsOf(e), s.peers.meanAge(now), len(s.peers.reports) > 0)
}

// slowdown returns by how much work at an endpoint takes longer now than the learned speeds say.
func (s *Scheduler) slowdown(now time.Duration, e *endpoint) float64 {
	if !s.enabled(s.cfg.StatedLoad, e.Service) {
		return 1
	}
	return e.stated.Factor(now)
}

// enabled reports whether a decision with the given mode applies to a service.
func (s *Scheduler) enabled(m Mode, service string) bool {
	switch m {
	case On:
		return true
	case Off:
		return false
	}
	for _, e := range s.endpointsOf(service) {
		if e.statesPace {
			return true
		}
	}
	return false
}
