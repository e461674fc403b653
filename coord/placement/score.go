package placement

import (
	"math"
	"time"

	"primrosespoke.dev/coord/membership"
)

const (
	defaultPrefillPerSecond = 4000.0 // tokens per second; used until an agent reports its own
	defaultTokensPerSecond  = 40.0   // tokens per second; used until an agent reports its own
	defaultServiceTime      = 0.05   // seconds of one run, for the wait behind this entry's own reservations
	jitter                  = 0.02   // fraction of a score, so that agents with equal scores share the load
	minJitter               = 0.0005 // seconds
)

// score estimates the cost, in seconds, of placing a request at an agent.
func (p *Placement) score(now time.Duration, i membership.Instance, query Query) float64 {
	a, ok := p.agents[i.Address]
	if !ok {
		a = &agentState{}
	}
	cost := p.waitCost(now, a) + p.workCost(a, i.Address, query)
	if i.FailureDomain != p.config.FailureDomain {
		cost += p.config.DomainCost.Seconds()
	}
	return cost + p.rng.Float64()*(cost*jitter+minJitter)
}

// waitCost returns the reported backlog, decayed by its age, plus the wait behind this
// entry's own reservations, which the report may not contain yet.
func (p *Placement) waitCost(now time.Duration, a *agentState) float64 {
	if !a.hasStatus {
		return float64(a.reserved) * defaultServiceTime
	}
	age := (now - a.reportedAt).Seconds()
	decay := math.Pow(0.5, age/p.config.StatusHalfLife.Seconds())
	return a.status.Backlog.Seconds()*decay + p.ownReservationWait(a)
}

// ownReservationWait estimates the wait behind this entry's own reservations at an agent,
// beyond its free places.
func (p *Placement) ownReservationWait(a *agentState) float64 {
	free := a.status.Places - a.status.Running
	if a.reserved < free {
		return 0
	}
	return float64(a.reserved-max(free, 0)+1) * defaultServiceTime
}

// workCost returns the time of the prefill that the agent's cache is not expected to
// hold, plus that of the generation.
func (p *Placement) workCost(a *agentState, address string, query Query) float64 {
	prefill := a.status.PrefillPerSecond
	if prefill <= 0 {
		prefill = defaultPrefillPerSecond
	}
	tokens := a.status.TokensPerSecond
	if tokens <= 0 {
		tokens = defaultTokensPerSecond
	}
	missing := float64(query.PromptTokens) * (1 - p.prefixes.cachedShare(address, query.Prefixes))
	return missing/prefill + float64(query.MaxTokens)/tokens
}
