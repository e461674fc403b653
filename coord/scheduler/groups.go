package scheduler

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
)

const (
	// minGroupEntries is the minimum number of entries in a group, so that the group's
	// endpoints are used even if one of its entries has nothing to send.
	minGroupEntries = 5
	// minGroupEndpoints is the minimum number of endpoints in a group, so that an entry
	// can choose among endpoints that differ.
	minGroupEndpoints = 8
	// outsideGroupCost is the additional cost, in seconds, of an endpoint outside the entry's group.
	outsideGroupCost = 0.6
)

// SetEntries sets the name of this entry and of the others. If there are many, they are
// divided into groups, and so are the endpoints of each service. An entry prefers the
// endpoints of its group and uses others only where these are much better.
//
// Without groups, entries that act on reports older than the time of a prefill all
// see the same endpoint as the best, ask for its places or send their prompts there together.
// Entries with different views of the membership lose time but no correctness.
func (s *Scheduler) SetEntries(self string, others []string) {
	s.self, s.entries = self, sortByHash(append(slices.Clone(others), self))
	s.peers.setSelf(self)
	s.byService = nil
}

// Group returns the names of the other entries in this entry's group; all others if
// there is only one group. Where the own failure domain is preferred, a group is a domain, or a
// part of a large one.
func (s *Scheduler) Group() []string {
	if s.PrefersDomain() {
		return s.domainGroup()
	}
	group := assignGroups(s.entries, groupCount(len(s.entries)))
	var names []string
	for _, name := range s.entries {
		if name != s.self && group[name] == group[s.self] {
			names = append(names, name)
		}
	}
	return names
}

// assignToGroups marks the endpoints of one service that do not belong to this entry's
// group. Where there are too few for all groups, the entries form fewer and larger ones for it.
func (s *Scheduler) assignToGroups(service string, list []*endpoint) {
	groups := groupCount(len(s.entries))
	parts := min(groups, max(len(list)/minGroupEndpoints, 1))
	own := assignGroups(s.entries, parts)[s.self]
	ids := make([]string, len(list))
	for i, e := range list {
		ids[i] = e.ID
	}
	part := s.partsOf(service, ids, parts)
	for _, e := range list {
		e.outsideGroup = parts > 1 && part[e.ID] != own
	}
}

// endpointParts is how the endpoints of a service were divided.
type endpointParts struct {
	ids   []string
	parts int
	part  map[string]int
}

// partsOf divides endpoints into parts. It keeps the result, since lists change more often than
// the endpoints on them.
func (s *Scheduler) partsOf(service string, ids []string, parts int) map[string]int {
	if known, ok := s.parts[service]; ok && known.parts == parts && slices.Equal(known.ids, ids) {
		return known.part
	}
	s.parts[service] = endpointParts{ids: ids, parts: parts, part: assignGroups(slices.Clone(ids), parts)}
	return s.parts[service].part
}

func groupCount(entries int) int {
	return max(entries/minGroupEntries, 1)
}

// assignGroups divides names into groups of even size: each has as many as any other, or one
// more. Rendezvous hashing chooses among the groups that have room, so that one name or one group
// that comes or goes moves few names.
func assignGroups(names []string, groups int) map[string]int {
	assigned := make(map[string]int, len(names))
	if groups <= 1 {
		return assigned
	}
	least, larger := len(names)/groups, len(names)%groups
	sizes := make([]int, groups)
	for _, name := range sortByHash(names) {
		hash := hashName(name)
		best, bestScore := -1, uint64(0)
		for g := range groups {
			if sizes[g] > least || sizes[g] == least && larger == 0 {
				continue
			}
			if score := mix(hash ^ mix(uint64(g)+1)); best < 0 || score > bestScore {
				best, bestScore = g, score
			}
		}
		if sizes[best] == least {
			larger--
		}
		sizes[best]++
		assigned[name] = best
	}
	return assigned
}

// sortByHash sorts names by their hashes, so that neighbours in the order have nothing in
// common, and an added or removed name shifts the others by one position at most.
func sortByHash(names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashName(a), hashName(b)), cmp.Compare(a, b))
	})
	return names
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // writing to a hash never fails
	return mix(h.Sum64())
}

// mix spreads the bits of a hash: FNV hashes of names with the same ending differ in few bits only.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
