package endpoint

import (
	"math"
	"time"
)

// Status summarizes the state of a Machine.
type Status struct {
	// Incarnation is the incarnation of the agent.
	Incarnation string
	// Draining is set from the start of a drain until its recall.
	Draining bool
	// Unreachable is set while the endpoint accepts no requests.
	Unreachable bool
	// Places is the number of concurrent runs that the endpoint can carry.
	Places int
	// Held counts the places held by open grants and runs.
	Held int
	// Running counts the runs that have not ended and are not suspended.
	Running int
	// Suspended counts the suspended runs.
	Suspended int
	// Waiting counts the waiting reservations.
	Waiting int
	// Open counts the grants that can still be dispatched.
	Open int
	// Kept counts the ended runs whose answer is still readable.
	Kept int
	// Floor is the least urgent rank that may get a place; -1 = any.
	Floor int
}

// Status returns a summary of the state.
func (m *Machine) Status() Status {
	s := Status{
		Incarnation: m.cfg.Incarnation, Draining: m.draining, Unreachable: m.unreachable, Places: m.places,
		Held: m.HeldPlaces(), Running: len(m.live) - m.suspendedRuns, Suspended: m.suspendedRuns,
		Waiting: len(m.waiting), Open: len(m.open), Kept: len(m.ended), Floor: -1,
	}
	if m.floorRank != math.MaxInt {
		s.Floor = m.floorRank
	}
	return s
}

// NewestAttempt returns the last attempt started for a request ID and its state. The
// last result is false when none is known.
func (m *Machine) NewestAttempt(requestID string) (AttemptKey, State, bool) {
	newest := m.history.newestRuns[requestID]
	if newest == nil {
		return AttemptKey{}, StateUnknown, false
	}
	return newest.key, stateOf(newest), true
}

// EstimateWait estimates how long a new reservation of a rank would wait: the service
// time of the reservations and runs ahead of it, divided by the number of places.
func (m *Machine) EstimateWait(rank int) time.Duration {
	var work time.Duration
	for _, w := range m.waiting {
		if w.Rank <= rank {
			work += w.Cost
		}
	}
	for _, r := range m.live {
		if r.state != runSuspended && (r.rank <= rank || !r.preemptible) {
			work += r.remaining
		}
	}
	held := m.HeldPlaces()
	if held < m.places && len(m.waiting) == 0 {
		return 0
	}
	return work / time.Duration(m.places)
}
