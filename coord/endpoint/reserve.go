package endpoint

import (
	"fmt"
	"math"
	"sort"
	"time"

	"primrosespoke.dev/coord/invariant"
)

func (m *Machine) reserve(e Reserve) {
	if m.waiting[e.Key] != nil {
		return
	}
	if id, known := m.history.answers[e.Key]; known {
		m.repeatAnswer(e.Key, id)
		return
	}
	r := m.newReservation(e)
	m.noteFirstTokenTarget(e.FirstTokenTarget)
	switch {
	case m.draining:
		m.answerWithoutGrant(r, Denied, "draining")
	case m.unreachable:
		m.answerWithoutGrant(r, Denied, "endpoint unreachable")
	case e.TimeLeft <= 0:
		m.answerWithoutGrant(r, Expired, "deadline passed")
	case m.cfg.MaxWaiting > 0 && len(m.waiting) >= m.cfg.MaxWaiting && !m.displaceFor(r):
		m.answerWithoutGrant(r, Denied, "overloaded")
	default:
		m.waiting[e.Key] = r
		m.nextExpiry = min(m.nextExpiry, r.expires)
	}
}

// setReachable denies all waiting reservations when the endpoint is unreachable.
func (m *Machine) setReachable(e SetReachable) {
	m.unreachable = !e.Reachable
	if e.Reachable {
		return
	}
	for _, w := range m.waitingByArrival() {
		m.answerWithoutGrant(w, Denied, "endpoint unreachable")
	}
}

func (m *Machine) newReservation(e Reserve) *reservation {
	if e.Weight <= 0 {
		e.Weight = 1
	}
	m.sequence++
	expires := m.now + e.TimeLeft
	due := m.now + time.Duration(m.cfg.Stretch*float64(e.Cost))
	return &reservation{
		Reserve: e, sequence: m.sequence, arrived: m.now, expires: expires, due: min(due, expires),
	}
}

// repeatAnswer answers a retransmitted Reserve: with the grant if that is still open.
func (m *Machine) repeatAnswer(key ReservationKey, id GrantID) {
	if g := m.open[id]; g != nil {
		m.emit(Answer{Key: key, Verdict: Granted, Grant: g.id, Lease: g.expires - m.now})
		return
	}
	m.emit(Answer{Key: key, Verdict: Released, Reason: "already answered"})
}

// answerWithoutGrant ends a reservation without giving it a grant.
func (m *Machine) answerWithoutGrant(r *reservation, verdict Verdict, reason string) {
	delete(m.waiting, r.Key)
	m.history.recordAnswer(r.Key, "", m.now+m.cfg.RecordRetention)
	m.emit(Answer{Key: r.Key, Verdict: verdict, Reason: reason})
}

// displaceFor ends the waiting reservation that is last in order, to make room for
// a new one. It returns false when the new one itself would be last.
func (m *Machine) displaceFor(r *reservation) bool {
	last := r
	for _, w := range m.waiting {
		if m.before(last, w) {
			last = w
		}
	}
	if last == r {
		return false
	}
	m.answerWithoutGrant(last, Displaced, "displaced by "+r.Tier)
	return true
}

func (m *Machine) release(e Release) {
	if r := m.waiting[e.Key]; r != nil {
		m.answerWithoutGrant(r, Released, "")
		return
	}
	id, known := m.history.answers[e.Key]
	if !known {
		// The Reserve may arrive later; the record keeps it from being granted then.
		m.history.recordAnswer(e.Key, "", m.now+m.cfg.RecordRetention)
		return
	}
	if g := m.open[id]; g != nil {
		m.voidGrant(g)
	}
}

// before reports whether a is granted before b. The order is by rank, then those that can
// end by their deadline before those that can't, then by the account's virtual time, then
// by due time and arrival.
func (m *Machine) before(a, b *reservation) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if x, y := m.endsTooLate(a), m.endsTooLate(b); x != y {
		return y
	}
	if x, y := m.virtualTimes.startOf(a), m.virtualTimes.startOf(b); x != y {
		return x < y
	}
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// endsTooLate reports whether the run is not expected to end by the caller's deadline. A caller
// that has waited longer than its tier's target is served like the others of its tier.
func (m *Machine) endsTooLate(r *reservation) bool {
	return m.now+r.Cost > r.expires
}

// nextReservation returns the first reservation in order that the floor allows, or nil.
func (m *Machine) nextReservation() *reservation {
	var best *reservation
	for _, w := range m.waiting {
		if w.Rank > m.floorRank {
			continue
		}
		if best == nil || m.before(w, best) {
			best = w
		}
	}
	return best
}

// assignPlaces gives free places to suspended runs and waiting reservations, the most urgent
// first. Of equal rank, a suspended run goes first. While the first reservation exceeds
// the prefill budget, nothing gets a place.
func (m *Machine) assignPlaces() {
	for held := m.HeldPlaces(); held < m.places; held++ {
		next, resumable := m.nextReservation(), m.nextToResume()
		if next != nil && m.exceedsPrefillBudget(next) {
			return
		}
		switch {
		case resumable != nil && (next == nil || resumable.rank <= next.Rank):
			m.resume(resumable)
		case next != nil:
			m.grantPlace(next)
		default:
			return
		}
	}
}

func (m *Machine) grantPlace(r *reservation) {
	invariant.Check(!m.draining && !m.unreachable, "endpoint/no-grant-in-drain", "reservation %v", r.Key)
	for _, w := range m.waiting {
		allowed := w.Rank <= m.floorRank
		invariant.Check(!allowed || w.Rank >= r.Rank, "endpoint/rank-order", "reservation %v granted before more urgent %v", r.Key, w.Key)
	}
	m.sequence++
	id := GrantID(fmt.Sprintf("%s-%d", m.cfg.Incarnation, m.sequence))
	m.virtualTimes.charge(r)
	delete(m.waiting, r.Key)
	m.open[id] = &grant{id: id, reservation: r, expires: m.now + m.cfg.GrantLease}
	m.history.recordAnswer(r.Key, id, m.now+m.cfg.RecordRetention)
	invariant.Check(m.HeldPlaces() <= m.places, "endpoint/places", "%d of %d places held", m.HeldPlaces(), m.places)
	m.emit(Answer{Key: r.Key, Verdict: Granted, Grant: id, Lease: m.cfg.GrantLease})
}

// voidGrant ends an unused grant; no run will start under it.
func (m *Machine) voidGrant(g *grant) {
	delete(m.open, g.id)
	m.history.recordVoid(g, m.now+m.cfg.RecordRetention)
	m.virtualTimes.refund(g.reservation)
}

func (m *Machine) expireReservations() {
	if m.now < m.nextExpiry {
		return
	}
	m.nextExpiry = math.MaxInt64
	var expired []*reservation
	for _, w := range m.waiting {
		if m.now >= w.expires {
			expired = append(expired, w)
		} else {
			m.nextExpiry = min(m.nextExpiry, w.expires)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].sequence < expired[j].sequence })
	for _, w := range expired {
		m.answerWithoutGrant(w, Expired, "deadline passed")
	}
}

func (m *Machine) expireGrants() {
	for _, g := range m.openGrants() {
		if m.now >= g.expires {
			m.voidGrant(g)
		}
	}
}

// openGrants returns the open grants in the order in which their reservations arrived.
func (m *Machine) openGrants() []*grant {
	all := make([]*grant, 0, len(m.open))
	for _, g := range m.open {
		all = append(all, g)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].reservation.sequence < all[j].reservation.sequence })
	return all
}
