// Package request is the state machine of one caller's request in the entry
// that holds its connection. A request waits for admission, reserves places at
// a few agents and accepts the first grant. If the caller chose the request ID,
// the ID's registrar must then allow the start. The request is dispatched and
// its answer is read to the end. Every path ends in exactly one final effect:
// Finish, Refuse or Abort.
//
// Queue orders the waiting requests of an entry, and Answer puts the frames of
// an answer in order.
package request

import (
	"time"

	"primrosespoke.dev/coord/invariant"
)

// Outcome tells the caller of a request that was not answered completely
// whether the request was executed.
type Outcome string

// Outcomes, from the weakest statement that a request was executed to the strongest.
const (
	// OutcomeNotRun means that no attempt was started and none will be.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeMayHaveRun means that it is unknown whether an attempt was started.
	OutcomeMayHaveRun Outcome = "may_have_run"
	// OutcomeRan means that an attempt was started.
	OutcomeRan Outcome = "ran"
)

// Phase is the state that a request is in.
type Phase int

// Phases, in the order in which a request usually passes through them.
const (
	// PhaseWaiting means that no reservation is held, because the queue has not
	// admitted the request or because it backs off.
	PhaseWaiting Phase = iota
	// PhaseReserving means that reservations are held at agents, and no grant was accepted yet.
	PhaseReserving
	// PhaseRegistering means that the registrar of the request ID was asked, either
	// for the right to start under the grant held or for the agent of a joined run.
	PhaseRegistering
	// PhaseUnsure means that the request waits before it asks the pool for its ID:
	// one grant lease if the registrar was unsure, a back-off if the pool's last
	// reply was incomplete.
	PhaseUnsure
	// PhaseLocating means that the agents of the pool were asked for a run of the request ID.
	PhaseLocating
	// PhaseStreaming means that the request was dispatched, or the answer of a run is read.
	PhaseStreaming
	// PhaseResolving means that the attempt's agent was asked for its state, or that
	// the request backs off before it asks again for the attempt or joined run.
	PhaseResolving
	// PhaseEnded means that the final effect was emitted.
	PhaseEnded
)

var phaseNames = [...]string{"waiting", "reserving", "registering", "unsure", "locating", "streaming", "resolving", "ended"}

// String returns the name of the phase that state dumps show.
func (p Phase) String() string {
	return phaseNames[p]
}

// Spec holds the properties of a request that never change.
type Spec struct {
	// ID is the request ID.
	ID string
	// ChosenID is set when the caller chose the ID, which may then be submitted
	// more than once.
	ChosenID bool
	// NonIdempotent forbids a further attempt after one that may have started.
	NonIdempotent bool
	// Deadline is the time by which the answer must be complete, on the clock of Step.
	Deadline time.Duration
}

// Config holds the settings that all requests of an entry share.
type Config struct {
	// Reservations is the number of agents that are asked for a place concurrently.
	Reservations int
	// Strict forbids a further attempt after one that may have started, for all requests.
	Strict bool
	// QueryFailureLimit is the number of failed queries at which a request fails.
	// Queries to the registrar and to the pool are counted together, those to
	// the agent of an attempt separately.
	QueryFailureLimit int
	// ReadFailureLimit is the number of streams of one answer that may be
	// interrupted without new bytes in between.
	ReadFailureLimit int
	// RetryAfter is the delay that a refusal names when there is no better estimate.
	RetryAfter time.Duration
}

// Policy makes the decisions that depend on the state of the whole entry.
type Policy interface {
	// Pick returns the addresses of up to n agents to reserve at, best first and
	// without those excluded.
	Pick(now time.Duration, exclude []string, n int) []string
	// Retry tells whether another attempt may follow the given one, and after which delay.
	Retry(now time.Duration, attempt uint32) (delay time.Duration, ok bool)
	// Backoff returns the delay after a number of consecutive failures.
	Backoff(failures int) time.Duration
}

// conflictLimit is the number of times that a request asks the pool for its ID
// again because its dispatch was refused in favor of another entry.
const conflictLimit = 5

// Grant is a place that an agent keeps free for a request until the lease expires.
type Grant struct {
	// Agent is the agent's address.
	Agent string
	// ID identifies the grant within the agent's incarnation.
	ID string
	// Incarnation is the incarnation of the agent that gave the grant.
	Incarnation string
	// Lease is how long the grant is valid, on the agent's clock.
	Lease time.Duration
}

// reservation is a Reserve call that was not answered yet, or whose grant waits
// for the registrar.
type reservation struct {
	id    uint64
	agent string
}

// Request is the state machine of one request. It is not safe for concurrent use.
type Request struct {
	spec   Spec
	config Config
	policy Policy

	phase            Phase
	admitted         bool
	attempt          uint32
	reservations     []reservation
	lastID           uint64 // last ID given to a reservation, stream or query
	ownAttempt       uint32 // number of this request's own last attempt, once joined is set
	grant            Grant
	timerAt          time.Duration
	deniedAgents     []string // agents that denied, failed or refused since the last back-off or grant
	failedPlacements int      // back-offs and refused dispatches since the last grant
	streamID         uint64   // stream whose reports are accepted; 0 = none
	queryID          uint64   // query whose reply is accepted; 0 = none
	failedResolves   int      // Resolve queries without a usable answer since the dispatch or the last new byte
	failedLookups    int      // failed Register and incomplete Locate queries since the last complete Locate
	readFailures     int      // interrupted streams since the dispatch or the last new byte
	offset           int64    // answer bytes known to have been sent to the caller
	sent             bool     // some of the answer, if only its head, was sent to the caller
	cancelling       bool     // a new incarnation of the agent is asked to cancel the attempt, which proves that it ended
	conflicts        int      // dispatches refused in favor of another entry
	joined           bool     // the run being read was started by another submission of the ID
	located          bool     // the pool was asked after the registrar was unsure, and had no run
	currentOutcome   Outcome  // of the current attempt
	pastOutcome      Outcome  // of the earlier attempts
	finalEmitted     bool

	effects []Effect
}

// New returns a request that waits for admission.
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

// Phase returns the state that the request is in.
func (r *Request) Phase() Phase {
	return r.phase
}

// Attempt returns the number of the current attempt, counted from 1. Once the
// request reads another submission's run, it is the number of that run's attempt.
func (r *Request) Attempt() uint32 {
	return r.attempt
}

// Agent returns the address of the agent whose grant was accepted or whose run
// is read; empty when there is none.
func (r *Request) Agent() string {
	return r.grant.Agent
}

// Outcome returns what is known so far about the execution of the request.
func (r *Request) Outcome() Outcome {
	if r.pastOutcome == OutcomeRan || r.currentOutcome == OutcomeRan {
		return OutcomeRan
	}
	if r.pastOutcome == OutcomeMayHaveRun || r.currentOutcome == OutcomeMayHaveRun {
		return OutcomeMayHaveRun
	}
	return OutcomeNotRun
}

// Step handles one event and returns the effects to carry out, in order. Events
// of earlier attempts, streams and queries are ignored; what they held was
// released before.
func (r *Request) Step(now time.Duration, event Event) []Effect {
	r.effects = nil
	if r.phase != PhaseEnded && now >= r.spec.Deadline {
		// It is too late to act on the event, but a stream report may still tell
		// whether the attempt ran.
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

// setTimer asks for a TimerFired event at a time, or at the deadline if that is earlier.
func (r *Request) setTimer(at time.Duration) {
	r.timerAt = at
	r.emit(SetTimer{At: min(at, r.spec.Deadline)})
}

func (r *Request) nextID() uint64 {
	r.lastID++
	return r.lastID
}

// end releases all reservations and emits the final effect.
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
