// Package request is the life of one caller's request in the entry that holds
// its connection: it waits, reserves places at a few agents, accepts one grant,
// is registered when the caller chose its ID, dispatched, and its answer is
// read to the end. Every path ends in exactly one final effect: Finish, Refuse
// or Cut.
package request

import (
	"time"

	"primrosespoke.dev/coord/invariant"
)

// Outcome is what a caller is told about the execution of a request that was
// not answered whole.
type Outcome string

// Outcomes, from the weakest statement about an execution to the strongest.
const (
	// OutcomeNotRun says that no attempt was started, and none will be.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeMayHaveRun says that it cannot be known whether an attempt was started.
	OutcomeMayHaveRun Outcome = "may_have_run"
	// OutcomeRan says that an attempt was started.
	OutcomeRan Outcome = "ran"
)

// Phase is a request's place in its life.
type Phase int

// Phases in the usual order.
const (
	// PhaseWaiting holds no reservation: the queue has not admitted it, or it backs off.
	PhaseWaiting Phase = iota
	// PhaseReserving holds reservations at agents.
	PhaseReserving
	// PhaseRegistering holds a grant and asks the registrar of its ID.
	PhaseRegistering
	// PhaseUnsure waits one grant lease before it asks the pool for its ID.
	PhaseUnsure
	// PhaseLocating asks the pool for its ID.
	PhaseLocating
	// PhaseStreaming was dispatched, or reads a run's answer.
	PhaseStreaming
	// PhaseResolving asks the agent what became of an attempt.
	PhaseResolving
	// PhaseEnded has given its final effect.
	PhaseEnded
)

var phaseNames = [...]string{"waiting", "reserving", "registering", "unsure", "locating", "streaming", "resolving", "ended"}

// String names the phase for dumps.
func (p Phase) String() string {
	return phaseNames[p]
}

// Spec is what does not change during a request's life.
type Spec struct {
	// ID is the request ID.
	ID string
	// ChosenID is set when the caller chose the ID, so that it may be repeated.
	ChosenID bool
	// NonIdempotent forbids a further attempt after one that may have started.
	NonIdempotent bool
	// Deadline is the time by which the answer must be whole.
	Deadline time.Duration
}

// Config is shared by all requests of an entry.
type Config struct {
	// Reservations is how many agents are asked for a place at a time.
	Reservations int
	// Strict allows no further attempt after any that may have started.
	Strict bool
	// QueryFailureLimit is how often an agent is asked in vain before the attempt is given up.
	QueryFailureLimit int
	// ReadFailureLimit is how many streams of one answer may break without any progress between.
	ReadFailureLimit int
	// RetryAfter is the time to come back that a refusal names when nothing better is known.
	RetryAfter time.Duration
}

// Policy decides for a request what depends on the state of the whole entry.
type Policy interface {
	// Pick returns up to n addresses of agents to reserve at, best first, none of those excluded.
	Pick(now time.Duration, exclude []string, n int) []string
	// Retry tells whether another attempt may be made, and after which delay.
	Retry(now time.Duration, attempt uint32) (delay time.Duration, ok bool)
	// Backoff returns the delay after a number of failures in a row.
	Backoff(failures int) time.Duration
}

// conflictLimit is how often a request asks the pool again after another entry did.
const conflictLimit = 5

// Grant is a place that an agent keeps for a request for the length of its lease.
type Grant struct {
	// Agent is the agent's address.
	Agent string
	// ID is the grant's ID, unique within the incarnation.
	ID string
	// Incarnation is the agent's.
	Incarnation string
	// Lease is the grant's length on the agent's clock.
	Lease time.Duration
}

// reservation is a Reserve call that has not been answered.
type reservation struct {
	id    uint64
	agent string
}

// Request is one request's state machine. It is used by one goroutine.
type Request struct {
	spec   Spec
	config Config
	policy Policy

	phase            Phase
	admitted         bool
	attempt          uint32
	reservations     []reservation
	lastID           uint64 // numbers reservations, streams and questions
	ownAttempt       uint32 // number of its own latest attempt, when it joined a run
	grant            Grant
	timerAt          time.Duration
	deniedAgents     []string // agents that denied since the last back-off
	failedPlacements int      // refusals in a row without a grant
	streamID         uint64   // the stream whose reports count
	queryID          uint64   // the question whose reply counts
	failedResolves   int      // asked in vain about this attempt
	failedLookups    int      // times that not every agent of the pool answered
	readFailures     int      // streams broken without progress
	offset           int64    // bytes of the answer known to be sent
	sent             bool     // something of the answer was sent to the caller
	cancelling       bool     // the attempt in hand is being ended, to prove that it ended
	conflicts        int      // dispatches refused because of another entry
	joined           bool     // reads a run that another entry started
	located          bool     // the pool was asked since the registrar was unsure, and no run found
	currentOutcome   Outcome  // of the attempt in hand
	pastOutcome      Outcome  // of the attempts before
	finalEmitted     bool

	effects []Effect
}

// New returns a request that waits to be admitted.
func New(spec Spec, config Config, policy Policy) *Request {
	return &Request{
		spec:           spec,
		config:         config,
		policy:         policy,
		attempt:        1,
		currentOutcome: OutcomeNotRun,
		pastOutcome:    OutcomeNotRun,
	}
}

// Phase returns the request's place in its life.
func (r *Request) Phase() Phase {
	return r.phase
}

// Attempt returns the number of the attempt in hand, from 1.
func (r *Request) Attempt() uint32 {
	return r.attempt
}

// Agent returns the address of the agent whose grant was accepted; empty before.
func (r *Request) Agent() string {
	return r.grant.Agent
}

// Outcome returns what is known of the request's execution by now.
func (r *Request) Outcome() Outcome {
	if r.pastOutcome == OutcomeRan || r.currentOutcome == OutcomeRan {
		return OutcomeRan
	}
	if r.pastOutcome == OutcomeMayHaveRun || r.currentOutcome == OutcomeMayHaveRun {
		return OutcomeMayHaveRun
	}
	return OutcomeNotRun
}

// Step feeds one event and returns the effects to carry out in order. Events of
// earlier attempts, streams and questions have no effect other than giving back
// what they hold.
func (r *Request) Step(now time.Duration, event Event) []Effect {
	r.effects = nil
	if r.phase != PhaseEnded && now >= r.spec.Deadline {
		// The event's own work is too late, but a report may still say what ran.
		r.recordLateReport(event)
		r.timeout()
		return r.effects
	}
	event.apply(r, now)
	return r.effects
}

func (r *Request) emit(effect Effect) {
	r.effects = append(r.effects, effect)
}

// setTimer asks for a Woken event, never later than the request's deadline.
func (r *Request) setTimer(at time.Duration) {
	r.timerAt = at
	r.emit(SetTimer{At: min(at, r.spec.Deadline)})
}

func (r *Request) nextID() uint64 {
	r.lastID++
	return r.lastID
}

// end gives back everything held and emits the final effect.
func (r *Request) end(final Effect) {
	invariant.Check(!r.finalEmitted, "request/one-final-effect", "request %s: second final effect %T", r.spec.ID, final)
	r.finalEmitted = true
	r.releaseAll()
	r.phase = PhaseEnded
	r.emit(final)
}

func (r *Request) releaseAll() {
	for _, held := range r.reservations {
		r.emit(Release{Reservation: held.id, Agent: held.agent})
	}
	r.reservations = nil
}
