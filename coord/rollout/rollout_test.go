package rollout_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/rollout"
)

func drawID(rt *rapid.T) rollout.ID {
	return rollout.ID{Era: rapid.Int64Range(1, 2).Draw(rt, "era"), Offset: rapid.Int64Range(0, 3).Draw(rt, "offset")}
}

func drawRecord(rt *rapid.T) rollout.Record {
	r := rollout.Record{
		Target: "v2", Generation: rapid.Int64Range(0, 1).Draw(rt, "generation"), Phase: rollout.Phase(rapid.IntRange(0, 3).Draw(rt, "phase")),
		Reason: rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "reason"),
	}
	if r.Phase.Decided() && rapid.Bool().Draw(rt, "written") {
		r.Written, r.WrittenAt = true, drawID(rt)
	}
	return r
}

func drawEvidence(rt *rapid.T) rollout.Evidence {
	counts := func() rollout.Counts {
		n := func() int64 { return rapid.Int64Range(0, 5).Draw(rt, "count") }
		return rollout.Counts{Sent: n(), Answered: n(), Bad: n()}
	}
	e := rollout.Evidence{}
	for _, route := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID[string]).Draw(rt, "routes") {
		e[route] = rollout.Pair{Old: counts(), New: counts()}
	}
	return e
}

// Reports come in any order, and more than once. Fronts must come to the same state whatever the
// order is, and a verdict must not become "running" again.
func TestMergesAreCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		a, b, c := drawRecord(rt), drawRecord(rt), drawRecord(rt)
		g.Expect(rollout.Merge(a, b)).To(Equal(rollout.Merge(b, a)))
		g.Expect(rollout.Merge(rollout.Merge(a, b), c)).To(Equal(rollout.Merge(a, rollout.Merge(b, c))))
		g.Expect(rollout.Merge(a, a)).To(Equal(a))
		if a.Generation == b.Generation && a.Phase.Decided() {
			g.Expect(rollout.Merge(a, b).Phase.Decided()).To(BeTrue(), "a verdict stays one")
		}
		x, y, z := drawEvidence(rt), drawEvidence(rt), drawEvidence(rt)
		g.Expect(rollout.MergeEvidence(x, y)).To(Equal(rollout.MergeEvidence(y, x)))
		g.Expect(rollout.MergeEvidence(rollout.MergeEvidence(x, y), z)).To(Equal(rollout.MergeEvidence(x, rollout.MergeEvidence(y, z))))
		g.Expect(rollout.MergeEvidence(x, x)).To(Equal(x))
	})
}

// newSet returns what an entry knows that has read all statuses, with endpoints of three versions.
func newSet() *rollout.Set {
	s := rollout.NewSet(rollout.Config{Self: "front", ExposureShare: share, ExposureSlack: slack})
	s.SetListed(map[string]map[string]string{service: {"a": "v1", "b": "v2", "c": "v3"}})
	s.Informed()
	return s
}

func orderOf(target string, era, offset int64) rollout.Order {
	return rollout.Order{ID: rollout.ID{Era: era, Offset: offset}, Service: service, Target: target, Duration: duration}
}

// admitted returns the versions at which a request may be placed that was sent before.
func admitted(s *rollout.Set) map[string]bool {
	versions := map[string]bool{}
	for endpoint, version := range map[string]string{"a": "v1", "b": "v2", "c": "v3"} {
		if s.Admits(service, rollout.Request{Route: "look", Repeated: true}, endpoint, version) {
			versions[version] = true
		}
	}
	return versions
}

// Orders replace, repeat and follow each other, and the store comes back without some of them. Each
// time requests must go only where the verdicts and the newest order allow.
func TestOrdersAndVerdictsDecideWhereRequestsGo(t *testing.T) {
	only := func(versions ...string) map[string]bool {
		m := map[string]bool{}
		for _, v := range versions {
			m[v] = true
		}
		return m
	}
	at := func(era, offset int64) rollout.ID { return rollout.ID{Era: era, Offset: offset} }
	for name, c := range map[string]struct {
		do       func(s *rollout.Set)
		admitted map[string]bool
		phase    string // of the newest order; empty = none
		target   string
	}{
		"no order": {do: func(*rollout.Set) {}, admitted: only("v1", "v2", "v3")},
		"running": {do: func(s *rollout.Set) {
			s.Observe(0, orderOf("v2", 1, 5), false)
		}, admitted: only("v1", "v3"), target: "v2", phase: "running"},
		"rolled back, and ordered again": {do: func(s *rollout.Set) {
			s.Observe(0, orderOf("v2", 1, 5), false)
			s.Status(service, "v2", rollout.RolledBack, at(1, 1))
			s.Observe(time.Second, orderOf("v2", 1, 6), false)
			s.Status(service, "v2", rollout.Running, at(1, 2))
		}, admitted: only("v1", "v3"), target: "v2", phase: "rolled_back"},
		"completed, and the next one": {do: func(s *rollout.Set) {
			s.Observe(0, orderOf("v2", 1, 5), false)
			s.Status(service, "v2", rollout.Completed, at(1, 1))
			s.Observe(time.Second, orderOf("v3", 1, 6), false)
		}, admitted: only("v2"), target: "v3", phase: "running"},
		"changed before the verdict": {do: func(s *rollout.Set) {
			s.Observe(0, orderOf("v2", 1, 5), false)
			s.Observe(time.Second, orderOf("v3", 1, 6), false)
		}, admitted: only("v1"), target: "v3", phase: "running"},
		"the earlier order read last": {do: func(s *rollout.Set) {
			s.Observe(0, orderOf("v3", 1, 6), false)
			s.Observe(time.Second, orderOf("v2", 1, 5), false)
		}, admitted: only("v1", "v2"), target: "v3", phase: "running"},
		"the store comes back with the earlier order and without the verdict": {do: func(s *rollout.Set) {
			s.Observe(0, orderOf("v2", 1, 5), false)
			s.Status(service, "v2", rollout.RolledBack, at(1, 1))
			s.Observe(time.Second, orderOf("v3", 1, 6), false)
			s.Status(service, "v3", rollout.Completed, at(1, 2))
			s.Observe(2*time.Second, orderOf("v2", 2, 5), true)
			s.Status(service, "v2", rollout.Running, at(2, 0))
		}, admitted: only("v3"), target: "v3", phase: "completed"},
		"back to a version that was completed": {do: func(s *rollout.Set) {
			s.Observe(0, orderOf("v2", 1, 5), false)
			s.Status(service, "v2", rollout.Completed, at(1, 1))
			s.Observe(time.Second, orderOf("v3", 1, 6), false)
			s.Status(service, "v3", rollout.Completed, at(1, 2))
			s.Observe(2*time.Second, orderOf("v2", 1, 7), false)
		}, admitted: only("v3"), target: "v2", phase: "running"},
		"two verdicts": {do: func(s *rollout.Set) {
			s.Observe(0, orderOf("v2", 1, 5), false)
			s.Status(service, "v2", rollout.RolledBack, at(1, 1))
			s.Status(service, "v2", rollout.Completed, at(2, 1))
		}, admitted: only("v1", "v3"), target: "v2", phase: "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSet()
			c.do(s)
			g.Expect(admitted(s)).To(Equal(c.admitted))
			d := s.Describe(3 * time.Second)
			if c.phase == "" {
				g.Expect(d).To(BeEmpty())
				return
			}
			g.Expect(d[0].Target).To(Equal(c.target))
			g.Expect(d[0].Phase).To(Equal(c.phase))
		})
	}
}

// An entry that has just started does not know whether the target was rolled back, and one that
// hears neither the store nor the others does not learn of it. Neither may try the target.
func TestNothingIsTriedWithoutNewsOfVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		informed, current bool
		entries           int
		tries             bool
	}{
		"informed": {informed: true, current: true, entries: 2, tries: true}, "just started": {current: true, entries: 2},
		"cut off": {informed: true, entries: 2}, "entries unknown": {informed: true, current: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := rollout.NewSet(rollout.Config{Self: "front", ExposureShare: share, ExposureSlack: slack})
			s.SetListed(map[string]map[string]string{service: {"a": "v1", "b": "v2"}})
			if c.informed {
				s.Informed()
			}
			s.Observe(0, orderOf("v2", 1, 5), true)
			s.Step(time.Second, rollout.Situation{Entries: c.entries, Current: c.current}, func(string) bool { return true })
			g.Expect(s.Admits(service, rollout.Request{Route: "look"}, "b", "v2")).To(Equal(c.tries))
			g.Expect(s.Admits(service, rollout.Request{Route: "look"}, "a", "v1")).To(BeTrue())
		})
	}
}

// Old endpoints stop at once when a version is completed. What runs there at any heard entry and
// can't be repeated must have ended before, and streams that have begun are waited for while there
// is time.
func TestCompletedWaitsForWhatRunsAtTheOldVersion(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		atPeer     bool // the run is another entry's
		repeatable bool
		begun      bool // a stream that has events
		unheard    bool // the other entry is not heard
		heldUntil  time.Duration
	}{
		"own run":                         {heldUntil: 15 * second},
		"another entry's run":             {atPeer: true, heldUntil: 15 * second},
		"stream that can't be resumed":    {begun: true, heldUntil: 15 * second},
		"stream that can be resumed":      {begun: true, repeatable: true, heldUntil: 11_280 * ms},
		"another's stream":                {atPeer: true, begun: true, repeatable: true, heldUntil: 11_280 * ms},
		"repeatable":                      {repeatable: true, heldUntil: 10_800 * ms},
		"run of an entry that is unheard": {atPeer: true, unheard: true, heldUntil: 10_800 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			writer, peer := newSet(), newSet()
			sets := []*rollout.Set{writer, peer}
			for _, s := range sets {
				s.SetListed(map[string]map[string]string{service: {"a": "v1", "b": "v2"}})
				s.Observe(0, orderOf("v2", 1, 5), false)
			}
			runner := writer
			if c.atPeer {
				runner = peer
			}
			completedAt := time.Duration(0)
			for now := 100 * ms; now < 20*second && completedAt == 0; now += 20 * ms {
				if now == 6*second {
					runner.Placed(now, rollout.Placement{ID: 1, Service: service, Route: "book", Version: "v1", Repeatable: c.repeatable})
				}
				if now == 6*second+40*ms && c.begun {
					runner.FirstEvent(now, 1)
				}
				if now == 15*second {
					runner.Ended(now, 1, rollout.Answered)
				}
				heard := []string{"peer"}
				if c.unheard && now > 6*second {
					heard = nil
				} else {
					peer.Receive(now, "writer", "1", writer.Reports(now, true))
					writer.Receive(now, "peer", "1", peer.Reports(now, true))
				}
				writer.Step(now, rollout.Situation{Entries: 2, Heard: heard, Current: true, Stored: true}, func(string) bool { return true })
				if writer.Wanted(now, heard)[0].Phase == rollout.Completed {
					completedAt = now
				}
			}
			g.Expect(completedAt).To(BeNumerically(">=", c.heldUntil))
			g.Expect(completedAt).To(BeNumerically("<=", c.heldUntil+100*ms))
		})
	}
}
