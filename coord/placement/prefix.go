package placement

import "slices"

const agentsPerPrefix = 4 // how many of the newest agents are remembered for one prefix

// prefixIndex remembers, for a bounded number of prompt prefixes, which agents computed
// them last. The oldest prefixes are dropped first.
type prefixIndex struct {
	limit  int
	agents map[uint64][]string // by prefix hash, the newest agent last
	order  []uint64            // prefix hashes, the oldest first
}

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{limit: limit, agents: map[uint64][]string{}}
}

// add records that an agent computed some prefixes, and drops the oldest prefixes beyond
// the limit.
func (x *prefixIndex) add(agent string, prefixes []uint64) {
	for _, prefix := range prefixes {
		known, ok := x.agents[prefix]
		if !ok {
			x.order = append(x.order, prefix)
		}
		known = slices.DeleteFunc(known, func(a string) bool { return a == agent })
		known = append(known, agent)
		if len(known) > agentsPerPrefix {
			known = known[1:]
		}
		x.agents[prefix] = known
	}
	for len(x.agents) > x.limit {
		delete(x.agents, x.order[0])
		x.order = x.order[1:]
	}
}

// cachedShare returns the fraction of a prompt, from 0 to 1, that is covered by the
// longest prefix recorded for the agent.
func (x *prefixIndex) cachedShare(agent string, prefixes []uint64) float64 {
	for n := len(prefixes); n > 0; n-- {
		if slices.Contains(x.agents[prefixes[n-1]], agent) {
			return float64(n) / float64(len(prefixes))
		}
	}
	return 0
}
