package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// latestRefusal returns until when a request may wait: a refusal reaches its caller before that leaves.
func (s *Scheduler) latestRefusal(r *Request) time.Duration {
	return r.NextByteDeadline - s.cfg.RefuseMargin
}

// certainOutputShare is the part of the expected output that is taken for certain. Callers' estimates
// are often far off, so a request is not refused for the whole of it.
const certainOutputShare = 0.5

// latestStart returns until when a request may be started: at the fastest endpoint its first byte and
// its end can still come before the caller leaves.
func (s *Scheduler) latestStart(r *Request, p *pool) time.Duration {
	first, whole := s.shortestRun(r, p)
	return min(r.NextByteDeadline-first, r.Deadline-whole) - s.cfg.RefuseMargin
}

// shortestRun returns the least times to the first byte and to the end of the answer, at the fastest
// endpoint.
func (s *Scheduler) shortestRun(r *Request, p *pool) (first, whole time.Duration) {
	if !s.services[r.Service].Engine {
		served := time.Duration(p.serviceTime * float64(time.Second))
		return served, served
	}
	prefill := float64(r.PromptTokens)/max(p.bestPromptRate, 1) + p.bestEventInterval
	generation := certainOutputShare * float64(r.OutputTokens) * s.tokenInterval(r.Service, p.bestEventInterval)
	return time.Duration(prefill * float64(time.Second)), time.Duration((prefill + generation) * float64(time.Second))
}

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

// observeDecision records whether a request was placed or refused.
func (s *Scheduler) observeDecision(r *Request, placed bool) {
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

// sortQueue sorts a queue into the order in which its requests are started.
func (s *Scheduler) sortQueue(now time.Duration, queue []*Request, p *pool) {
	starts := make(map[uint64]time.Duration, len(queue))
	for _, r := range queue {
		starts[r.ID] = s.latestStart(r, p)
	}
	slices.SortStableFunc(queue, func(a, b *Request) int {
		return cmp.Or(
			compareBool(b.StreamStarted, a.StreamStarted),
			compareBool(s.isStarving(b), s.isStarving(a)),
			cmp.Compare(a.AccountPriority, b.AccountPriority),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(starts[a.ID], starts[b.ID]),
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

// urgency returns a positive number by which waiting requests of several entries are compared, whose
// clocks differ. Higher goes first: by rank, then by the time left until the latest start.
func (s *Scheduler) urgency(now time.Duration, r *Request, p *pool) float64 {
	if r.StreamStarted {
		return math.MaxFloat64
	}
	left := max((s.latestStart(r, p) - now).Seconds(), 0)
	const ranks = (maxComparedPriority + 1) * (maxComparedPriority + 1)
	if s.isStarving(r) {
		return ranks + 1 + 1/(1+left)
	}
	rank := float64(clampPriority(r.AccountPriority)*(maxComparedPriority+1) + clampPriority(r.Priority))
	return ranks - rank + 1/(1+left)
}

func clampPriority(priority int) int {
	return min(max(priority, 0), maxComparedPriority)
}
