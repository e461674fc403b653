package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// engineOfVersion returns an engine with one slot.
func engineOfVersion(id, version string, draining bool) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "model", Address: id, Slots: 1, Born: 1, Version: version, Draining: draining}
}

// A stream that goes on at one software version only is placed there, waits for a slot there, and
// is refused at once where no endpoint of the version takes requests.
func TestStreamIsPlacedAtItsVersionOnly(t *testing.T) {
	v1, v2 := engineOfVersion("a", "v1", false), engineOfVersion("b", "v2", false)
	for name, c := range map[string]struct {
		endpoints []directory.Endpoint
		busy      bool // the slot of a is taken
		started   bool
		placed    string
		refused   bool
	}{
		"free":                 {endpoints: []directory.Endpoint{v1, v2}, placed: "a"},
		"busy":                 {endpoints: []directory.Endpoint{v1, v2}, busy: true},
		"draining":             {endpoints: []directory.Endpoint{engineOfVersion("a", "v1", true), v2}, refused: true},
		"gone":                 {endpoints: []directory.Endpoint{v2}, refused: true},
		"gone, stream started": {endpoints: []directory.Endpoint{v2}, started: true, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScheduler(c.endpoints...)
			if c.busy {
				s.SetPeerReport(0, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1}}})
			}
			r := streamRequest(1, 0)
			r.Version, r.StreamStarted = "v1", c.started
			s.Enqueue(r)
			plan := s.Plan(0)
			g.Expect(placements(plan)[1]).To(Equal(c.placed))
			g.Expect(len(plan.Refusals)).To(Equal(map[bool]int{true: 1}[c.refused]))
			if c.refused {
				g.Expect(plan.Refusals[0].Reason).To(Equal(scheduler.ReasonNoVersion))
				g.Expect(plan.Refusals[0].RetryAfter).To(BeNumerically(">", 0))
			}
		})
	}
}

// A silent run of a stream that has events is cancelled only where an endpoint of its version can
// go on with it.
func TestNoFailoverToAnotherVersion(t *testing.T) {
	for other, failsOver := range map[string]bool{"v1": true, "v2": false} {
		g := NewWithT(t)
		s := newScheduler(engineOfVersion("a", "v1", false))
		s.Enqueue(streamRequest(1, 0))
		g.Expect(placements(s.Plan(0))).To(HaveLen(1))
		s.SetEndpoints([]directory.Endpoint{engineOfVersion("a", "v1", false), engineOfVersion("b", other, false)})
		s.FirstEvent(50*ms, 1)
		g.Expect(len(s.Plan(6*time.Second).Failovers) > 0).To(Equal(failsOver), other)
	}
}
