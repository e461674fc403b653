package endpoint

import "sort"

// preempt suspends runs of less urgent tiers for the reservations that found no
// place. Each suspension in progress will already free a place for one of them.
func (m *Machine) preempt() {
	if m.cfg.MaxSuspended == 0 || len(m.waiting) == 0 || m.HeldPlaces() < m.places {
		return
	}
	lowest := m.victim(-1)
	if lowest == nil {
		return
	}
	pending := m.pendingSuspensions()
	preemptors := m.preemptors(lowest.rank)
	for _, w := range preemptors[min(pending, len(preemptors)):] {
		victim := m.victim(w.Rank)
		if victim == nil || pending+m.suspendedRuns >= m.cfg.MaxSuspended {
			return
		}
		victim.state = runSuspending
		pending++
		m.emit(Suspend{Attempt: victim.key})
	}
}

// preemptors returns the reservations more urgent than a rank that have waited for
// Config.PreemptAfter, in the order in which they will be granted.
func (m *Machine) preemptors(rank int) []*reservation {
	var all []*reservation
	for _, w := range m.waiting {
		if w.Rank < rank && w.Rank <= m.floorRank && m.now >= w.arrived+m.cfg.PreemptAfter {
			all = append(all, w)
		}
	}
	sort.Slice(all, func(i, j int) bool { return m.before(all[i], all[j]) })
	return all
}

// pendingSuspensions returns the number of runs whose Suspend is not answered yet.
func (m *Machine) pendingSuspensions() int {
	n := 0
	for _, r := range m.live {
		n += boolToInt(r.state == runSuspending)
	}
	return n
}

// victim returns the run to suspend for a reservation of a rank, or nil: of the
// least urgent tier, the run with the smallest KV cache to move. Rank -1 is more
// urgent than every tier.
func (m *Machine) victim(rank int) *run {
	var victim *run
	for _, r := range m.live {
		if r.state != runRunning || !r.preemptible || r.rank <= rank {
			continue
		}
		if r.remaining < m.cfg.MinRemaining || m.now < r.noSuspendBefore {
			continue
		}
		if victim == nil || r.cheaperToSuspend(victim) {
			victim = r
		}
	}
	return victim
}

// cheaperToSuspend reports whether r is suspended rather than another run: it is of a
// less urgent tier, or of the same tier with a smaller KV cache.
func (r *run) cheaperToSuspend(other *run) bool {
	if r.rank != other.rank {
		return r.rank > other.rank
	}
	if r.contextTokens != other.contextTokens {
		return r.contextTokens < other.contextTokens
	}
	return r.sequence < other.sequence
}

func (m *Machine) suspended(e Suspended) {
	r := m.live[e.Attempt]
	if r == nil || r.state != runSuspending {
		return
	}
	if !e.OK {
		r.state = runRunning
		r.noSuspendBefore = m.now + suspendRetryDelay
		if e.Unsupported {
			m.cfg.MaxSuspended = 0
		}
		return
	}
	r.state = runSuspended
	r.holdsPlace = false
	m.holdingRuns--
	m.suspendedRuns++
}

// nextToResume returns the suspended run to resume first, or nil if none may be resumed.
func (m *Machine) nextToResume() *run {
	if m.suspendedRuns == 0 {
		return nil
	}
	var best *run
	for _, r := range m.liveRuns() {
		if r.state != runSuspended || r.rank > m.floorRank || m.now < r.noResumeBefore {
			continue
		}
		if best == nil || r.rank < best.rank {
			best = r
		}
	}
	return best
}

func (m *Machine) resume(r *run) {
	r.state = runResuming
	r.holdsPlace = true
	m.holdingRuns++
	m.suspendedRuns--
	m.emit(Resume{Attempt: r.key})
}

func (m *Machine) resumed(e Resumed) {
	r := m.live[e.Attempt]
	if r == nil || r.state != runResuming {
		return
	}
	if !e.OK {
		r.state = runSuspended
		r.holdsPlace = false
		m.holdingRuns--
		m.suspendedRuns++
		r.noResumeBefore = m.now + resumeRetryDelay
		return
	}
	r.state = runRunning
}
