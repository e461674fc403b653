package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/scheduler"
)

// placeMany sends requests one after the other, with reports of another entry that are older than
// a run lasts, and returns how many each endpoint got. Those at the failing endpoint fail.
func placeMany(s *scheduler.Scheduler, failing string, count int) map[string]int {
	placed := map[string]int{}
	now := time.Duration(0)
	for id := range uint64(count) {
		if id%20 == 0 {
			s.SetPeerReport(now, "other", scheduler.Report{TTL: time.Minute})
		}
		now += 50 * ms
		s.Enqueue(plainRequest(id, now))
		for _, p := range s.Plan(now).Placements {
			placed[p.Endpoint]++
			outcome := scheduler.Answered
			if p.Endpoint == failing {
				outcome = scheduler.Failed
			}
			s.Done(now+20*ms, p.Request, outcome)
		}
	}
	return placed
}

// An endpoint whose health check is good and that fails requests must not get its even part of
// them because the reports are old.
func TestAFailingEndpointIsNotDrawn(t *testing.T) {
	g := NewWithT(t)
	placed := placeMany(newScheduler(deskEndpoint("a"), deskEndpoint("b"), deskEndpoint("c"), deskEndpoint("d")), "a", 400)
	g.Expect(placed["a"]).To(BeNumerically("<", 20), "%v", placed)
	g.Expect(placed["b"]).To(BeNumerically(">", 80), "%v", placed)
}

// With old reports no sound endpoint is left out or preferred.
func TestSoundEndpointsAreDrawnEvenly(t *testing.T) {
	g := NewWithT(t)
	placed := placeMany(newScheduler(deskEndpoint("a"), deskEndpoint("b"), deskEndpoint("c"), deskEndpoint("d")), "", 400)
	for _, id := range []string{"a", "b", "c", "d"} {
		g.Expect(placed[id]).To(BeNumerically("~", 100, 40), "%v", placed)
	}
}

// A request that was sent to an endpoint before is not drawn there again while there are others.
func TestATriedEndpointIsNotDrawnAgain(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(deskEndpoint("a"), deskEndpoint("b"), deskEndpoint("c"))
	s.SetPeerReport(0, "other", scheduler.Report{TTL: time.Minute})
	now := time.Second
	for id := range uint64(40) {
		r := plainRequest(id, now)
		r.Avoid = map[string]bool{"a": true, "b": true}
		s.Enqueue(r)
		for _, p := range s.Plan(now).Placements {
			g.Expect(p.Endpoint).To(Equal("c"))
			s.Done(now, p.Request, scheduler.Answered)
		}
	}
	g.Expect(s.Waiting("desk")).To(BeZero(), "none waits for an endpoint that is not drawn")
}
