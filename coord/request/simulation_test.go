package request_test

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/request"
)

const (
	lease     = time.Second
	deadline  = time.Minute
	requestID = "the-request"
)

// execution records one start of the request at an endpoint. The checks compare
// what the entries report with these records.
type execution struct {
	agent       *agent
	incarnation int
	entry       int
	attempt     uint32
	state       string // running, lost (its agent was restarted), broken, cancelled or complete
	answer      []byte
}

// grant is a place that an agent keeps for a reservation.
type grant struct {
	id          string
	until       time.Duration
	voided      bool
	run         *execution
	reservation string // entry and number of the reservation
}

// agent simulates an agent that keeps to the protocol.
type agent struct {
	name        string
	incarnation int
	grants      map[string]*grant
	runs        []*execution
}

// call is a message in transit. It may reach its peer late, twice or never, and
// the entry may see an error before the message has arrived.
type call struct {
	entry    int
	label    string
	deliver  func(heard bool) request.Event // handles the message at the peer; heard = the entry gets the answer
	failure  request.Event                  // event at the entry when the answer is lost; nil = none
	answered bool
}

// stream is the answer of a run that an entry is reading.
type stream struct {
	entry  int
	id     uint64
	cursor int
	run    *execution
}

// entryState is an entry with its state machine and the answer that its caller got.
type entryState struct {
	machine       *request.Request
	answer        *request.Answer
	received      []byte
	final         request.Effect
	timerAt       time.Duration
	killed        bool
	streams       []*stream
	outstanding   map[uint64]bool   // reservations not yet released, denied, lapsed or used
	reservationOf map[string]uint64 // reservation number by grant ID
}

// simulation connects entries, agents and a registrar through unreliable messages.
type simulation struct {
	t               *rapid.T
	now             time.Duration
	spec            request.Spec
	config          request.Config
	agents          []*agent
	entries         []*entryState
	calls           []*call
	executions      []*execution
	holders         map[string]int          // entry that has the right to start, by request ID
	heldRun         request.RegisterReplied // run of the entry that has the right to start
	registrarUnsure bool                    // the registrar was replaced by one that knows no earlier registrations
	grantCount      int
	toldUnsure      map[int]bool // entries that the registrar has told that it is unsure
	lastLocator     *int         // entry that asked the pool last; agents refuse all others
	faultRate       int          // probability of a fault, in tenths
}

func (w *simulation) Pick(_ time.Duration, exclude []string, n int) []string {
	var picked []string
	for _, a := range w.agents {
		if !slices.Contains(exclude, a.name) && len(picked) < n {
			picked = append(picked, a.name)
		}
	}
	return picked
}

func (w *simulation) Retry(_ time.Duration, attempt uint32) (time.Duration, bool) {
	return 10 * time.Millisecond, attempt < 4
}

func (w *simulation) Backoff(failures int) time.Duration {
	return time.Duration(failures) * 10 * time.Millisecond
}

func newSimulation(t *rapid.T, entries int) *simulation {
	w := &simulation{t: t, holders: map[string]int{}, toldUnsure: map[int]bool{}, faultRate: rapid.IntRange(0, 4).Draw(t, "fault rate")}
	w.spec = request.Spec{
		ID: requestID, ChosenID: entries > 1 || rapid.Bool().Draw(t, "chosen"),
		NonIdempotent: rapid.Bool().Draw(t, "non-idempotent"), Deadline: deadline,
	}
	w.config = request.Config{
		Reservations: rapid.IntRange(1, 3).Draw(t, "reservations"), Strict: rapid.Bool().Draw(t, "strict"),
		QueryFailureLimit: 3, ReadFailureLimit: 4, RetryAfter: time.Second,
	}
	for i := range 3 {
		w.agents = append(w.agents, &agent{name: fmt.Sprint("agent", i), grants: map[string]*grant{}})
	}
	for i := range entries {
		w.entries = append(w.entries, &entryState{machine: request.New(w.spec, w.config, w), answer: request.NewAnswer(requestID), outstanding: map[uint64]bool{}, reservationOf: map[string]uint64{}})
		w.step(i, request.Admitted{})
	}
	return w
}

// fault draws whether a fault occurs.
func (w *simulation) fault(label string) bool {
	return rapid.IntRange(0, 9).Draw(w.t, label) < w.faultRate
}

func (w *simulation) agent(name string) *agent {
	at := slices.IndexFunc(w.agents, func(a *agent) bool { return a.name == name })
	return w.agents[at]
}

// step passes an event to an entry's state machine and performs the effects.
func (w *simulation) step(entry int, event request.Event) {
	s := w.entries[entry]
	if s.killed || event == nil {
		return
	}
	reply, replied := event.(request.ReserveReplied)
	switch {
	case replied && reply.Verdict == request.ReserveGranted:
		s.reservationOf[reply.Grant.ID] = reply.Reservation
	case replied && reply.Verdict != request.ReserveFailed:
		delete(s.outstanding, reply.Reservation)
	}
	for _, effect := range s.machine.Step(w.now, event) {
		w.performEffect(entry, s, effect)
	}
}

func (w *simulation) send(entry int, label string, failure request.Event, deliver func(heard bool) request.Event) {
	w.calls = append(w.calls, &call{entry: entry, label: label, deliver: deliver, failure: failure})
}

func (w *simulation) performEffect(entry int, s *entryState, effect request.Effect) {
	switch e := effect.(type) {
	case request.Reserve:
		s.outstanding[e.Reservation] = true
		lost := request.ReserveReplied{Reservation: e.Reservation}
		w.send(entry, "reserve", lost, func(bool) request.Event { return w.reserve(entry, e) })
	case request.Release:
		delete(s.outstanding, e.Reservation)
		w.send(entry, "release", nil, func(bool) request.Event { w.release(entry, e); return nil })
	case request.Register:
		lost := request.RegisterReplied{Query: e.Query}
		w.send(entry, "register", lost, func(bool) request.Event { return w.register(entry, e) })
	case request.Locate:
		lost := request.LocateReplied{Query: e.Query}
		w.send(entry, "locate", lost, func(bool) request.Event { return w.locate(entry, e) })
	case request.Dispatch:
		delete(s.outstanding, s.reservationOf[e.Grant.ID])
		s.answer.BeginAttempt(e.Attempt)
		lost := request.StreamReported{Stream: e.Stream, Kind: request.StreamInterrupted}
		w.send(entry, "dispatch", lost, func(heard bool) request.Event { return w.dispatch(entry, e, heard) })
	case request.Read:
		s.answer.BeginAttempt(e.Attempt)
		lost := request.StreamReported{Stream: e.Stream, Kind: request.StreamInterrupted}
		w.send(entry, "read", lost, func(heard bool) request.Event { return w.read(entry, e, heard) })
	case request.Resolve:
		lost := request.ResolveReplied{Query: e.Query}
		w.send(entry, "resolve", lost, func(bool) request.Event {
			return request.ResolveReplied{Query: e.Query, State: w.resolve(e.Grant, e.Cancel)}
		})
	case request.Cancel:
		w.send(entry, "cancel", nil, func(bool) request.Event { w.resolve(e.Grant, true); return nil })
	case request.CloseStream:
		s.streams = nil
	case request.SetTimer:
		s.timerAt = e.At
	default:
		if s.final != nil {
			w.t.Fatalf("entry %d: second final effect %#v after %#v", entry, e, s.final)
		}
		s.final = e
	}
}

func (w *simulation) reserve(entry int, e request.Reserve) request.Event {
	if w.fault("denied") {
		return request.ReserveReplied{Reservation: e.Reservation, Verdict: request.ReserveDenied}
	}
	a := w.agent(e.Agent)
	w.grantCount++
	g := &grant{id: fmt.Sprint("g", w.grantCount), until: w.now + lease, reservation: fmt.Sprint(entry, "/", e.Reservation)}
	a.grants[g.id] = g
	return request.ReserveReplied{Reservation: e.Reservation, Verdict: request.ReserveGranted, Grant: request.Grant{
		ID: g.id, Incarnation: fmt.Sprint(a.incarnation), Lease: lease,
	}}
}

func (w *simulation) release(entry int, e request.Release) {
	for _, g := range w.agent(e.Agent).grants {
		if g.reservation == fmt.Sprint(entry, "/", e.Reservation) && g.run == nil {
			g.voided = true
		}
	}
}

// register gives the right to start to one entry only. A registrar that was
// replaced answers unsure until an entry that got this answer has asked the pool.
func (w *simulation) register(entry int, e request.Register) request.Event {
	reply := request.RegisterReplied{Query: e.Query, Verdict: request.RegisterGranted}
	holder, held := w.holders[requestID]
	if held && holder != entry {
		reply.Verdict, reply.Agent, reply.Attempt = request.RegisterHeld, w.heldRun.Agent, w.heldRun.Attempt
		return reply
	}
	if w.registrarUnsure && !held && !(w.toldUnsure[entry] && e.Located) {
		w.toldUnsure[entry] = true
		reply.Verdict = request.RegisterUnsure
		return reply
	}
	w.holders[requestID] = entry
	w.heldRun = request.RegisterReplied{Agent: e.Agent, Attempt: e.Attempt}
	return reply
}

func (w *simulation) locate(entry int, e request.Locate) request.Event {
	reply := request.LocateReplied{Query: e.Query, Complete: true}
	for _, run := range w.executions {
		if run.state == "lost" {
			reply.Complete = false // the agent does not know the runs of its last incarnation
		} else {
			reply.Agent, reply.Attempt = run.agent.name, run.attempt
		}
	}
	w.lastLocator = &entry // from now on every agent refuses the ID to all other entries
	return reply
}

func (w *simulation) dispatch(entry int, e request.Dispatch, heard bool) request.Event {
	a := w.agent(e.Grant.Agent)
	refused := request.StreamReported{Stream: e.Stream, Kind: request.StreamRefused, Outcome: request.OutcomeNotRun, Status: 503}
	g := a.grants[e.Grant.ID]
	if g == nil || g.voided || g.run != nil || w.now >= g.until || fmt.Sprint(a.incarnation) != e.Grant.Incarnation {
		return refused
	}
	if w.lastLocator != nil && *w.lastLocator != entry {
		g.voided = true
		refused.Status = 409
		return refused
	}
	w.start(a, g, entry, e.Attempt)
	if heard {
		s := w.entries[entry]
		s.streams = append(s.streams, &stream{entry: entry, id: e.Stream, run: g.run})
	}
	return nil
}

// start lets an endpoint execute the request and checks that it is allowed to.
func (w *simulation) start(a *agent, g *grant, entry int, attempt uint32) {
	for _, other := range w.executions {
		if other.state == "running" || other.state == "lost" {
			w.t.Fatalf("attempt %d of entry %d starts while attempt %d of entry %d is %s", attempt, entry, other.attempt, other.entry, other.state)
		}
		if w.spec.NonIdempotent || w.config.Strict {
			w.t.Fatalf("non-idempotent or strict request is executed twice")
		}
		if other.state == "complete" {
			w.t.Fatalf("request is executed again after a complete execution")
		}
	}
	n := len(w.executions)
	run := &execution{agent: a, incarnation: a.incarnation, entry: entry, attempt: attempt, state: "running"}
	run.answer = bytes.Repeat([]byte{byte('A' + n)}, rapid.IntRange(0, 6).Draw(w.t, "length"))
	for i := range run.answer {
		run.answer[i] += byte(i) // each byte identifies its run and its offset
	}
	g.run = run
	a.runs = append(a.runs, run)
	w.executions = append(w.executions, run)
}

func (w *simulation) resolve(of request.Grant, cancel bool) request.AttemptState {
	a := w.agent(of.Agent)
	g := a.grants[of.ID]
	if fmt.Sprint(a.incarnation) != of.Incarnation || g == nil {
		return w.resolveEarlierIncarnation(a, of, cancel)
	}
	if g.run == nil {
		g.voided = true
		return request.AttemptNotStarted
	}
	switch g.run.state {
	case "running":
		if !cancel {
			return request.AttemptRunning
		}
		g.run.state = "cancelled"
		return request.AttemptCancelled
	case "cancelled":
		return request.AttemptCancelled
	}
	return request.AttemptEnded
}

// resolveEarlierIncarnation resolves an attempt of an earlier incarnation, whose
// run it may only cancel at the endpoint.
func (w *simulation) resolveEarlierIncarnation(a *agent, of request.Grant, cancel bool) request.AttemptState {
	for _, run := range w.executions {
		lost := run.agent == a && run.state == "lost" && fmt.Sprint(run.incarnation) == of.Incarnation
		if cancel && lost && !w.fault("endpoint") {
			run.state = "cancelled"
			return request.AttemptCancelled
		}
	}
	return request.AttemptUnknown
}

// read opens a run's answer, sometimes at another offset than the one asked for.
func (w *simulation) read(entry int, e request.Read, heard bool) request.Event {
	for _, run := range w.agent(e.Agent).runs {
		if run.attempt == e.Attempt && run.state != "lost" && heard {
			cursor := int(e.Offset) + rapid.IntRange(-2, 1).Draw(w.t, "shift")
			s := w.entries[entry]
			s.streams = append(s.streams, &stream{entry: entry, id: e.Stream, run: run, cursor: min(max(cursor, 0), len(run.answer))})
			return nil
		}
	}
	return request.StreamReported{Stream: e.Stream, Kind: request.StreamInterrupted}
}

// restart replaces an agent's process. Its runs become lost: the endpoint may
// still execute them, but the new incarnation does not know them.
func (w *simulation) restart(a *agent) {
	a.incarnation++
	for _, run := range a.runs {
		if run.state == "running" {
			run.state = "lost"
		}
	}
	a.runs = nil
	a.grants = map[string]*grant{}
}
