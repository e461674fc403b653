package scheduler

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
)

const (
	// groupEntries is the least number of entries in a group, so that its endpoints are
	// used though one entry has nothing to send.
	groupEntries = 5
	// groupEndpoints is the least number of endpoints in a group, so that an entry has a
	// choice among unlike ones.
	groupEndpoints = 8
	// awayCost is the cost, in seconds, of an endpoint at which an entry is not at home.
	awayCost = 0.6
)

// SetEntries names the entries, this one and the others. Many of them form groups;
// each is at home at its group's part of the endpoints, and goes elsewhere only where
// that is much better.
//
// Entries that all see the same endpoint as the best, by reports that are older
// than the time in which a prompt is read, send their prompts there together. In a
// group reports can be frequent, since it is small. Views of the entries that differ
// cost time and break nothing.
func (s *Scheduler) SetEntries(self string, others []string) {
	s.self, s.entries = self, inHashOrder(append(slices.Clone(others), self))
	s.byService = nil
}

// Group returns the names of the other entries of this one's group; all of them where
// there is one group only.
func (s *Scheduler) Group() []string {
	groups := groupsOf(len(s.entries))
	own := groupOf(slices.Index(s.entries, s.self), len(s.entries), groups)
	var names []string
	for i, name := range s.entries {
		if name != s.self && groupOf(i, len(s.entries), groups) == own {
			names = append(names, name)
		}
	}
	return names
}

// settle works out at which endpoints of one service this entry is at home.
func (s *Scheduler) settle(list []*endpoint) {
	groups := groupsOf(len(s.entries))
	single := groups == 1 || len(list) < groups*groupEndpoints
	ids := make([]string, len(list))
	for i, e := range list {
		ids[i] = e.ID
	}
	ids = inHashOrder(ids)
	own := groupOf(slices.Index(s.entries, s.self), len(s.entries), groups)
	for _, e := range list {
		e.away = !single && groupOf(slices.Index(ids, e.ID), len(ids), groups) != own
	}
}

func groupsOf(entries int) int {
	return max(entries/groupEntries, 1)
}

// groupOf deals count things in their order to groups of even size.
func groupOf(position, count, groups int) int {
	return position * groups / max(count, 1)
}

// inHashOrder sorts names by their hashes, so that neighbours have nothing in common
// and a name that comes or goes moves the others by one place at most.
func inHashOrder(names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashed(a), hashed(b)), cmp.Compare(a, b))
	})
	return names
}

func hashed(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // a hash takes all bytes
	x := h.Sum64()
	// Hashes of names that end alike differ in few bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
