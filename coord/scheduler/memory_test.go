package scheduler_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// newMemoryScheduler returns a scheduler whose engines have 10 slots and memory for 100,000 tokens.
func newMemoryScheduler(self string, mode scheduler.Mode, ids ...string) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Config{ReportTTL: time.Second, RefuseMargin: scheduler.DefaultRefuseMargin, EngineMemory: mode}, rand.New(rand.NewSource(1)))
	s.SetServices(map[string]scheduler.ServiceInfo{"model": {Slots: 10, Engine: true, EventTokens: 6, MemoryTokens: 100_000}})
	var rows []directory.Endpoint
	for _, id := range ids {
		rows = append(rows, directory.Endpoint{ID: id, Service: "model", Address: id, Slots: 10, Born: 1})
	}
	s.SetEndpoints(rows)
	s.SetEntries(self, nil)
	return s
}

// sized returns a request that needs a number of tokens.
func sized(id uint64, now time.Duration, need int) scheduler.Request {
	r := streamRequest(id, now)
	r.PromptTokens, r.MaxOutputTokens, r.OutputTokens = 600, need-600, 50
	return r
}

// Guards against requests beyond an engine's memory being sent, and against large ones holding up small ones.
func TestWhatDoesNotFitIntoMemoryWaitsAndSmallerRequestsGoAhead(t *testing.T) {
	g := NewWithT(t)
	s := newMemoryScheduler("f", scheduler.On, "a")
	s.Enqueue(sized(1, 0, 60_000))
	s.Enqueue(sized(2, 0, 60_000))
	s.Enqueue(sized(3, 0, 30_000))
	g.Expect(placements(s.Plan(0))).To(And(HaveLen(2), HaveKey(uint64(3))))
	g.Expect(s.Report(0).Loads["a"].MemoryTokens).To(Equal(90_000))
	g.Expect(s.Report(0).Loads["a"].ReservedTokens).To(Equal(60_000))
	s.Enqueue(sized(4, 50*ms, 5000))
	g.Expect(placements(s.Plan(50*ms))).To(BeEmpty(), "what is free is reserved for the large one")
	for _, id := range []uint64{1, 2} { // one of them runs
		s.FirstEvent(100*ms, id)
		s.Done(100*ms, id, scheduler.Answered)
	}
	plan := s.Plan(100 * ms)
	g.Expect(placements(plan)).To(HaveLen(2))
	g.Expect(plan.Placements).To(ContainElement(HaveField("MemoryReserved", true)))
}

// Guards against a request that fits no engine, or none in time, waiting without end or for another reason.
func TestWhatFitsNoEngineIsRefusedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	s := newMemoryScheduler("f", scheduler.On, "a", "b")
	s.Enqueue(sized(1, 0, 100_001))
	plan := s.Plan(0)
	g.Expect(refusals(plan)).To(Equal(map[uint64]scheduler.Reason{1: scheduler.ReasonEngineMemory}))
	g.Expect(plan.Refusals[0].MemoryNeed).To(Equal(100_001))
	for _, id := range []uint64{2, 3, 4} {
		r := sized(id, 0, 90_000)
		r.NextByteDeadline, r.Deadline = 20*time.Second, 20*time.Second
		s.Enqueue(r)
	}
	g.Expect(placements(s.Plan(0))).To(HaveLen(2))
	g.Expect(s.Plan(time.Second).Refusals).To(BeEmpty(), "it waits while it could be answered in time")
	reasons := refusals(s.Plan(20 * time.Second))
	g.Expect(reasons).To(HaveLen(1))
	for _, reason := range reasons {
		g.Expect(reason).To(Equal(scheduler.ReasonEngineMemory))
	}
}

// Guards against two fronts that reserve the same memory waiting for each other, or both using it.
func TestOfTwoReservationsOneGoesFirst(t *testing.T) {
	g := NewWithT(t)
	fronts := map[string]*scheduler.Scheduler{"f1": newMemoryScheduler("f1", scheduler.On, "a"), "f2": newMemoryScheduler("f2", scheduler.On, "a")}
	fronts["f1"].SetEntries("f1", []string{"f2"})
	fronts["f2"].SetEntries("f2", []string{"f1"})
	placed := 0
	for now := time.Duration(0); now < time.Second; now += 10 * ms {
		if now%(100*ms) == 0 {
			fronts["f1"].SetPeerReport(now, "f2", fronts["f2"].Report(now))
			fronts["f2"].SetPeerReport(now, "f1", fronts["f1"].Report(now))
		}
		if now == 10*ms {
			fronts["f1"].Enqueue(sized(1, now, 60_000))
			fronts["f2"].Enqueue(sized(2, now, 60_000))
		}
		for _, f := range fronts {
			placed += len(f.Plan(now).Placements)
		}
	}
	g.Expect(placed).To(Equal(1))
}

// Guards against a false report of memory keeping an engine from being used for longer than the report lasts.
func TestAbsurdMemoryInAReportLapses(t *testing.T) {
	g := NewWithT(t)
	s := newMemoryScheduler("f1", scheduler.On, "a")
	s.SetPeerReport(0, "f2", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1, MemoryTokens: 1 << 30, ReservedTokens: 1 << 30}}})
	s.Enqueue(sized(1, 0, 2000))
	g.Expect(s.Plan(0).Placements).To(BeEmpty())
	g.Expect(s.Plan(1100 * ms).Placements).To(HaveLen(1))
	s.SetPeerReport(1200*ms, "f2", scheduler.Report{Loads: map[string]scheduler.Load{"a": {MemoryTokens: 1 << 30}}})
	s.Enqueue(sized(2, 1200*ms, 2000))
	g.Expect(s.Plan(1200*ms).Placements).To(HaveLen(1), "what holds memory without a request is ignored")
}

// Guards against memory counting where it is switched off, or no endpoint has stated its pace.
func TestMemoryCountsWhereItIsAskedForOnly(t *testing.T) {
	for _, c := range []struct {
		mode   scheduler.Mode
		states bool
		placed int
	}{{scheduler.Off, true, 2}, {scheduler.Auto, false, 2}, {scheduler.Auto, true, 1}, {scheduler.On, false, 1}} {
		s := newMemoryScheduler("f", c.mode, "a")
		s.ObserveStatement(0, "a", 1, scheduler.Statement{Slots: 10, Pace: 1, HasPace: c.states})
		s.Enqueue(sized(1, 0, 60_000))
		s.Enqueue(sized(2, 0, 60_000))
		NewWithT(t).Expect(s.Plan(0).Placements).To(HaveLen(c.placed))
	}
}
