package placement

import (
	"slices"
	"time"

	"primrosespoke.dev/coord/membership"
)

// filter returns the eligible agents of this entry's subset of the pool or, where there
// are none, of the next subset. Queries with a key see the whole pool, so that all
// entries agree on the order of agents for that key.
func (p *Placement) filter(now time.Duration, query Query) []membership.Instance {
	agents := p.ordered(query.Pool)
	if query.Key != "" {
		return p.eligible(now, agents, query.Exclude)
	}
	for len(agents) > 0 {
		size := min(p.config.SubsetSize, len(agents))
		if kept := p.eligible(now, agents[:size], query.Exclude); len(kept) > 0 {
			return kept
		}
		agents = agents[size:]
	}
	return nil
}

// eligible returns the agents that are live, not excluded by the query and not backed
// off.
func (p *Placement) eligible(now time.Duration, agents []membership.Instance, exclude []string) []membership.Instance {
	var kept []membership.Instance
	for _, i := range agents {
		if i.State != membership.StateLive || slices.Contains(exclude, i.Address) {
			continue
		}
		if a, ok := p.agents[i.Address]; ok && now < a.backoffUntil {
			continue
		}
		kept = append(kept, i)
	}
	return kept
}

// ordered returns the agents of a pool. Those of a large pool are in an order of this
// entry's own, so that the subsets of all entries spread over the pool.
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
