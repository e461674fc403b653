package placement

import (
	"math"
	"time"

	"primrosespoke.dev/coord/membership"
)

const (
	defaultPrefillPerSecond = 4000.0 // tokens; until an agent reports its own
	defaultTokensPerSecond  = 40.0
	defaultServiceTime      = 0.05 // seconds of one run, for waits behind own reservations
	jitter                  = 0.02 // of a score, so that equal agents share the load
	minimumJitter           = 0.0005
)

// score estimates the cost in seconds of placing a request at an agent.
func (p *Placement) score(now time.Duration, i membership.Instance, ask Query) float64 {
	a, ok := p.agents[i.Address]
	if !ok {
		a = &agentState{}
	}
	cost := p.waitCost(now, a) + p.workCost(a, i.Address, ask)
	if i.FailureDomain != p.config.FailureDomain {
		cost += p.config.DomainCost.Seconds()
	}
	return cost + p.rng.Float64()*(cost*jitter+minimumJitter)
}

// waitCost is the reported backlog, faded by its age, and the wait behind this
// entry's own reservations that the report may not hold yet.
func (p *Placement) waitCost(now time.Duration, a *agentState) float64 {
	if !a.known {
		return float64(a.reserved) * defaultServiceTime
	}
	age := (now - a.learned).Seconds()
	fade := math.Pow(0.5, age/p.config.StatusHalfLife.Seconds())
	return a.status.Backlog.Seconds()*fade + p.ownWait(a)
}

func (p *Placement) ownWait(a *agentState) float64 {
	free := a.status.Places - a.status.Running
	if a.reserved < free {
		return 0
	}
	return float64(a.reserved-max(free, 0)+1) * defaultServiceTime
}

// workCost is the prefill that the agent's cache is not expected to hold, and
// the generation.
func (p *Placement) workCost(a *agentState, address string, ask Query) float64 {
	prefill := a.status.PrefillPerSecond
	if prefill <= 0 {
		prefill = defaultPrefillPerSecond
	}
	tokens := a.status.TokensPerSecond
	if tokens <= 0 {
		tokens = defaultTokensPerSecond
	}
	missing := float64(ask.PromptTokens) * (1 - p.prefixes.held(address, ask.Prefixes))
	return missing/prefill + float64(ask.MaxTokens)/tokens
}
