package request

import "time"

// Event is something that the entry reports to a request's state machine.
type Event interface {
	apply(r *Request, now time.Duration)
}

// Admitted allows the request to reserve places: it is in its queue's window.
type Admitted struct{}

// AdmissionRevoked makes the request release its reservations and wait, because
// a more urgent one has displaced it from the queue's window.
type AdmissionRevoked struct{}

// TimerFired reports that the timer of the latest SetTimer effect has expired.
// It may come early or late.
type TimerFired struct{}

// CallerGone reports that the caller's connection has ended.
type CallerGone struct{}

// Shed refuses a request that still waits or reserves, to reduce load or to make
// room for another. It has no effect once the request has accepted a grant.
type Shed struct {
	// Status is the HTTP status for the caller.
	Status int
	// Reason tells the caller why the request was refused.
	Reason string
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
}

// ReserveVerdict is an agent's answer to a Reserve call.
type ReserveVerdict int

// Verdicts on a reservation.
const (
	// ReserveFailed means that no answer came: the agent may hold the reservation.
	ReserveFailed ReserveVerdict = iota
	// ReserveGranted means that the agent gave a grant.
	ReserveGranted
	// ReserveDenied means that the agent gives no grant at present.
	ReserveDenied
	// ReserveLapsed means that the reservation expired at the agent without a grant.
	ReserveLapsed
)

// ReserveReplied answers a Reserve effect.
type ReserveReplied struct {
	// Reservation is the number of the Reserve effect.
	Reservation uint64
	// Verdict is the agent's answer.
	Verdict ReserveVerdict
	// Grant is set when the verdict is ReserveGranted.
	Grant Grant
}

// RegisterVerdict is the registrar's answer to a Register call.
type RegisterVerdict int

// Verdicts on a registration.
const (
	// RegisterFailed means that the registrar did not answer.
	RegisterFailed RegisterVerdict = iota
	// RegisterGranted gives the right to start the attempt.
	RegisterGranted
	// RegisterHeld means that another submission of the ID has the right to start.
	RegisterHeld
	// RegisterUnsure means that the registrar started too recently to know
	// whether another submission has the right.
	RegisterUnsure
)

// RegisterReplied answers a Register effect.
type RegisterReplied struct {
	// Query is the number of the Register effect.
	Query uint64
	// Verdict is the registrar's answer.
	Verdict RegisterVerdict
	// Agent and Attempt identify the holder's run when the verdict is RegisterHeld.
	Agent   string
	Attempt uint32
}

// LocateReplied answers a Locate effect.
type LocateReplied struct {
	// Query is the number of the Locate effect.
	Query uint64
	// Complete is set when every agent of the pool answered.
	Complete bool
	// Agent and Attempt identify the run that was found; Agent is empty if there was none.
	Agent   string
	Attempt uint32
}

// StreamKind is the kind of a report about a stream.
type StreamKind int

// Kinds of reports about a stream.
const (
	// StreamProgress means that the attempt is running: frames of it were accepted.
	StreamProgress StreamKind = iota
	// StreamComplete means that the whole answer was sent to the caller.
	StreamComplete
	// StreamEndedEarly means that the agent ended the answer before it was
	// complete; the endpoint no longer runs the attempt.
	StreamEndedEarly
	// StreamRefused means that the agent refused the dispatch.
	StreamRefused
	// StreamInterrupted means that the stream stopped without an end frame or that
	// bytes are missing; whether the attempt still runs is unknown.
	StreamInterrupted
)

// StreamReported is a report by the reader of a dispatch's or a run's stream.
type StreamReported struct {
	// Stream is the number of the Dispatch or Read effect.
	Stream uint64
	// Kind tells what happened.
	Kind StreamKind
	// Offset is the number of answer bytes sent to the caller so far.
	Offset int64
	// Sent is set when some of the answer, if only its head, was sent to the caller.
	Sent bool
	// Outcome, Status, Reason and RetryAfter are set on StreamRefused and StreamEndedEarly.
	Outcome    Outcome
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// AttemptState is the state of an attempt as its agent reports it.
type AttemptState int

// States of an attempt.
const (
	// AttemptUnanswered means that the agent did not answer.
	AttemptUnanswered AttemptState = iota
	// AttemptNotStarted means that the attempt was not started and never will be.
	AttemptNotStarted
	// AttemptRunning means that the attempt is running.
	AttemptRunning
	// AttemptEnded means that the run has ended and its answer can be read.
	AttemptEnded
	// AttemptCancelled means that the attempt started and the endpoint confirmed its cancellation.
	AttemptCancelled
	// AttemptUnknown means that the agent's present incarnation does not know the attempt.
	AttemptUnknown
)

// ResolveReplied answers a Resolve effect.
type ResolveReplied struct {
	// Query is the number of the Resolve effect.
	Query uint64
	// State is the agent's answer.
	State AttemptState
}
