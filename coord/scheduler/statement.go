package scheduler

import "time"

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
type Statement struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the endpoint's machine now, relative to the usual time, if HasPace.
	Pace    float64
	HasPace bool
}

// ObserveStatement records what an endpoint stated in an answer. born is the incarnation that the
// request was sent to.
func (s *Scheduler) ObserveStatement(now time.Duration, id string, born int64, st Statement) {
	e := s.endpoints[id]
	if e == nil || e.Born != born {
		return
	}
	e.statement, e.statedAt = st, now
	e.statesPace = e.statesPace || st.HasPace
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
