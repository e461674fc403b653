package request

import "time"

// Effect is an action that the entry carries out for a request.
type Effect interface{ effect() }

// Reserve asks an agent for a place; the reply is a ReserveReplied event.
type Reserve struct {
	// Reservation identifies the reservation within the request.
	Reservation uint64
	// Agent is the address of the agent to ask.
	Agent string
	// Attempt is the number of the attempt that needs the place.
	Attempt uint32
}

// Release gives back a reservation, or the grant that came of it. The entry
// repeats it until the agent has answered or is gone.
type Release struct {
	// Reservation is the number of the Reserve effect.
	Reservation uint64
	// Agent is the address of the agent that was asked for the place.
	Agent string
}

// Register asks the registrar of the request ID for the right to start an
// attempt, or for the run that has it; the reply is a RegisterReplied event.
type Register struct {
	// Query identifies the query within the request.
	Query uint64
	// Attempt is the number of the attempt to start.
	Attempt uint32
	// Agent is the address that the attempt will be dispatched to; empty when the
	// request reads another submission's run and only asks where it is now.
	Agent string
	// Located is set when the pool was asked after the registrar's last answer
	// and had no run of the ID. The registrar is asked again nevertheless, so
	// that every start follows its answer within one grant lease.
	Located bool
}

// Locate asks every agent of the pool for a run of the request ID; the reply is
// a LocateReplied event.
type Locate struct {
	// Query identifies the query within the request.
	Query uint64
}

// Dispatch sends the request to the agent that gave the grant. It is sent only
// once; what happens to its stream comes as StreamReported events.
type Dispatch struct {
	// Stream identifies the stream within the request.
	Stream uint64
	// Attempt is the attempt's number.
	Attempt uint32
	// Grant is the grant that the dispatch uses.
	Grant Grant
}

// Read reads the answer of a run from an offset; what happens to its stream
// comes as StreamReported events.
type Read struct {
	// Stream identifies the stream within the request.
	Stream uint64
	// Attempt is the number of the run's attempt.
	Attempt uint32
	// Agent is the address of the agent that keeps the run's answer.
	Agent string
	// Offset is the position in the answer of the first byte to read.
	Offset int64
}

// Resolve asks the agent for the state of an attempt; the reply is a
// ResolveReplied event.
type Resolve struct {
	// Query identifies the query within the request.
	Query uint64
	// Attempt is the attempt's number.
	Attempt uint32
	// Grant is the attempt's grant.
	Grant Grant
	// Cancel also ends the attempt if it is running.
	Cancel bool
}

// Cancel ends an attempt at its agent. The entry repeats it until the agent has
// answered or is gone; no event follows.
type Cancel struct {
	// Attempt is the attempt's number.
	Attempt uint32
	// Grant is the attempt's grant.
	Grant Grant
}

// CloseStream stops reading a stream.
type CloseStream struct {
	// Stream is the number of the Dispatch or Read effect.
	Stream uint64
}

// SetTimer asks for a TimerFired event; it replaces the timer that was set before.
type SetTimer struct {
	// At is the time of the event.
	At time.Duration
}

// Finish is the final effect of a request that was answered completely, or
// whose caller has disconnected.
type Finish struct {
	// CallerGone is set when the caller has disconnected.
	CallerGone bool
}

// Refuse is the final effect of a failed request if none of its answer was sent
// to the caller.
type Refuse struct {
	// Status is the HTTP status.
	Status int
	// Outcome is what is known about the execution of the request.
	Outcome Outcome
	// Reason tells the caller why the request failed.
	Reason string
	// RetryAfter is the delay after which the caller may retry; 0 = it should not.
	RetryAfter time.Duration
}

// Abort is the final effect of a failed request if part of its answer was sent.
// The caller gets an error in the stream or an aborted connection, never a
// normal end of the answer.
type Abort struct {
	// Outcome is what is known about the execution of the request.
	Outcome Outcome
	// Reason tells the caller why the request failed.
	Reason string
}

func (Reserve) effect()     {}
func (Release) effect()     {}
func (Register) effect()    {}
func (Locate) effect()      {}
func (Dispatch) effect()    {}
func (Read) effect()        {}
func (Resolve) effect()     {}
func (Cancel) effect()      {}
func (CloseStream) effect() {}
func (SetTimer) effect()    {}
func (Finish) effect()      {}
func (Refuse) effect()      {}
func (Abort) effect()       {}
