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
// see the same endpoint as the best, and send their prompts there together. A
// group is small, so its entries can report to each other often. Entries with
// different views of the membership lose time but no correctness.
func (s *Scheduler) SetEntries(self string, others []string) {
	s.self, s.entries = self, sortByHash(append(slices.Clone(others), self))
	s.byService = nil
}

// Group returns the names of the other entries in this entry's group; all others if
// there is only one group.
func (s *Scheduler) Group() []string {
	groups := groupCount(len(s.entries))
	own := groupIndex(slices.Index(s.entries, s.self), len(s.entries), groups)
	var names []string
	for i, name := range s.entries {
		if name != s.self && groupIndex(i, len(s.entries), groups) == own {
			names = append(names, name)
		}
	}
	return names
}

// assignToGroups marks the endpoints of one service that do not belong to this entry's
// group.
func (s *Scheduler) assignToGroups(list []*endpoint) {
	groups := groupCount(len(s.entries))
	undivided := groups == 1 || len(list) < groups*minGroupEndpoints
	ids := make([]string, len(list))
	for i, e := range list {
		ids[i] = e.ID
	}
	ids = sortByHash(ids)
	own := groupIndex(slices.Index(s.entries, s.self), len(s.entries), groups)
	for _, e := range list {
		e.outsideGroup = !undivided && groupIndex(slices.Index(ids, e.ID), len(ids), groups) != own
	}
}

func groupCount(entries int) int {
	return max(entries/minGroupEntries, 1)
}

// groupIndex returns the group of the item at a position, so that count items form groups of even size.
func groupIndex(position, count, groups int) int {
	return position * groups / max(count, 1)
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
	x := h.Sum64()
	// FNV hashes of names with the same ending differ in few bits only.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
