package scheduler_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

const ms = time.Millisecond

func newScheduler(rows ...directory.Endpoint) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Config{
		ReportTTL: time.Second, Overcommit: 0, RefuseMargin: scheduler.DefaultRefuseMargin,
	}, rand.New(rand.NewSource(1)))
	s.SetServices(map[string]scheduler.ServiceInfo{"model": {Slots: 2, Engine: true, EventTokens: 6}, "desk": {}})
	s.SetEndpoints(rows)
	return s
}

func engine(id string) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "model", Address: id, Slots: 2, Born: 1}
}

func desk(id string) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "desk", Address: id, Slots: 2, Born: 1}
}

// stream is a request of ordinary size that arrives now.
func stream(id uint64, now time.Duration) scheduler.Request {
	return scheduler.Request{
		ID: id, Service: "model", Class: "brief", Stream: true, PromptTokens: 600, OutputTokens: 300,
		Arrived: now, Due: now + 400*ms, GapTarget: 400 * ms, NextByteDeadline: now + 3200*ms, Deadline: now + 12*time.Second,
		Repeatable: true,
	}
}

func plain(id uint64, now time.Duration) scheduler.Request {
	return scheduler.Request{
		ID: id, Service: "desk", Class: "lookup", Arrived: now, Due: now + 100*ms,
		NextByteDeadline: now + time.Second, Deadline: now + time.Second, Repeatable: true,
	}
}

func placed(p scheduler.Plan) map[uint64]string {
	m := map[uint64]string{}
	for _, one := range p.Placements {
		m[one.Request] = one.Endpoint
	}
	return m
}

func TestARequestIsSentWhereASlotIsFree(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"), engine("b"))
	for id := range uint64(5) {
		s.Enqueue(stream(id, 0))
	}
	first := placed(s.Plan(0))
	g.Expect(first).To(HaveLen(4), "two slots each")
	g.Expect(s.Waiting("model")).To(Equal(1))
	for id := range first {
		s.Done(10*ms, id, scheduler.Answered)
		break
	}
	g.Expect(placed(s.Plan(10 * ms))).To(HaveLen(1))
}

func TestWhatOthersHoldIsLeftToThem(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"), engine("b"))
	s.SetPeerReport(0, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 2}}})
	s.Enqueue(stream(1, 0))
	s.Enqueue(stream(2, 0))
	s.Enqueue(stream(3, 0))
	g.Expect(placed(s.Plan(0))).To(Equal(map[uint64]string{1: "b", 2: "b"}))
	g.Expect(placed(s.Plan(1100*ms))).To(Equal(map[uint64]string{3: "a"}), "a report counts for a second")
}

// One entry has most of the demand, as in a failure domain with a single entry: while
// slots are short, each entry takes the share of its demand, not an even one.
func TestSlotsAreSharedByDemand(t *testing.T) {
	g := NewWithT(t)
	rows := []directory.Endpoint{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		rows = append(rows, engine(id))
	}
	s := newScheduler(rows...)
	s.SetPeerReport(0, "other", scheduler.Report{Demand: map[string]int{"model": 10}})
	for id := range uint64(30) {
		s.Enqueue(stream(id, 0))
	}
	g.Expect(s.Plan(0).Placements).To(HaveLen(8), "30 of 40 in demand, of 10 slots")
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	for id := range uint64(4) {
		r := stream(id, 0)
		r.Priority = 2 - int(id%2)*2
		s.Enqueue(r)
	}
	first := placed(s.Plan(0))
	g.Expect(first).To(HaveKey(uint64(1)))
	g.Expect(first).To(HaveKey(uint64(3)))
}

// After a burst the queue is full of late requests. Serving them in order of arrival
// would make all that follow late as well.
func TestARequestThatCanBeOnTimeGoesBeforeLateOnes(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	s.Enqueue(stream(1, 0))
	s.Enqueue(stream(2, 0))
	s.Enqueue(stream(3, 0))
	s.Enqueue(stream(4, 0))
	g.Expect(s.Plan(0).Placements).To(HaveLen(2))
	s.Enqueue(stream(5, 500*ms))
	running := []uint64{1, 2}
	for _, id := range running {
		s.Done(500*ms, id, scheduler.Answered)
	}
	g.Expect(placed(s.Plan(500 * ms))).To(HaveKey(uint64(5)))
}

func TestWhatCameBackGoesBeforeLateRequestsThatDidNot(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	late, back := stream(1, 0), stream(2, 900*ms)
	back.Retried, back.Due = true, 0
	s.Enqueue(late)
	s.Enqueue(back)
	other := stream(3, 0)
	s.Enqueue(other)
	s.SetPeerReport(900*ms, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1}}})
	g.Expect(placed(s.Plan(900 * ms))).To(Equal(map[uint64]string{2: "a"}))
}

// A long prompt holds up all neighbours, so it counts for each slot of its endpoint.
func TestLongPromptsDoNotSeemCheap(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	s.SetPeerReport(0, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1}}})
	// Both have the same size by the users' measure.
	reader, writer := stream(1, 0), stream(2, 0)
	reader.PromptTokens, reader.OutputTokens = 40_000, 10
	writer.PromptTokens, writer.OutputTokens = 10_100, 3_000
	reader.Due, writer.Due = 5*time.Second, 5*time.Second
	s.Enqueue(reader)
	s.Enqueue(writer)
	g.Expect(placed(s.Plan(0))).To(HaveLen(1))
}

func TestLongPromptsKeepAwayFromSlowEndpoints(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("fast"), engine("slow"))
	teach(s, "fast", 11*ms)
	teach(s, "slow", 57*ms)
	long := stream(90, 10*time.Second)
	long.PromptTokens, long.Due = 20_000, 10*time.Second+800*ms
	s.Enqueue(long)
	g.Expect(placed(s.Plan(10 * time.Second))).To(Equal(map[uint64]string{90: "fast"}))
}

// teach lets an endpoint show a time between events.
func teach(s *scheduler.Scheduler, id string, pace time.Duration) {
	s.SetEndpoints([]directory.Endpoint{engine(id)})
	s.Enqueue(stream(1000, 0))
	s.Plan(0)
	s.FirstEvent(10*ms, 1000)
	for range 20 {
		s.Progress(20*ms, 1000, pace)
	}
	s.Done(30*ms, 1000, scheduler.Answered)
	s.SetEndpoints([]directory.Endpoint{engine("fast"), engine("slow")})
}

func TestARequestIsNotHeldUntilItsCallerGivesUp(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	s.SetPeerReport(0, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 2}}})
	for id := range uint64(40) {
		s.Enqueue(stream(id, 0))
	}
	refused := 0
	for now := time.Duration(0); now <= 3*time.Second; now += 50 * ms {
		s.SetPeerReport(now, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 2}}})
		for _, r := range s.Plan(now).Refusals {
			refused++
			g.Expect(r.RetryAfter).To(BeNumerically(">", 0))
		}
		if now == 500*ms {
			g.Expect(refused).To(BeNumerically(">", 30), "most late requests are asked back early")
		}
	}
	g.Expect(refused).To(Equal(40))
}

func TestRetryAfterGrowsWithWhatWasTurnedAway(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	var first, last time.Duration
	for id := range uint64(200) {
		r := stream(id, 0)
		r.NextByteDeadline = 0
		s.Enqueue(r)
		for _, refusal := range s.Plan(time.Second).Refusals {
			if first == 0 {
				first = refusal.RetryAfter
			}
			last = refusal.RetryAfter
		}
	}
	g.Expect(last).To(BeNumerically(">", 2*first))
}

func TestWithoutEndpointsARequestWaitsForOne(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	s.Enqueue(stream(1, 0))
	g.Expect(s.Plan(0).Refusals).To(BeEmpty())
	s.SetEndpoints([]directory.Endpoint{engine("a")})
	g.Expect(placed(s.Plan(100 * ms))).To(HaveLen(1))
	s.SetEndpoints(nil)
	s.Enqueue(stream(2, 200*ms))
	g.Expect(s.Plan(3300 * ms).Refusals[0].Reason).To(Equal(scheduler.ReasonNoEndpoint))
}

func TestADrainingEndpointGetsNothingNew(t *testing.T) {
	g := NewWithT(t)
	leaving := engine("a")
	leaving.Draining = true
	s := newScheduler(leaving, engine("b"))
	s.Enqueue(stream(1, 0))
	g.Expect(placed(s.Plan(0))).To(Equal(map[uint64]string{1: "b"}))
}

func TestAnUnreachableEndpointIsLeftOutAndTriedAgain(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	s.Enqueue(stream(1, 0))
	s.Plan(0)
	s.Done(0, 1, scheduler.Unreachable)
	s.Enqueue(stream(2, 10*ms))
	g.Expect(placed(s.Plan(10 * ms))).To(BeEmpty())
	g.Expect(placed(s.Plan(400 * ms))).To(HaveLen(1))
}

func TestASilentEndpointIsCutOnlyForWhatMayRunAgain(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"), desk("d"))
	once := stream(2, 0)
	once.Repeatable = false
	s.Enqueue(stream(1, 0))
	s.Enqueue(once)
	s.Enqueue(plain(3, 0))
	g.Expect(s.Plan(0).Placements).To(HaveLen(3))
	s.SetEndpoints([]directory.Endpoint{engine("a"), engine("b"), desk("d"), desk("e")})
	g.Expect(s.Plan(200 * ms).Failovers).To(BeEmpty())
	g.Expect(s.Plan(450 * ms).Failovers).To(Equal([]uint64{3}))
	s.Done(450*ms, 3, scheduler.Unreachable)
	g.Expect(s.Plan(2 * time.Second).Failovers).To(Equal([]uint64{1}))
}

// Another entry's long prompts hold up a run that this entry has at the endpoint; its
// silence is no sign that the endpoint is gone.
func TestNothingIsCutWhileThePromptsOfOthersAreRead(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	s.Enqueue(stream(1, 0))
	g.Expect(s.Plan(0).Placements).To(HaveLen(1))
	s.SetEndpoints([]directory.Endpoint{engine("a"), engine("b")})
	for now := time.Duration(0); now < 1200*ms; now += 20 * ms {
		s.SetPeerReport(now, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1, PromptTokens: 40_000}}})
		g.Expect(s.Plan(now).Failovers).To(BeEmpty())
	}
	g.Expect(s.Plan(3*time.Second).Failovers).To(Equal([]uint64{1}), "no report any more")
}

// A caller that waits long for an event gives its endpoint more time.
func TestSilenceIsMeasuredByTheTimeThatCallersWait(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	r := stream(1, 0)
	r.EventTimeout = 3200 * ms
	s.Enqueue(r)
	g.Expect(s.Plan(0).Placements).To(HaveLen(1))
	s.SetEndpoints([]directory.Endpoint{engine("a"), engine("b")})
	g.Expect(s.Plan(1400 * ms).Failovers).To(BeEmpty())
	g.Expect(s.Plan(1500 * ms).Failovers).To(Equal([]uint64{1}))
}

// A stream that was cut goes before all that waits, and is not turned away for the backlog.
func TestAStartedStreamGoesFirstAndIsNotTurnedAway(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	for id := range uint64(60) {
		r := stream(id+10, 0)
		r.OutputTokens = 3000
		s.Enqueue(r)
	}
	running := placed(s.Plan(0))
	g.Expect(running).To(HaveLen(2))
	again := stream(1, 0)
	again.StreamStarted, again.Priority, again.OutputTokens, again.Due = true, 3, 5000, 0
	again.NextByteDeadline = 2 * time.Second
	s.Enqueue(again)
	plan := s.Plan(600 * ms)
	g.Expect(plan.Refusals).NotTo(BeEmpty(), "the backlog turns others away")
	for _, refused := range plan.Refusals {
		g.Expect(refused.Request).NotTo(Equal(uint64(1)))
	}
	for id := range running {
		s.Done(700*ms, id, scheduler.Answered)
		break
	}
	g.Expect(placed(s.Plan(700 * ms))).To(HaveKey(uint64(1)))
}

// A silent endpoint may still end its answer; a request without another endpoint loses by a cut.
func TestNothingIsCutWhereNoOtherEndpointMayTakeIt(t *testing.T) {
	leaving := engine("b")
	leaving.Draining = true
	for name, others := range map[string][]directory.Endpoint{
		"alone": nil, "beside one that drains": {leaving}, "beside another service": {desk("d")},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScheduler(append(others, engine("a"))...)
			s.Enqueue(stream(1, 0))
			g.Expect(s.Plan(0).Placements).To(HaveLen(1))
			g.Expect(s.Plan(3 * time.Second).Failovers).To(BeEmpty())
		})
	}
}

func TestNothingIsCutWithoutTimeToGoElsewhere(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(desk("d"))
	short := plain(1, 0)
	short.NextByteDeadline, short.Deadline = 300*ms, 300*ms
	s.Enqueue(short)
	g.Expect(s.Plan(0).Placements).To(HaveLen(1))
	s.SetEndpoints([]directory.Endpoint{desk("d"), desk("e")})
	for now := time.Duration(0); now < 300*ms; now += 20 * ms {
		g.Expect(s.Plan(now).Failovers).To(BeEmpty())
	}
}

func TestFailingEndpointsAreAvoided(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(desk("bad"), desk("good"))
	for id := range uint64(20) {
		s.Enqueue(plain(id, 0))
		p := s.Plan(0).Placements[0]
		outcome := scheduler.Answered
		if p.Endpoint == "bad" {
			outcome = scheduler.Failed
		}
		s.Done(15*ms, id, outcome)
	}
	for id := uint64(100); id < 110; id++ {
		s.Enqueue(plain(id, 0))
		g.Expect(placed(s.Plan(0))).To(HaveKeyWithValue(id, "good"))
		s.Done(15*ms, id, scheduler.Answered)
	}
}

func TestAnotherIncarnationIsUnknown(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engine("a"))
	s.Enqueue(stream(1, 0))
	s.Plan(0)
	s.Done(0, 1, scheduler.Unreachable)
	again := engine("a")
	again.Born = 2
	s.SetEndpoints([]directory.Endpoint{again})
	s.Enqueue(stream(2, 10*ms))
	g.Expect(placed(s.Plan(10 * ms))).To(HaveLen(1))
}
