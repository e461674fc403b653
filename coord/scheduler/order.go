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

// firstEventMargin is the multiple of the expected time to the first event after which it has mostly
// come.
const firstEventMargin = 1.5

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

// canAnswer reports whether an endpoint can answer a request before its caller leaves. While another
// one can, work that would be thrown away is not begun.
func (s *Scheduler) canAnswer(now time.Duration, r *Request, c *candidate) bool {
	if !s.services[r.Service].Engine {
		return true
	}
	interval := c.leastEventInterval()
	first := now.Seconds() + firstEventMargin*c.firstEvent(r)*interval/c.eventInterval
	generation := certainOutputShare * float64(r.OutputTokens) * s.tokenInterval(r.Service, interval)
	margin := s.cfg.RefuseMargin.Seconds()
	return first <= r.NextByteDeadline.Seconds()-margin && first+generation <= r.Deadline.Seconds()-margin
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
	if state := s.sharings[r.Service]; state != nil {
		state.ledger.Decided(r.Account, placed)
	}
}

// isStarving reports whether so few requests of a rank are placed that it goes before others.
func (s *Scheduler) isStarving(r *Request) bool {
	ofRank, ok := s.placedShares[rankOf(r)]
	return ok && ofRank < minRankShare*s.placedShareOfAll[r.Service]
}

// leastWorkTurn is in how many starts of equal rank one goes to the request with the least work. Fewer
// would leave callers unanswered who need little; more would starve those who need much.
const leastWorkTurn = 4

// prospect is what a plan knows of a waiting request. It is computed once a plan, since long queues
// are compared often.
type prospect struct {
	latestStart time.Duration
	work        float64 // expected slot-seconds
	tooLate     bool    // its answer can't come before its caller leaves
	starving    bool    // see Scheduler.isStarving
	class       int     // by the share of its account; see fairshare.Division.Next
}

// assess computes the prospects of the requests of a queue.
func (s *Scheduler) assess(now time.Duration, queue []*Request, p *pool) {
	starving := map[rank]bool{}
	for _, r := range queue {
		isStarving, known := starving[rankOf(r)]
		if !known {
			isStarving = s.isStarving(r)
			starving[rankOf(r)] = isStarving
		}
		latest := s.latestStart(r, p)
		r.prospect = prospect{latestStart: latest, work: s.slotTime(r, p), tooLate: now > latest, starving: isStarving}
	}
}

// compareRank compares two requests by what goes before the time and work that they have left.
func compareRank(a, b *Request) int {
	return cmp.Or(
		compareBool(b.StreamStarted, a.StreamStarted),
		compareBool(a.prospect.tooLate, b.prospect.tooLate),
		compareBool(b.prospect.starving, a.prospect.starving),
		cmp.Compare(a.AccountPriority, b.AccountPriority),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.prospect.class, b.prospect.class),
	)
}

// compareStart compares two requests by rank and the time until which they can be started.
func compareStart(a, b *Request) int {
	return cmp.Or(compareRank(a, b), cmp.Compare(a.prospect.latestStart, b.prospect.latestStart), cmp.Compare(a.Arrived, b.Arrived))
}

// sortByStart sorts a queue by rank and latest start. Most queues are sorted since the last plan.
func sortByStart(queue []*Request) {
	if !slices.IsSortedFunc(queue, compareStart) {
		slices.SortStableFunc(queue, compareStart)
	}
}

// takeTurns reorders requests that are sorted by their latest start into the order in which they are
// started. Of equal rank, those that have to be started soonest and those with the least work take
// turns: the ones keep a caller with much work from waiting in vain, the others let the same engines
// answer more callers.
func (s *Scheduler) takeTurns(queue []*Request) {
	for len(queue) > 0 {
		equal := countEqualRank(queue)
		s.interleave(queue[:equal])
		queue = queue[equal:]
	}
}

// countEqualRank counts the first requests of a sorted queue that are of equal rank.
func countEqualRank(queue []*Request) int {
	equal := 1
	for equal < len(queue) && compareRank(queue[0], queue[equal]) == 0 {
		equal++
	}
	return equal
}

// interleave reorders requests that are sorted by their latest start: in each leastWorkTurn, one is that
// with the least work of those left.
func (s *Scheduler) interleave(byStart []*Request) {
	waiting := slices.Clone(byStart)
	byWork := slices.Clone(byStart)
	slices.SortStableFunc(byWork, func(a, b *Request) int { return cmp.Compare(a.prospect.work, b.prospect.work) })
	taken := make(map[*Request]bool, len(byStart))
	started := s.started[byStart[0].Service]
	for i := range byStart {
		list := &waiting
		if (started+i)%leastWorkTurn == leastWorkTurn-1 {
			list = &byWork
		}
		for taken[(*list)[0]] {
			*list = (*list)[1:]
		}
		byStart[i] = (*list)[0]
		taken[byStart[i]] = true
	}
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

// beyondShareLeft is the time, in seconds, by which a request beyond its account's share is compared as if
// it could wait longer. It exceeds callers' deadlines.
const beyondShareLeft = 3600

// urgency returns a positive number by which waiting requests of several entries are compared, whose
// clocks differ. Higher goes first: by rank, then by the time left until the latest start.
func (s *Scheduler) urgency(now time.Duration, r *Request, p *pool) float64 {
	left := (s.latestStart(r, p) - now).Seconds()
	switch {
	case r.StreamStarted:
		return math.MaxFloat64
	case left < 0:
		return math.SmallestNonzeroFloat64
	}
	const ranks = (maxComparedPriority + 1) * (maxComparedPriority + 1)
	if s.isStarving(r) {
		return ranks + 1 + 1/(1+left)
	}
	if r.prospect.class > 0 {
		left += beyondShareLeft // after all others of the rank
	}
	rank := float64(clampPriority(r.AccountPriority)*(maxComparedPriority+1) + clampPriority(r.Priority))
	return ranks - rank + 1/(1+left)
}

func clampPriority(priority int) int {
	return min(max(priority, 0), maxComparedPriority)
}
