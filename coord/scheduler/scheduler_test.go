package scheduler_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

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

func engineEndpoint(id string) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "model", Address: id, Slots: 2, Born: 1}
}

func deskEndpoint(id string) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "desk", Address: id, Slots: 2, Born: 1}
}

// streamRequest returns a streaming request of average size that arrives now.
func streamRequest(id uint64, now time.Duration) scheduler.Request {
	return scheduler.Request{
		ID: id, Service: "model", Stream: true, PromptTokens: 600, OutputTokens: 300,
		Arrived: now, GapTarget: 400 * ms, NextByteDeadline: now + 3200*ms, Deadline: now + 12*time.Second,
		Repeatable: true,
	}
}

func plainRequest(id uint64, now time.Duration) scheduler.Request {
	return scheduler.Request{
		ID: id, Service: "desk", Arrived: now,
		NextByteDeadline: now + time.Second, Deadline: now + time.Second, Repeatable: true,
	}
}

func placements(p scheduler.Plan) map[uint64]string {
	m := map[uint64]string{}
	for _, one := range p.Placements {
		m[one.Request] = one.Endpoint
	}
	return m
}

func TestRequestsBeyondTheFreeSlotsStayQueued(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"), engineEndpoint("b"))
	for id := range uint64(5) {
		s.Enqueue(streamRequest(id, 0))
	}
	first := placements(s.Plan(0))
	g.Expect(first).To(HaveLen(4), "two endpoints with two slots each")
	g.Expect(s.Waiting("model")).To(Equal(1))
	for id := range first {
		s.Done(10*ms, id, scheduler.Answered)
		break
	}
	g.Expect(placements(s.Plan(10 * ms))).To(HaveLen(1))
}

func TestSlotsUsedByOtherEntriesAreNotAssigned(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"), engineEndpoint("b"))
	s.SetPeerReport(0, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 2}}})
	s.Enqueue(streamRequest(1, 0))
	s.Enqueue(streamRequest(2, 0))
	s.Enqueue(streamRequest(3, 0))
	g.Expect(placements(s.Plan(0))).To(Equal(map[uint64]string{1: "b", 2: "b"}))
	g.Expect(placements(s.Plan(1100*ms))).To(Equal(map[uint64]string{3: "a"}), "the report expires after a second")
}

// One entry has most of the demand, for example as the only entry of its failure
// domain. While slots are scarce, each entry gets a share of them in proportion to its
// demand, not an even one.
func TestScarceSlotsAreSharedInProportionToDemand(t *testing.T) {
	g := NewWithT(t)
	rows := []directory.Endpoint{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		rows = append(rows, engineEndpoint(id))
	}
	s := newScheduler(rows...)
	s.SetPeerReport(0, "other", scheduler.Report{Demand: map[string]int{"model": 10}})
	for id := range uint64(30) {
		s.Enqueue(streamRequest(id, 0))
	}
	g.Expect(s.Plan(0).Placements).To(HaveLen(8), "30/40 of the demand, so 8 of 10 slots")
}

func TestUrgentRequestsArePlacedFirst(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	for id := range uint64(4) {
		r := streamRequest(id, 0)
		r.Priority = 2 - int(id%2)*2
		s.Enqueue(r)
	}
	first := placements(s.Plan(0))
	g.Expect(first).To(HaveKey(uint64(1)))
	g.Expect(first).To(HaveKey(uint64(3)))
}

// A higher rank is never shed while a lower one is served. A request of a lower rank that needs little
// work must not go first for that.
func TestALowerRankDoesNotGoFirstForLittleWork(t *testing.T) {
	for name, lower := range map[string]func(*scheduler.Request){
		"lower class":          func(r *scheduler.Request) { r.Priority = 1 },
		"lower client account": func(r *scheduler.Request) { r.AccountPriority = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScheduler(engineEndpoint("a"))
			fillEndpoint(s, 0, "a")
			small, large := streamRequest(1, 0), streamRequest(2, 0)
			small.PromptTokens, small.OutputTokens = 100, 6
			large.PromptTokens, large.OutputTokens = 20_000, 600
			lower(&small)
			s.Enqueue(small)
			s.Enqueue(large)
			s.Plan(0)
			s.SetPeerReport(10*ms, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1}}})
			g.Expect(placements(s.Plan(10 * ms))).To(Equal(map[uint64]string{2: "a"}))
		})
	}
}

// Requests of one rank go by the time until which they can be started: one with much work left or
// little time goes first, whatever its size, its class or its target latency, and whether requests
// like it were refused before.
func TestRequestsOfARankGoByTheTimeThatTheyCanStillWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := newScheduler(engineEndpoint("a"))
		fillEndpoint(s, 0, "a")
		count := rapid.IntRange(2, 6).Draw(t, "requests")
		// Without estimates of an engine, it reads 48 tokens in a millisecond and an event takes 25.
		latestStart := func(r scheduler.Request) time.Duration {
			first := time.Duration(r.PromptTokens)*time.Second/48_000 + 25*ms
			generation := time.Duration(r.OutputTokens) * 25 * ms / 6 / 2 // half of the expected tokens
			return min(r.NextByteDeadline-first, r.Deadline-first-generation)
		}
		first, soonest := uint64(0), time.Hour
		for id := range uint64(count) {
			r := streamRequest(id+1, 0)
			r.PromptTokens, r.OutputTokens = rapid.IntRange(1, 200).Draw(t, "prompt"), rapid.IntRange(1, 400).Draw(t, "output")
			r.NextByteDeadline = time.Duration(rapid.IntRange(20, 30).Draw(t, "first event")) * 100 * ms
			r.Deadline = time.Duration(rapid.IntRange(20, 100).Draw(t, "end")) * 100 * ms
			r.NextByteDeadline = min(r.NextByteDeadline, r.Deadline)
			s.Enqueue(r)
			if at := latestStart(r); at < soonest-ms { // not a tie
				first, soonest = r.ID, at
			} else if at < soonest+ms {
				t.Skip("two have to start at the same time")
			}
		}
		s.Plan(0)
		s.SetPeerReport(10*ms, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1}}})
		g.Expect(placements(s.Plan(10 * ms))).To(Equal(map[uint64]string{first: "a"}))
	})
}

// fillEndpoint makes another entry use all slots of an endpoint.
func fillEndpoint(s *scheduler.Scheduler, now time.Duration, id string) {
	s.SetPeerReport(now, "other", scheduler.Report{Loads: map[string]scheduler.Load{id: {Running: 2}}})
}

// Prefill of a long prompt stalls all requests at an endpoint, so it counts for each of its slots.
func TestLongPromptAndLongOutputCompeteForOneSlot(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	s.SetPeerReport(0, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1}}})
	// Both have the same size: prompt tokens plus weighted output tokens.
	longPrompt, longOutput := streamRequest(1, 0), streamRequest(2, 0)
	longPrompt.PromptTokens, longPrompt.OutputTokens = 40_000, 10
	longOutput.PromptTokens, longOutput.OutputTokens = 10_100, 3_000
	s.Enqueue(longPrompt)
	s.Enqueue(longOutput)
	g.Expect(placements(s.Plan(0))).To(HaveLen(1))
}

func TestLongPromptIsPlacedAtTheFasterEndpoint(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("fast"), engineEndpoint("slow"))
	recordEventInterval(s, "fast", 11*ms)
	recordEventInterval(s, "slow", 57*ms)
	long := streamRequest(90, 10*time.Second)
	long.PromptTokens = 20_000
	s.Enqueue(long)
	g.Expect(placements(s.Plan(10 * time.Second))).To(Equal(map[uint64]string{90: "fast"}))
}

// recordEventInterval runs a request at an endpoint whose events come at the given interval.
func recordEventInterval(s *scheduler.Scheduler, id string, interval time.Duration) {
	s.SetEndpoints([]directory.Endpoint{engineEndpoint(id)})
	s.Enqueue(streamRequest(1000, 0))
	s.Plan(0)
	s.FirstEvent(10*ms, 1000)
	for range 20 {
		s.Progress(20*ms, 1000, interval)
	}
	s.Done(30*ms, 1000, scheduler.Answered)
	s.SetEndpoints([]directory.Endpoint{engineEndpoint("fast"), engineEndpoint("slow")})
}

func TestRequestsAreRefusedBeforeTheirCallersTimeOut(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	s.SetPeerReport(0, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 2}}})
	for id := range uint64(40) {
		s.Enqueue(streamRequest(id, 0))
	}
	refused := 0
	for now := time.Duration(0); now < 3200*ms; now += 50 * ms {
		s.SetPeerReport(now, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 2}}})
		for _, r := range s.Plan(now).Refusals {
			refused++
			g.Expect(r.RetryAfter).To(BeNumerically(">", 0))
		}
		if now == 500*ms {
			g.Expect(refused).To(BeNumerically(">", 30), "most late requests are refused early")
		}
	}
	g.Expect(refused).To(Equal(40))
}

// A caller that still waits for 0.15 s gets the place that is free then: it takes 15 ms at most from the
// decision to the endpoint or to the caller, and a process that has used up its share of its core
// stands still for the rest of a tenth of a second.
func TestARequestIsKeptUntilItsAnswerOrRefusalWouldComeTooLate(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	s.Enqueue(plainRequest(1, 0))
	g.Expect(s.Plan(850 * ms).Refusals).To(BeEmpty())
	s.SetEndpoints([]directory.Endpoint{deskEndpoint("a")})
	g.Expect(placements(s.Plan(850 * ms))).To(Equal(map[uint64]string{1: "a"}))
	s.SetEndpoints(nil)
	s.Enqueue(plainRequest(2, 0))
	g.Expect(s.Plan(900*ms).Refusals).To(HaveLen(1), "so that its caller learns that it was not run")
}

func TestRetryAfterGrowsWithRefusedWork(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	var first, last time.Duration
	for id := range uint64(200) {
		r := streamRequest(id, 0)
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

func TestRequestWithoutEndpointWaitsAndIsRefusedInTheEnd(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	s.Enqueue(streamRequest(1, 0))
	g.Expect(s.Plan(0).Refusals).To(BeEmpty())
	s.SetEndpoints([]directory.Endpoint{engineEndpoint("a")})
	g.Expect(placements(s.Plan(100 * ms))).To(HaveLen(1))
	s.SetEndpoints(nil)
	s.Enqueue(streamRequest(2, 200*ms))
	g.Expect(s.Plan(3300 * ms).Refusals[0].Reason).To(Equal(scheduler.ReasonNoEndpoint))
}

func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	g := NewWithT(t)
	draining := engineEndpoint("a")
	draining.Draining = true
	s := newScheduler(draining, engineEndpoint("b"))
	s.Enqueue(streamRequest(1, 0))
	g.Expect(placements(s.Plan(0))).To(Equal(map[uint64]string{1: "b"}))
}

func TestUnreachableEndpointIsEjectedAndTriedAgainLater(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	s.Enqueue(streamRequest(1, 0))
	s.Plan(0)
	s.Done(0, 1, scheduler.Unreachable)
	s.Enqueue(streamRequest(2, 10*ms))
	g.Expect(placements(s.Plan(10 * ms))).To(BeEmpty())
	g.Expect(placements(s.Plan(400 * ms))).To(HaveLen(1))
}

func TestSilentEndpointFailsOverOnlyRepeatableRequests(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"), deskEndpoint("d"))
	nonRepeatable := streamRequest(2, 0)
	nonRepeatable.Repeatable = false
	s.Enqueue(streamRequest(1, 0))
	s.Enqueue(nonRepeatable)
	s.Enqueue(plainRequest(3, 0))
	g.Expect(s.Plan(0).Placements).To(HaveLen(3))
	s.SetEndpoints([]directory.Endpoint{engineEndpoint("a"), engineEndpoint("b"), deskEndpoint("d"), deskEndpoint("e")})
	g.Expect(s.Plan(200 * ms).Failovers).To(BeEmpty())
	g.Expect(s.Plan(450 * ms).Failovers).To(Equal([]uint64{3}))
	s.Done(450*ms, 3, scheduler.Unreachable)
	g.Expect(s.Plan(2 * time.Second).Failovers).To(Equal([]uint64{1}))
}

// Long prompts of another entry delay a run of this entry at the same endpoint. Silence
// meanwhile does not mean that the endpoint is lost.
func TestNoFailoverDuringPrefillForOtherEntries(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	s.Enqueue(streamRequest(1, 0))
	g.Expect(s.Plan(0).Placements).To(HaveLen(1))
	s.SetEndpoints([]directory.Endpoint{engineEndpoint("a"), engineEndpoint("b")})
	for now := time.Duration(0); now < 1200*ms; now += 20 * ms {
		s.SetPeerReport(now, "other", scheduler.Report{Loads: map[string]scheduler.Load{"a": {Running: 1, PromptTokens: 40_000}}})
		g.Expect(s.Plan(now).Failovers).To(BeEmpty())
	}
	g.Expect(s.Plan(3*time.Second).Failovers).To(Equal([]uint64{1}), "the report has expired")
}

// A run whose caller waits longer for an event is given more time before it fails over.
func TestSilenceTimeoutGrowsWithTheEventTimeout(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	r := streamRequest(1, 0)
	r.EventTimeout = 3200 * ms
	s.Enqueue(r)
	g.Expect(s.Plan(0).Placements).To(HaveLen(1))
	s.SetEndpoints([]directory.Endpoint{engineEndpoint("a"), engineEndpoint("b")})
	g.Expect(s.Plan(1400 * ms).Failovers).To(BeEmpty())
	g.Expect(s.Plan(1500 * ms).Failovers).To(Equal([]uint64{1}))
}

// A stream whose endpoint falls silent moves while its caller waits at least as long again for an event.
func TestASilentStreamMovesWhileItsCallerStillWaitsAsLong(t *testing.T) {
	for _, patience := range []time.Duration{2 * time.Second, 3200 * ms, 4 * time.Second} {
		g := NewWithT(t)
		s := newScheduler(engineEndpoint("a"))
		r := streamRequest(1, 0)
		r.EventTimeout, r.NextByteDeadline = patience, patience
		s.Enqueue(r)
		g.Expect(s.Plan(0).Placements).To(HaveLen(1))
		s.SetEndpoints([]directory.Endpoint{engineEndpoint("a"), engineEndpoint("b")})
		g.Expect(s.Plan(patience*2/5).Failovers).To(BeEmpty(), "%v", patience)
		g.Expect(s.Plan(patience/2).Failovers).To(Equal([]uint64{1}), "%v", patience)
	}
}

// A stream that failed over after its caller received events precedes all waiting
// requests, and is not refused because of the backlog.
func TestStartedStreamIsPlacedFirstAndNotRefused(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	for id := range uint64(60) {
		r := streamRequest(id+10, 0)
		r.OutputTokens = 3000
		s.Enqueue(r)
	}
	running := placements(s.Plan(0))
	g.Expect(running).To(HaveLen(2))
	again := streamRequest(1, 0)
	again.StreamStarted, again.Priority, again.OutputTokens = true, 3, 5000
	again.NextByteDeadline = 2 * time.Second
	s.Enqueue(again)
	plan := s.Plan(600 * ms)
	g.Expect(plan.Refusals).NotTo(BeEmpty(), "others are refused because of the backlog")
	for _, refused := range plan.Refusals {
		g.Expect(refused.Request).NotTo(Equal(uint64(1)))
	}
	for id := range running {
		s.Done(700*ms, id, scheduler.Answered)
		break
	}
	g.Expect(placements(s.Plan(700 * ms))).To(HaveKey(uint64(1)))
}

// A silent endpoint may still complete its answer, so a failover without another
// endpoint would only lose the run.
func TestNoFailoverWithoutAnotherUsableEndpoint(t *testing.T) {
	draining := engineEndpoint("b")
	draining.Draining = true
	for name, others := range map[string][]directory.Endpoint{
		"no other endpoint": nil, "other endpoint drains": {draining}, "other endpoint of another service": {deskEndpoint("d")},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newScheduler(append(others, engineEndpoint("a"))...)
			s.Enqueue(streamRequest(1, 0))
			g.Expect(s.Plan(0).Placements).To(HaveLen(1))
			g.Expect(s.Plan(3 * time.Second).Failovers).To(BeEmpty())
		})
	}
}

func TestNoFailoverShortlyBeforeTheDeadline(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(deskEndpoint("d"))
	short := plainRequest(1, 0)
	short.NextByteDeadline, short.Deadline = 300*ms, 300*ms
	s.Enqueue(short)
	g.Expect(s.Plan(0).Placements).To(HaveLen(1))
	s.SetEndpoints([]directory.Endpoint{deskEndpoint("d"), deskEndpoint("e")})
	for now := time.Duration(0); now < 300*ms; now += 20 * ms {
		g.Expect(s.Plan(now).Failovers).To(BeEmpty())
	}
}

func TestFailingEndpointIsAvoided(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(deskEndpoint("bad"), deskEndpoint("good"))
	for id := range uint64(20) {
		s.Enqueue(plainRequest(id, 0))
		p := s.Plan(0).Placements[0]
		outcome := scheduler.Answered
		if p.Endpoint == "bad" {
			outcome = scheduler.Failed
		}
		s.Done(15*ms, id, outcome)
	}
	for id := uint64(100); id < 110; id++ {
		s.Enqueue(plainRequest(id, 0))
		g.Expect(placements(s.Plan(0))).To(HaveKeyWithValue(id, "good"))
		s.Done(15*ms, id, scheduler.Answered)
	}
}

func TestNewIncarnationOfAnEjectedEndpointIsUsed(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(engineEndpoint("a"))
	s.Enqueue(streamRequest(1, 0))
	s.Plan(0)
	s.Done(0, 1, scheduler.Unreachable)
	again := engineEndpoint("a")
	again.Born = 2
	s.SetEndpoints([]directory.Endpoint{again})
	s.Enqueue(streamRequest(2, 10*ms))
	g.Expect(placements(s.Plan(10 * ms))).To(HaveLen(1))
}
