package endpoint

import (
	"math"
	"sort"
)

func (m *Machine) drain(e Drain) {
	switch e.Action {
	case DrainStart:
		m.startDrain(e)
	case DrainRecall:
		m.draining = false
		m.forceDrainAt = 0
	case DrainForce:
		m.startDrain(Drain{})
		m.forceDrain()
	}
}

func (m *Machine) startDrain(e Drain) {
	if !m.draining {
		m.draining = true
		m.drainReported = false
	}
	if e.Timeout > 0 {
		m.forceDrainAt = m.now + e.Timeout
	}
	for _, w := range m.waitingByArrival() {
		m.answerWithoutGrant(w, Denied, "draining")
	}
}

// waitingByArrival returns the waiting reservations in the order of their arrival.
func (m *Machine) waitingByArrival() []*reservation {
	all := make([]*reservation, 0, len(m.waiting))
	for _, w := range m.waiting {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sequence < all[j].sequence })
	return all
}

// forceDrain voids the open grants and cancels the runs.
func (m *Machine) forceDrain() {
	for _, g := range m.openGrants() {
		m.voidGrant(g)
	}
	for _, r := range m.liveRuns() {
		m.cancel(r, "drain forced")
	}
}

func (m *Machine) reportDrained() {
	if !m.draining || m.drainReported || m.Busy() {
		return
	}
	m.drainReported = true
	m.emit(Drained{})
}

// Busy reports whether a grant is open or a run has not ended.
func (m *Machine) Busy() bool {
	return len(m.open) > 0 || len(m.live) > 0
}

// Waiting returns the number of waiting reservations.
func (m *Machine) Waiting() int {
	return len(m.waiting)
}

func (m *Machine) floor(e Floor) {
	if tier, found := m.lowerTierInService(e.Rank); found {
		m.emit(FloorRefused{Tier: tier})
		return
	}
	if m.floorRank == math.MaxInt || e.Rank < m.floorRank {
		m.floorRank = e.Rank
	}
	m.floorUntil = max(m.floorUntil, m.now+e.Duration)
	m.emit(FloorSet{})
}

// lowerTierInService returns a tier less urgent than a rank that holds a place by an
// open grant or a run, and whether there is one.
func (m *Machine) lowerTierInService(rank int) (string, bool) {
	for _, g := range m.openGrants() {
		if g.reservation.Rank > rank {
			return g.reservation.Tier, true
		}
	}
	for _, r := range m.liveRuns() {
		if r.rank > rank && r.holdsPlace {
			return r.tier, true
		}
	}
	return "", false
}
