package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

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
