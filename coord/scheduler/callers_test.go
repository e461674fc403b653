package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// A caller that waits 3.2 s for the first event loses nothing by waiting beyond the target latency,
// but loses its answer by a refusal.
func TestALateRequestThatFitsItsCallersTimeIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	for id := range uint64(3) {
		s.Enqueue(streamRequest(id, 0))
	}
	for now := time.Duration(0); now <= 1500*ms; now += 50 * ms {
		fillEndpoint(s, now, "a")
		g.Expect(s.Plan(now).Refusals).To(BeEmpty(), "at %v", now)
	}
	s.SetPeerReport(1500*ms, "other", scheduler.Report{})
	g.Expect(s.Plan(1500 * ms).Placements).NotTo(BeEmpty())
}

// A caller that comes back after a refusal is served like one that comes first: requests with the same
// work and time left get the same decisions in any order and whatever was refused before.
func TestRepeatsAreDecidedLikeFirstTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		fresh, refused := newScheduler(engineEndpoint("a"), engineEndpoint("b")), newScheduler(engineEndpoint("a"), engineEndpoint("b"))
		for id := range uint64(rapid.IntRange(1, 20).Draw(t, "refused before")) {
			r := streamRequest(1000+id, 0)
			r.NextByteDeadline, r.Deadline = 0, 0
			refused.Enqueue(r)
		}
		g.Expect(refused.Plan(0).Placements).To(BeEmpty())
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "requests")) {
			r := streamRequest(id, time.Second)
			r.OutputTokens = rapid.IntRange(1, 2000).Draw(t, "output")
			r.Deadline = time.Second + time.Duration(rapid.IntRange(1, 12_000).Draw(t, "left"))*ms
			r.NextByteDeadline = min(r.NextByteDeadline, r.Deadline)
			fresh.Enqueue(r)
			refused.Enqueue(r)
		}
		for now := time.Second; now < 5*time.Second; now += 100 * ms {
			first, repeat := fresh.Plan(now), refused.Plan(now)
			g.Expect(placements(repeat)).To(Equal(placements(first)))
			g.Expect(refusals(repeat)).To(Equal(refusals(first)))
		}
	})
}

// refusals returns the requests that a plan refuses, with the reasons.
func refusals(p scheduler.Plan) map[uint64]scheduler.Reason {
	m := map[uint64]scheduler.Reason{}
	for _, one := range p.Refusals {
		m[one.Request] = one.Reason
	}
	return m
}

// An entry whose share of a plain service is less than one slot saves up for its runs. A caller that has
// waited gets the next one, not a caller that may come later.
func TestWhoHasWaitedForAPlainServiceUsesTheNextCredit(t *testing.T) {
	g := NewWithT(t)
	waited := func(since time.Duration) time.Duration {
		s := newScheduler(deskEndpoint("a"))
		r := plainRequest(1, 0)
		r.Arrived, r.NextByteDeadline, r.Deadline = since, since+time.Second, since+time.Second
		s.Enqueue(r)
		for now := since; now < since+time.Second; now += 5 * ms {
			// The others have most of the demand, so that this entry's share is small.
			s.SetPeerReport(now, "other", scheduler.Report{Demand: map[string]int{"desk": 20}, Arrivals: map[string]float64{"desk": 20}, TTL: time.Minute})
			if len(s.Plan(now).Placements) > 0 {
				return now - since
			}
		}
		return time.Second
	}
	g.Expect(waited(300*ms)).To(Equal(waited(0)), "the same credit is needed")
}

// A request whose answer can't come before its caller leaves is refused at once, so that the caller can
// go elsewhere, and one that can is not. What counts is the time left and the work left.
func TestWhatCannotBeAnsweredInTimeIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name             string
		output           int
		deadline         time.Duration
		refused          bool
		promptTokens     int
		nextByteDeadline time.Duration
	}{
		{"fits", 600, 4 * time.Second, false, 600, 3200 * ms},
		{"half of the output takes 2.5 s", 1200, 2400 * ms, true, 600, 2400 * ms},
		{"the prompt takes 1 s", 6, 12 * time.Second, true, 48_000, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScheduler(engineEndpoint("a"))
			fillEndpoint(s, 0, "a")
			r := streamRequest(1, 0)
			r.PromptTokens, r.OutputTokens, r.Deadline, r.NextByteDeadline = c.promptTokens, c.output, c.deadline, c.nextByteDeadline
			s.Enqueue(r)
			g.Expect(refusals(s.Plan(0))).To(HaveLen(map[bool]int{true: 1}[c.refused]))
		})
	}
}

// Many short requests behind one long request start at the other slots.
func TestALongRequestHoldsUpOneSlotOfTheBacklog(t *testing.T) {
	g := NewWithT(t)
	rows := []directory.Endpoint{engineEndpoint("a"), engineEndpoint("b"), engineEndpoint("c"), engineEndpoint("d")}
	s := newScheduler(rows...)
	loads := map[string]scheduler.Load{}
	for _, row := range rows {
		loads[row.ID] = scheduler.Load{Running: 2}
	}
	s.SetPeerReport(0, "other", scheduler.Report{Loads: loads})
	long := streamRequest(1, 0)
	long.OutputTokens, long.Deadline = 6000, time.Minute // 25 s at one slot
	long.Priority = 0
	s.Enqueue(long)
	short := streamRequest(2, 0)
	short.Priority, short.OutputTokens = 1, 6
	s.Enqueue(short)
	g.Expect(s.Plan(0).Refusals).To(BeEmpty())
}

// While a faster endpoint can still answer in time, a run that would be cut is not begun at a slow one.
func TestNoRunIsBegunThatItsCallerWouldCut(t *testing.T) {
	g := NewWithT(t)
	s := newFastAndSlow(g)
	now := 10 * time.Second
	fillEndpoint(s, now, "fast")
	r := streamRequest(1, now)
	r.OutputTokens, r.Deadline = 600, now+2*time.Second // half of it takes 0.6 s, or 2.9 s
	s.Enqueue(r)
	for ; now < 10*time.Second+800*ms; now += 50 * ms {
		fillEndpoint(s, now, "fast")
		plan := s.Plan(now)
		g.Expect(plan.Placements).To(BeEmpty())
		g.Expect(plan.Refusals).To(BeEmpty())
	}
	s.SetPeerReport(now, "other", scheduler.Report{})
	g.Expect(placements(s.Plan(now))).To(Equal(map[uint64]string{1: "fast"}))
}

// newFastAndSlow returns a scheduler that knows the speed of two endpoints.
func newFastAndSlow(g Gomega) *scheduler.Scheduler {
	s := newScheduler()
	for id, interval := range map[string]time.Duration{"fast": 11 * ms, "slow": 57 * ms} {
		other := engineEndpoint(map[string]string{"fast": "slow", "slow": "fast"}[id])
		other.Draining = true
		s.SetEndpoints([]directory.Endpoint{engineEndpoint(id), other})
		s.Enqueue(streamRequest(1000, 0))
		g.Expect(placements(s.Plan(0))).To(Equal(map[uint64]string{1000: id}))
		s.FirstEvent(10*ms, 1000)
		for range 20 {
			s.Progress(20*ms, 1000, interval)
		}
		s.Done(30*ms, 1000, scheduler.Answered)
	}
	s.SetEndpoints([]directory.Endpoint{engineEndpoint("fast"), engineEndpoint("slow")})
	return s
}

// A caller does not wait for a faster endpoint while one with a free slot can answer in time.
func TestARequestIsNotHeldWhileAnEndpointCanAnswerInTime(t *testing.T) {
	const start = 10 * time.Second
	for _, promptTokens := range []int{600, 30_000} {
		g := NewWithT(t)
		s := newFastAndSlow(g)
		r := streamRequest(1, start)
		r.PromptTokens, r.OutputTokens = promptTokens, 6
		s.Enqueue(r)
		fillEndpoint(s, start, "fast")
		g.Expect(placements(s.Plan(start))).To(Equal(map[uint64]string{1: "slow"}), "%d tokens", promptTokens)
	}
}

// A route's target gap may tell where a request goes, but not when it is started or refused.
func TestTheTargetGapChangesNeitherWaitsNorRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		tight, loose := newScheduler(engineEndpoint("a"), engineEndpoint("b")), newScheduler(engineEndpoint("a"), engineEndpoint("b"))
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "requests")) {
			r := streamRequest(id, 0)
			r.PromptTokens, r.OutputTokens = rapid.IntRange(1, 50_000).Draw(t, "prompt"), rapid.IntRange(1, 2000).Draw(t, "output")
			r.GapTarget = 50 * ms
			tight.Enqueue(r)
			r.GapTarget = 5 * time.Second
			loose.Enqueue(r)
		}
		for now := time.Duration(0); now < 4*time.Second; now += 100 * ms {
			x, y := tight.Plan(now), loose.Plan(now)
			g.Expect(placements(x)).To(HaveLen(len(y.Placements)))
			for id := range placements(x) {
				g.Expect(placements(y)).To(HaveKey(id))
			}
			g.Expect(refusals(x)).To(Equal(refusals(y)))
		}
	})
}

// A caller is told to come back as long as its answer fits into the time that it has left then.
func TestACallerIsToldToComeBackWhileItsAnswerStillFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := newScheduler(engineEndpoint("a"))
		for id := range uint64(40) { // a backlog of some minutes
			r := streamRequest(100+id, 0)
			r.OutputTokens, r.NextByteDeadline, r.Deadline = 6000, time.Hour, time.Hour
			s.Enqueue(r)
		}
		r := streamRequest(1, 0)
		r.Priority, r.OutputTokens = 1, rapid.IntRange(1, 1200).Draw(t, "output")
		left := time.Duration(rapid.IntRange(1000, 12_000).Draw(t, "left")) * ms
		r.NextByteDeadline, r.Deadline = min(left, 3200*ms), left
		s.Enqueue(r)
		plan := s.Plan(0)
		g.Expect(refusals(plan)).To(HaveKey(uint64(1)))
		work := 40*ms + time.Duration(r.OutputTokens)*25*ms/6/2
		for _, one := range plan.Refusals {
			g.Expect(one.RetryAfter).To(BeNumerically("<=", max(left-work, 300*ms)))
		}
	})
}

// No request is started before one of a higher rank that could be started in its place, whatever their
// work and time are. Endpoints of equal speed and version can take any of them.
func TestNoLowerRankIsStartedWhileAHigherOneWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := newScheduler(engineEndpoint("a"), engineEndpoint("b"))
		requests := map[uint64]scheduler.Request{}
		for id := range uint64(rapid.IntRange(1, 20).Draw(t, "requests")) {
			r := streamRequest(id, 0)
			r.AccountPriority, r.Priority = rapid.IntRange(0, 1).Draw(t, "account"), rapid.IntRange(0, 2).Draw(t, "class")
			r.PromptTokens, r.OutputTokens = rapid.IntRange(1, 20_000).Draw(t, "prompt"), rapid.IntRange(1, 600).Draw(t, "output")
			requests[id] = r
			s.Enqueue(r)
		}
		for now := time.Duration(0); now < time.Second; now += 100 * ms {
			plan := s.Plan(now)
			for _, one := range plan.Placements {
				placed := requests[one.Request]
				delete(requests, one.Request)
				s.Done(now, one.Request, scheduler.Answered)
				for _, r := range requests {
					higher := r.AccountPriority < placed.AccountPriority || r.AccountPriority == placed.AccountPriority && r.Priority < placed.Priority
					_, alsoPlaced := placements(plan)[r.ID]
					g.Expect(higher && !alsoPlaced).To(BeFalse(), "%+v is started while %+v waits", placed, r)
				}
			}
			for _, one := range plan.Refusals {
				delete(requests, one.Request)
			}
		}
	})
}
