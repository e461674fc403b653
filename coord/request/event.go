package request

import "time"

// Event is something that happened to a request.
type Event interface {
	apply(r *Request, now time.Duration)
}

// Admitted allows the request to place reservations.
type Admitted struct{}

// AdmissionRevoked takes the request's reservations back: a more urgent one needs the room.
type AdmissionRevoked struct{}

// TimerFired tells that the time of the latest Wake effect has come. It may be early or late.
type TimerFired struct{}

// CallerGone tells that the caller's connection has ended.
type CallerGone struct{}

// Shed sheds or displaces a request that waits. It has no effect on one that was dispatched.
type Shed struct {
	// Status is the HTTP status for the caller.
	Status int
	// Reason tells the caller why.
	Reason string
	// RetryAfter is the time to come back.
	RetryAfter time.Duration
}

// ReserveVerdict is an agent's answer to a reservation.
type ReserveVerdict int

// Verdicts on a reservation.
const (
	// ReserveFailed means that no answer came: the reservation may stand.
	ReserveFailed ReserveVerdict = iota
	// ReserveGranted carries a grant.
	ReserveGranted
	// ReserveDenied means that the agent will grant nothing now.
	ReserveDenied
	// ReserveLapsed means that the reservation ended at the agent without a grant.
	ReserveLapsed
)

// ReserveReplied answers a Reserve effect.
type ReserveReplied struct {
	// Reservation is the effect's number.
	Reservation uint64
	// Verdict is the agent's.
	Verdict ReserveVerdict
	// Grant is set when the verdict is ReserveGranted.
	Grant Grant
}

// RegisterVerdict is the registrar's answer.
type RegisterVerdict int

// Verdicts on a registration.
const (
	// RegisterFailed means that the registrar could not be asked.
	RegisterFailed RegisterVerdict = iota
	// RegisterGranted gives the right to start the attempt.
	RegisterGranted
	// RegisterHeld means that another submission has the right.
	RegisterHeld
	// RegisterUnsure means that the registrar has not lived long enough to know.
	RegisterUnsure
)

// RegisterReplied answers a Register effect.
type RegisterReplied struct {
	// Query is the effect's number.
	Query uint64
	// Verdict is the registrar's.
	Verdict RegisterVerdict
	// Agent and Attempt name the holder's run when the verdict is RegisterHeld.
	Agent   string
	Attempt uint32
}

// LocateReplied answers a Locate effect.
type LocateReplied struct {
	// Query is the effect's number.
	Query uint64
	// Complete is set when every agent of the pool answered.
	Complete bool
	// Agent and Attempt name the run that was found; Agent is empty when none was.
	Agent   string
	Attempt uint32
}

// StreamKind is what a stream's reader reports.
type StreamKind int

// Reports of a stream.
const (
	// StreamProgress means that the attempt runs: frames of it were accepted.
	StreamProgress StreamKind = iota
	// StreamComplete means that the whole answer was sent to the caller.
	StreamComplete
	// StreamEndedEarly means that the agent ended the answer early; the endpoint no longer runs it.
	StreamEndedEarly
	// StreamRefused means that the agent refused the dispatch.
	StreamRefused
	// StreamInterrupted means that the stream ended without an end frame, or has a gap.
	StreamInterrupted
)

// StreamReported comes from the reader of a dispatch's or a run's answer.
type StreamReported struct {
	// Stream is the number of the Dispatch or Read effect.
	Stream uint64
	// Kind is what happened.
	Kind StreamKind
	// Offset is the number of answer bytes sent to the caller by now.
	Offset int64
	// Sent is set when anything of the answer, its head included, was sent to the caller.
	Sent bool
	// Outcome, Status, Reason and RetryAfter are set on StreamRefused and StreamBroken.
	Outcome    Outcome
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// AttemptState is an agent's word on an attempt.
type AttemptState int

// States of an attempt.
const (
	// AttemptUnanswered means that the agent could not be asked.
	AttemptUnanswered AttemptState = iota
	// AttemptNotStarted means that it was not started and never will be.
	AttemptNotStarted
	// AttemptRunning means that it goes on.
	AttemptRunning
	// AttemptEnded means that it ran to its end and can be read.
	AttemptEnded
	// AttemptCancelled means that it started and the endpoint acknowledged its cancel.
	AttemptCancelled
	// AttemptUnknown means that this incarnation of the agent knows nothing of it.
	AttemptUnknown
)

// ResolveReplied answers a Resolve effect.
type ResolveReplied struct {
	// Query is the effect's number.
	Query uint64
	// State is the agent's word.
	State AttemptState
}
