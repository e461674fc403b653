package scheduler

import (
	"hash/fnv"
	"io"
)

const (
	// homeEntries is the least number of entries that an endpoint is home to, so that
	// its slots are used though one entry has nothing to send.
	homeEntries = 5
	// homeEndpoints is how many endpoints of a service an entry is at home at, on
	// average, so that it has a choice among unlike ones.
	homeEndpoints = 9
	// awayCost is the cost, in seconds, of an endpoint at which an entry is not at home.
	awayCost = 0.6
)

// SetEntries names the entries, this one and the others. With many of them each is
// at home at a part of the endpoints and goes elsewhere only where that is much better.
//
// Entries that all see the same endpoint as the best, by reports that are older
// than the time in which a prompt is read, send their prompts there together. Few
// entries at an endpoint meet seldom. Views of the entries that differ cost time and
// break nothing.
func (s *Scheduler) SetEntries(self string, others []string) {
	s.self, s.others = self, others
	s.byService = nil
}

// settle works out at which endpoints of one service this entry is at home.
func (s *Scheduler) settle(list []*endpoint) {
	entries := len(s.others) + 1
	most := max(homeEntries, (homeEndpoints*entries+len(list)-1)/max(len(list), 1))
	for _, e := range list {
		e.away = entries > most && s.rank(e.ID) >= most
	}
}

// rank counts the entries that go before this one at an endpoint, by rendezvous hashing.
func (s *Scheduler) rank(endpointID string) int {
	own, before := affinity(s.self, endpointID), 0
	for _, name := range s.others {
		if affinity(name, endpointID) > own {
			before++
		}
	}
	return before
}

func affinity(entry, endpointID string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, endpointID+"/"+entry) // a hash takes all bytes
	return mixed(h.Sum64())
}

// mixed spreads a hash of similar names over all bits.
func mixed(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
