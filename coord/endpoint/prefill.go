package endpoint

import "time"

// prefillBudgetDivisor sets the prefill budget: the shortest target for the time to the
// first token divided by this number. While prefill is pending, a further request is
// granted only if the sum of both stays within the budget.
const prefillBudgetDivisor = 4

// noteFirstTokenTarget records the shortest target for the time to the first token.
func (m *Machine) noteFirstTokenTarget(target time.Duration) {
	if target > 0 && (m.minFirstTokenTarget == 0 || target < m.minFirstTokenTarget) {
		m.minFirstTokenTarget = target
	}
}

// exceedsPrefillBudget reports whether a reservation must wait until the endpoint has
// computed prompts that it already has. The endpoint computes prompts in its own
// order, so that a short urgent one would wait there behind a long one.
func (m *Machine) exceedsPrefillBudget(r *reservation) bool {
	if m.minFirstTokenTarget == 0 {
		return false
	}
	pending := m.pendingPrefill()
	return pending > 0 && pending+r.Prefill > m.minFirstTokenTarget/prefillBudgetDivisor
}

// pendingPrefill returns the expected time left of the prefill of open grants and
// of runs without a first token.
func (m *Machine) pendingPrefill() time.Duration {
	var pending time.Duration
	for _, g := range m.open {
		pending += g.reservation.Prefill
	}
	for _, r := range m.live {
		if r.holdsPlace && r.prefill > 0 {
			pending += max(0, r.prefill-(m.now-r.started))
		}
	}
	return pending
}
