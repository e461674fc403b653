package endpoint_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/endpoint"
)

const (
	grantLease      = 2 * time.Second
	recordRetention = 40 * time.Second
	answerRetention = 5 * time.Second
	callerGrace     = time.Second
	maxBuffered     = 1000
)

// grantRecord is the test's own record of a grant.
type grantRecord struct {
	attempt     endpoint.AttemptKey
	key         endpoint.ReservationKey
	expires     time.Duration
	rank        int
	dispatched  bool
	voided      bool
	agent       int // incarnation that gave it, counted from 1
	preemptible bool
}

// execution is a run at the simulated engine.
type execution struct {
	agent       int // incarnation that started it, counted from 1
	rank        int
	suspended   bool
	ended       bool
	endedAt     time.Duration
	preemptible bool
}

// simulation drives one Machine over a network that loses, repeats, delays and
// reorders messages, and checks each effect against the state that the test keeps
// of grants and of runs at the engine.
type simulation struct {
	now         time.Duration
	machine     *endpoint.Machine
	agent       int // current incarnation, counted from 1
	places      int
	draining    bool
	unreachable bool // the engine does not accept requests
	floorRank   int
	floorUntil  time.Duration
	sequence    int
	network     []endpoint.Event
	waiting     map[endpoint.ReservationKey]endpoint.Reserve
	expires     map[endpoint.ReservationKey]time.Duration
	released    map[endpoint.ReservationKey]time.Duration // when the record of the release expires
	answered    map[endpoint.ReservationKey]bool
	grants      map[endpoint.GrantID]*grantRecord
	executions  map[endpoint.AttemptKey]*execution
	notStarted  map[endpoint.GrantID]bool // grants resolved as not started
	keptBytes   map[endpoint.AttemptKey]int64
}

func newSimulation() *simulation {
	s := &simulation{
		places: 2, grants: map[endpoint.GrantID]*grantRecord{}, executions: map[endpoint.AttemptKey]*execution{},
		notStarted: map[endpoint.GrantID]bool{},
	}
	s.restart(nil)
	return s
}

// restart starts a new incarnation of the agent; the runs at the engine continue.
func (s *simulation) restart(*rapid.T) {
	s.agent++
	s.draining, s.unreachable, s.floorRank, s.floorUntil = false, false, math.MaxInt, 0
	s.waiting = map[endpoint.ReservationKey]endpoint.Reserve{}
	s.expires = map[endpoint.ReservationKey]time.Duration{}
	s.keptBytes = map[endpoint.AttemptKey]int64{}
	s.released = map[endpoint.ReservationKey]time.Duration{}
	s.answered = map[endpoint.ReservationKey]bool{}
	s.machine = endpoint.New(endpoint.Config{
		Incarnation: fmt.Sprint("m", s.agent), Places: s.places, GrantLease: grantLease, RecordRetention: recordRetention,
		AnswerRetention: answerRetention, CallerGrace: callerGrace, MaxWaiting: 6, MaxSuspended: 3, MaxBuffered: maxBuffered,
		PreemptAfter: 10 * time.Millisecond, Stretch: 10,
	})
	s.machine.Step(s.now, endpoint.Tick{}) // sets the machine's time, from which it counts a floor
}

// send puts a message into the network.
func (s *simulation) send(e endpoint.Event) { s.network = append(s.network, e) }

// active reports whether a run was started by the current incarnation and occupies the engine.
func (s *simulation) active(x *execution) bool { return x.agent == s.agent && !x.ended && !x.suspended }

// open reports whether a grant of this incarnation can still be dispatched.
func (s *simulation) open(g *grantRecord) bool {
	return g.agent == s.agent && !g.dispatched && !g.voided && s.now < g.expires
}

// held returns the number of places that open grants and runs hold.
func (s *simulation) held() int {
	held := 0
	for _, g := range s.grants {
		if s.open(g) {
			held++
		}
	}
	for _, x := range s.executions {
		if s.active(x) {
			held++
		}
	}
	return held
}

// step passes one event to the machine and checks every effect.
func (s *simulation) step(t *rapid.T, event endpoint.Event) {
	for key, until := range s.expires {
		if s.now >= until {
			delete(s.waiting, key)
			delete(s.expires, key)
		}
	}
	if s.now >= s.floorUntil {
		s.floorRank = math.MaxInt
	}
	switch e := event.(type) {
	case endpoint.Reserve:
		_, known := s.waiting[e.Key]
		if !known && !s.draining && !s.unreachable && e.TimeLeft > 0 {
			s.waiting[e.Key], s.expires[e.Key] = e, s.now+e.TimeLeft
		}
	case endpoint.Release:
		if !s.answered[e.Key] {
			s.released[e.Key], s.answered[e.Key] = s.now+recordRetention, true
		}
		delete(s.waiting, e.Key)
		for _, g := range s.grants {
			g.voided = g.voided || g.key == e.Key && !g.dispatched
		}
	case endpoint.Resolve:
		if g := s.grants[e.Grant]; g != nil && g.agent == s.agent && e.Incarnation == s.incarnationID() {
			g.voided = g.voided || !g.dispatched
		}
	case endpoint.SetReachable:
		if s.unreachable = !e.Reachable; s.unreachable {
			clear(s.waiting)
		}
	case endpoint.SetPlaces:
		s.places = e.Places
	case endpoint.Drain:
		s.draining = e.Action != endpoint.DrainRecall
		for _, g := range s.grants {
			g.voided = g.voided || e.Action == endpoint.DrainForce && !g.dispatched && g.agent == s.agent
		}
		if s.draining {
			clear(s.waiting)
		}
	}
	for _, effect := range s.machine.Step(s.now, event) {
		s.checkEffect(t, event, effect)
	}
	if _, ok := event.(endpoint.Progress); ok {
		s.step(t, endpoint.Tick{}) // Progress leaves expiries and free places to the next event
		return
	}
	s.checkNoIdlePlace(t)
}

// remembered reports whether the machine must still have a record of the attempt's run.
func (s *simulation) remembered(key endpoint.AttemptKey) bool {
	x := s.executions[key]
	return x != nil && x.agent == s.agent && (!x.ended || s.now < x.endedAt+recordRetention)
}

// incarnationID returns the agent's incarnation as messages carry it.
func (s *simulation) incarnationID() string { return fmt.Sprint("m", s.agent) }

// checkEffect checks one effect and plays the part of the entry and the engine in response.
func (s *simulation) checkEffect(t *rapid.T, event endpoint.Event, effect endpoint.Effect) {
	switch e := effect.(type) {
	case endpoint.Answer:
		s.checkAnswer(t, e)
	case endpoint.Start:
		s.checkStart(t, event.(endpoint.Dispatch), e)
	case endpoint.Refuse:
		if g := s.grants[event.(endpoint.Dispatch).Grant]; g != nil && e.Kind == endpoint.RefusedDeadline {
			g.voided = true
		}
		if e.Kind != endpoint.RefusedRepeated && s.remembered(e.Attempt) {
			t.Fatalf("attempt %v refused with %q although it ran", e.Attempt, e.Kind)
		}
	case endpoint.Resolved:
		s.checkResolved(t, event.(endpoint.Resolve), e)
	case endpoint.Suspend:
		s.checkSuspend(t, e)
	case endpoint.Resume:
		x := s.executions[e.Attempt]
		if !x.suspended && !x.ended || x.rank > s.floorRank {
			t.Fatalf("attempt %v resumed although it is not suspended or is below the floor", e.Attempt)
		}
		for key, r := range s.waiting {
			if r.Rank < x.rank && r.Rank <= s.floorRank {
				t.Fatalf("attempt %v of rank %d resumed before more urgent reservation %v", e.Attempt, x.rank, key)
			}
		}
		ok := rapid.IntRange(0, 4).Draw(t, "import fails") > 0
		x.suspended = false
		s.send(endpoint.Resumed{Attempt: e.Attempt, OK: ok})
	case endpoint.Cancel:
		if s.executions[e.Attempt].ended {
			return // the report of its end is still in the network
		}
		s.endRun(e.Attempt, endpoint.Ended{Attempt: e.Attempt, Outcome: endpoint.Cancelled, Acknowledged: true})
	case endpoint.DiscardAnswer:
		if _, held := s.keptBytes[e.Attempt]; !held {
			t.Fatalf("answer of %v discarded although it is not kept", e.Attempt)
		}
		delete(s.keptBytes, e.Attempt)
	case endpoint.FloorSet:
		asked := event.(endpoint.Floor)
		s.floorRank = min(s.floorRank, asked.Rank)
		s.floorUntil = max(s.floorUntil, s.now+asked.Duration)
		for key, x := range s.executions {
			if s.active(x) && x.rank > asked.Rank {
				t.Fatalf("floor %d set while attempt %v of rank %d holds a place", asked.Rank, key, x.rank)
			}
		}
	case endpoint.Drained:
		if !s.draining || s.held() > 0 {
			t.Fatalf("drained with %d places held", s.held())
		}
	}
}

func (s *simulation) checkAnswer(t *rapid.T, e endpoint.Answer) {
	asked, waits := s.waiting[e.Key]
	delete(s.waiting, e.Key)
	s.answered[e.Key] = true
	if e.Verdict != endpoint.Granted {
		return
	}
	if s.now < s.released[e.Key] {
		t.Fatalf("reservation %v granted after its release", e.Key)
	}
	if g := s.grants[e.Grant]; g != nil {
		if !s.open(g) || s.now+e.Lease != g.expires {
			t.Fatalf("repeated answer gives grant %s, which is not open or has another expiry", e.Grant)
		}
		return
	}
	if !waits || s.draining || s.unreachable || asked.Rank > s.floorRank {
		t.Fatalf("reservation %v granted: waits %v, draining %v, floor %d", e.Key, waits, s.draining, s.floorRank)
	}
	for key, other := range s.waiting {
		if other.Rank < asked.Rank {
			t.Fatalf("reservation %v of rank %d granted while more urgent %v of rank %d waits", e.Key, asked.Rank, key, other.Rank)
		}
	}
	if s.held() >= s.places {
		t.Fatalf("reservation %v granted with %d of %d places held", e.Key, s.held(), s.places)
	}
	s.grants[e.Grant] = &grantRecord{
		attempt: asked.Attempt, key: e.Key, expires: s.now + e.Lease, rank: asked.Rank,
		agent: s.agent, preemptible: asked.Preemptible,
	}
	s.send(endpoint.Dispatch{Attempt: asked.Attempt, Grant: e.Grant, Incarnation: s.incarnationID(), TimeLeft: time.Duration(rapid.IntRange(0, 9).Draw(t, "time left")) * time.Second, ContinueUnread: asked.Rank == 1})
	resolve := endpoint.Resolve{Attempt: asked.Attempt, Grant: e.Grant, Incarnation: s.incarnationID()}
	switch rapid.IntRange(0, 5).Draw(t, "release or resolve") {
	case 0:
		s.send(endpoint.Release{Key: e.Key})
	case 1:
		s.send(resolve)
	case 2:
		s.send(resolve)
		resolve.Cancel = true
		s.send(resolve)
	}
}

func (s *simulation) checkStart(t *rapid.T, asked endpoint.Dispatch, e endpoint.Start) {
	g := s.grants[e.Grant]
	if g == nil || g.attempt != e.Attempt || asked.Incarnation != s.incarnationID() || !s.open(g) {
		t.Fatalf("attempt %v started under grant %s, which is not valid for it: %+v at %v", e.Attempt, e.Grant, g, s.now)
	}
	if s.remembered(e.Attempt) {
		t.Fatalf("attempt %v started twice", e.Attempt)
	}
	if s.notStarted[e.Grant] || g.rank > s.floorRank {
		t.Fatalf("attempt %v started although its grant was resolved as not started or is below the floor", e.Attempt)
	}
	if asked.TimeLeft <= 0 {
		t.Fatalf("attempt %v started after its deadline", e.Attempt)
	}
	g.dispatched = true
	s.executions[e.Attempt] = &execution{agent: s.agent, rank: g.rank, preemptible: g.preemptible}
}

func (s *simulation) checkResolved(t *rapid.T, asked endpoint.Resolve, e endpoint.Resolved) {
	x := s.executions[e.Attempt]
	ran := x != nil && x.agent == s.agent
	switch {
	case asked.Incarnation != s.incarnationID():
		if !e.OtherIncarnation || e.State != endpoint.StateUnknown {
			t.Fatalf("attempt of another incarnation resolved as %v", e.State)
		}
	case e.State == endpoint.StateNotStarted:
		if s.grants[asked.Grant].dispatched || s.remembered(e.Attempt) {
			t.Fatalf("attempt %v resolved as not started although it ran", e.Attempt)
		}
		s.notStarted[asked.Grant] = true
	case e.State == endpoint.StateEnded || e.State == endpoint.StateCancelled:
		if !ran || !x.ended {
			t.Fatalf("attempt %v resolved as ended although it did not end", e.Attempt)
		}
	}
}

func (s *simulation) checkSuspend(t *rapid.T, e endpoint.Suspend) {
	victim := s.executions[e.Attempt]
	if victim.ended { // the report of its end is still in the network
		s.send(endpoint.Suspended{Attempt: e.Attempt})
		return
	}
	if !victim.preemptible || !s.active(victim) {
		t.Fatalf("attempt %v suspended although it is not preemptible or does not hold a place", e.Attempt)
	}
	needed := false
	for _, r := range s.waiting {
		needed = needed || r.Rank < victim.rank && r.Rank <= s.floorRank
	}
	if !needed {
		t.Fatalf("attempt %v suspended although no more urgent reservation waits", e.Attempt)
	}
	s.send(endpoint.Suspended{Attempt: e.Attempt, OK: rapid.IntRange(0, 4).Draw(t, "export fails") > 0})
}

// endRun ends an execution at the engine; the report of it goes over the network.
func (s *simulation) endRun(key endpoint.AttemptKey, report endpoint.Ended) {
	s.executions[key].ended, s.executions[key].endedAt = true, s.now
	s.keptBytes[key] = report.Buffered
	// The machine counts the place as held until it receives the report.
	s.send(report)
}

// checkNoIdlePlace fails when a reservation that the floor allows waits while a place is
// free, or when the machine counts other held places than the test does.
func (s *simulation) checkNoIdlePlace(t *rapid.T) {
	status := s.machine.Status()
	if len(s.network) == 0 && status.Held != s.held() {
		t.Fatalf("%d places are held, but the status is %+v", s.held(), status)
	}
	if status.Held >= status.Places {
		return
	}
	for key, r := range s.waiting {
		if r.Rank <= s.floorRank {
			t.Fatalf("reservation %v waits while a place is free: %+v", key, status)
		}
	}
}

// deliverOldest delivers the oldest message in the network.
func (s *simulation) deliverOldest(t *rapid.T) {
	if len(s.network) == 0 {
		t.Skip("no message in the network")
	}
	s.deliverAt(t, 0, false)
}

// deliverOutOfOrder delivers any message in the network, and may leave it there to
// be delivered again.
func (s *simulation) deliverOutOfOrder(t *rapid.T) {
	if len(s.network) == 0 {
		t.Skip("no message in the network")
	}
	s.deliverAt(t, rapid.IntRange(0, len(s.network)-1).Draw(t, "message"), rapid.Bool().Draw(t, "repeat"))
}

// deliverAt delivers the message at an index and removes it, unless it is to be
// repeated and is not a report within the agent.
func (s *simulation) deliverAt(t *rapid.T, i int, repeat bool) {
	event := s.network[i]
	switch e := event.(type) {
	case endpoint.Ended:
		repeat = false
	case endpoint.Resumed:
		repeat = false
		if x := s.executions[e.Attempt]; !e.OK && s.active(x) {
			x.suspended = true
		}
	case endpoint.Suspended:
		repeat = false
		if x := s.executions[e.Attempt]; e.OK && s.active(x) {
			x.suspended = true
		}
	}
	if !repeat {
		s.network = append(s.network[:i:i], s.network[i+1:]...)
	}
	s.step(t, event)
}

func (s *simulation) loseMessage(t *rapid.T) {
	if len(s.network) == 0 {
		t.Skip("no message in the network")
	}
	i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
	switch s.network[i].(type) {
	case endpoint.Ended, endpoint.Suspended, endpoint.Resumed:
		t.Skip("a report within the agent cannot be lost")
	}
	s.network = append(s.network[:i:i], s.network[i+1:]...)
}

func (s *simulation) reserve(t *rapid.T) {
	s.sequence++
	if rapid.IntRange(0, 5).Draw(t, "release") == 0 {
		s.send(endpoint.Release{Key: endpoint.ReservationKey{Incarnation: "e", ID: fmt.Sprint(s.sequence)}})
	}
	rank := rapid.IntRange(0, 2).Draw(t, "rank")
	s.send(endpoint.Reserve{
		Key: endpoint.ReservationKey{Incarnation: "e", ID: fmt.Sprint(s.sequence)},
		Attempt: endpoint.AttemptKey{
			RequestID: fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request")), Attempt: uint32(rapid.IntRange(1, 2).Draw(t, "attempt")),
		},
		Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), Weight: 1,
		Tier: fmt.Sprint("t", rank), Rank: rank, Preemptible: rank == 2,
		Cost:     time.Duration(rapid.IntRange(1, 100).Draw(t, "cost")) * time.Second / 10,
		TimeLeft: time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Second,
	})
}

// finishRun lets the engine end one of its runs, or none.
func (s *simulation) finishRun(t *rapid.T) {
	for _, key := range s.running() {
		if rapid.Bool().Draw(t, "finish this") {
			outcome := endpoint.Outcome(rapid.IntRange(0, 1).Draw(t, "outcome"))
			s.endRun(key, endpoint.Ended{Attempt: key, Outcome: outcome, Buffered: int64(rapid.IntRange(0, 600).Draw(t, "bytes"))})
			return
		}
	}
}

// running returns the attempts with an active run, in a fixed order.
func (s *simulation) running() (all []endpoint.AttemptKey) {
	for i := range 10 {
		for attempt := range uint32(3) {
			key := endpoint.AttemptKey{RequestID: fmt.Sprint("r", i), Attempt: attempt}
			if x := s.executions[key]; x != nil && s.active(x) {
				all = append(all, key)
			}
		}
	}
	return all
}

// Guards against a second run of an attempt or grant, and against leaked places,
// when messages between entry and agent are lost, repeated, delayed or reordered,
// and the agent restarts, drains or gets a rank floor at any time.
//
// rapid sorts the names of the actions: another order changes the sequence that
// a seed stands for.
func TestUnreliableNetworkStartsEachGrantAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"reserve": s.reserve, "deliver": s.deliverOldest, "deliver again": s.deliverOldest, "deliver more": s.deliverOldest,
			"deliver out of order": s.deliverOutOfOrder, "lose": s.loseMessage, "finish": s.finishRun,
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart now") == 0 {
					s.restart(t)
					s.network = dropReports(s.network)
				}
			},
			"pass time": func(t *rapid.T) {
				s.now += time.Duration(rapid.SampledFrom([]int{1, 15, 15, 300, 300, 1999, 2000, 6000, 41000}).Draw(t, "ms")) * time.Millisecond
				if rapid.Bool().Draw(t, "tick") {
					s.step(t, endpoint.Tick{})
				}
			},
			"control": func(t *rapid.T) {
				s.send(rapid.SampledFrom([]endpoint.Event{
					endpoint.Drain{Action: endpoint.DrainStart},
					endpoint.Drain{Action: endpoint.DrainRecall},
					endpoint.Drain{Action: endpoint.DrainRecall},
					endpoint.SetPlaces{Places: 3},
					endpoint.SetPlaces{Places: 1},
					endpoint.Drain{Action: endpoint.DrainRecall},
					endpoint.Drain{Action: endpoint.DrainForce},
					endpoint.SetReachable{},
					endpoint.SetReachable{Reachable: true},
					endpoint.SetReachable{Reachable: true},
					endpoint.Floor{Rank: 0, Duration: 5 * time.Second},
					endpoint.Floor{Rank: 1, Duration: 20 * time.Second},
					endpoint.Floor{Rank: 1, Duration: 3 * time.Second},
				}).Draw(t, "event"))
			},
			"clear network": func(t *rapid.T) {
				for len(s.network) > 0 {
					s.deliverAt(t, 0, false)
				}
			},
			"reader or progress": func(t *rapid.T) {
				for _, key := range s.running() {
					s.send(rapid.SampledFrom([]endpoint.Event{
						endpoint.CallerGone{Attempt: key},
						endpoint.CallerBack{Attempt: key},
						endpoint.Progress{Attempt: key, Context: 10, Remaining: time.Second},
					}).Draw(t, "event"))
				}
			},
		})
		s.checkNothingLeaks(t)
	})
}

// dropReports removes the reports that are lost when the agent restarts.
func dropReports(network []endpoint.Event) (kept []endpoint.Event) {
	for _, event := range network {
		switch event.(type) {
		case endpoint.Ended, endpoint.Suspended, endpoint.Resumed, endpoint.CallerGone, endpoint.CallerBack, endpoint.Progress:
		default:
			kept = append(kept, event)
		}
	}
	return kept
}

// checkNothingLeaks lets every reservation, grant, run and record end and checks that
// the machine counts none of them any more.
func (s *simulation) checkNothingLeaks(t *rapid.T) {
	for range 20 {
		for len(s.network) > 0 {
			s.deliverAt(t, 0, false)
		}
		for _, key := range s.running() {
			s.endRun(key, endpoint.Ended{Attempt: key, Outcome: endpoint.Complete})
		}
		s.now += 10 * time.Second
		s.step(t, endpoint.SetReachable{Reachable: true})
		s.step(t, endpoint.Drain{Action: endpoint.DrainRecall})
	}
	s.now += recordRetention
	s.step(t, endpoint.Tick{})
	status := s.machine.Status()
	if status.Held+status.Waiting+status.Suspended+status.Kept > 0 || len(s.keptBytes) > 0 {
		t.Fatalf("not released after everything ended: %+v, answers kept %v", status, s.keptBytes)
	}
}
