package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rank is what requests of a service are ordered by first.
type rank struct {
	service                   string
	accountPriority, priority int
}

func rankOf(r *Request) rank {
	return rank{service: r.Service, accountPriority: r.AccountPriority, priority: r.Priority}
}

const (
	// minRankShare is the least share of a rank's requests that is placed, relative to that of
	// all requests of the service. Below a quarter the users count a kind of request or an account
	// as starved; some of the requests that are placed fail.
	minRankShare = 1.0 / 3
	// placedShareGain is the weight of a new decision in the shares of placed requests.
	placedShareGain = 0.02
)

// observeRank records whether a request of a rank was placed or refused.
func (s *Scheduler) observeRank(r *Request, placed bool) {
	sample := 0.0
	if placed {
		sample = 1
	}
	observe := func(known float64, ok bool) float64 {
		if !ok {
			known = 1
		}
		return known + placedShareGain*(sample-known)
	}
	ofRank, ok := s.placedShares[rankOf(r)]
	s.placedShares[rankOf(r)] = observe(ofRank, ok)
	ofAll, ok := s.placedShareOfAll[r.Service]
	s.placedShareOfAll[r.Service] = observe(ofAll, ok)
}

// isStarving reports whether so few requests of a rank are placed that it goes before others.
func (s *Scheduler) isStarving(r *Request) bool {
	ofRank, ok := s.placedShares[rankOf(r)]
	return ok && ofRank < minRankShare*s.placedShareOfAll[r.Service]
}

// sortQueue sorts a queue into the order in which its requests are started: by rank, then by value
// per slot-second, highest first.
func (s *Scheduler) sortQueue(now time.Duration, queue []*Request, p *pool) {
	keys := make(map[uint64]float64, len(queue))
	for _, r := range queue {
		keys[r.ID] = s.valueDensity(now, r, p)
	}
	slices.SortStableFunc(queue, func(a, b *Request) int {
		return cmp.Or(
			compareBool(b.StreamStarted, a.StreamStarted),
			compareBool(s.isStarving(b), s.isStarving(a)),
			cmp.Compare(a.AccountPriority, b.AccountPriority),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(keys[b.ID], keys[a.ID]),
			cmp.Compare(a.Arrived, b.Arrived),
		)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// maxComparedPriority is the priority from which on those of two entries' requests count as equal.
const maxComparedPriority = 31

// urgency returns a positive number by which waiting requests of several entries are compared.
// Higher goes first: by rank, then by value per slot-second.
func (s *Scheduler) urgency(now time.Duration, r *Request, p *pool) float64 {
	value := s.valueDensity(now, r, p)
	if r.StreamStarted {
		return math.MaxFloat64
	}
	const ranks = (maxComparedPriority + 1) * (maxComparedPriority + 1)
	if s.isStarving(r) {
		return ranks + 1 + value/(1+value)
	}
	rank := float64(clampPriority(r.AccountPriority)*(maxComparedPriority+1) + clampPriority(r.Priority))
	return ranks - rank + value/(1+value)
}

func clampPriority(priority int) int {
	return min(max(priority, 0), maxComparedPriority)
}
