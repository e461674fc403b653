package placement

import (
	"slices"
	"time"

	"primrosespoke.dev/coord/membership"
)

// filter returns the agents that may be asked: those of this entry's subset of
// the pool, and where none of it is eligible, of the next subset. Keyed requests
// see the whole pool, so that all entries agree on the order of agents for a key.
func (p *Placement) filter(now time.Duration, ask Query) []membership.Instance {
	agents := p.ordered(ask.Pool)
	if ask.Key != "" {
		return p.eligible(now, agents, ask.Exclude)
	}
	for len(agents) > 0 {
		size := min(p.config.SubsetSize, len(agents))
		if kept := p.eligible(now, agents[:size], ask.Exclude); len(kept) > 0 {
			return kept
		}
		agents = agents[size:]
	}
	return nil
}

// eligible returns those agents that are live, not excluded and not left out.
func (p *Placement) eligible(now time.Duration, agents []membership.Instance, exclude []string) []membership.Instance {
	var kept []membership.Instance
	for _, i := range agents {
		if i.State != membership.StateLive || slices.Contains(exclude, i.Address) {
			continue
		}
		if a, ok := p.agents[i.Address]; ok && now < a.leftOut {
			continue
		}
		kept = append(kept, i)
	}
	return kept
}

// ordered returns the agents of a pool in this entry's own order, so that the
// entries of a large pool spread over it.
func (p *Placement) ordered(pool string) []membership.Instance {
	if known, ok := p.pools[pool]; ok {
		return known
	}
	agents := p.view.Agents(pool)
	if len(agents) > p.config.SubsetSize {
		agents = membership.Rendezvous(p.config.Self, agents)
	}
	p.pools[pool] = agents
	return agents
}
