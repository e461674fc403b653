package request

import "time"

// Effect is something that the entry carries out for a request.
type Effect interface{ effect() }

// Reserve places a reservation; the reply is a ReserveReplied.
type Reserve struct {
	// Reservation numbers it within the request.
	Reservation uint64
	// Agent is the address to ask.
	Agent string
	// Attempt is what the place is for.
	Attempt uint32
}

// Release gives back a reservation, or the grant it led to. It is repeated
// until the agent has answered or has gone.
type Release struct {
	// Reservation is the number of the Reserve effect.
	Reservation uint64
	// Agent is the address it was placed at.
	Agent string
}

// Register asks the registrar of the request's ID; the reply is a RegisterReplied.
type Register struct {
	// Query numbers it within the request.
	Query uint64
	// Attempt is the attempt to start.
	Attempt uint32
	// Agent is where it will be dispatched.
	Agent string
	// Located is set when the pool was asked since the registrar's last answer
	// and no run was found. The registrar is asked again all the same, so that
	// each start follows its answer within one grant lease.
	Located bool
}

// Locate asks every agent of the pool for the request's ID; the reply is a LocateReplied.
type Locate struct {
	// Query numbers it within the request.
	Query uint64
}

// Dispatch hands the request to the agent of a grant, once; reports are StreamReported.
type Dispatch struct {
	// Stream numbers it within the request.
	Stream uint64
	// Attempt is the attempt's number.
	Attempt uint32
	// Grant is what the agent carries out.
	Grant Grant
}

// Read reads a run's answer from an offset; reports are StreamReported.
type Read struct {
	// Stream numbers it within the request.
	Stream uint64
	// Attempt is the run's attempt.
	Attempt uint32
	// Agent keeps the run's answer.
	Agent string
	// Offset is the first byte wanted.
	Offset int64
}

// Resolve asks the agent what became of an attempt; the reply is a ResolveReplied.
type Resolve struct {
	// Query numbers it within the request.
	Query uint64
	// Attempt is the attempt's number.
	Attempt uint32
	// Grant is the attempt's grant.
	Grant Grant
	// Cancel ends the attempt, if it runs.
	Cancel bool
}

// Cancel ends an attempt at its agent. It is repeated until the agent has
// answered or has gone; no reply is expected.
type Cancel struct {
	// Attempt is the attempt's number.
	Attempt uint32
	// Grant is the attempt's grant.
	Grant Grant
}

// CloseStream ends the reading of a stream.
type CloseStream struct {
	// Stream is the number of the Dispatch or Read effect.
	Stream uint64
}

// SetTimer asks for a Woken event; it replaces the SetTimer before.
type SetTimer struct {
	// At is the time of the event.
	At time.Duration
}

// Finish is the final effect of a request that was answered whole, or whose
// caller has gone.
type Finish struct {
	// CallerGone is set when the caller has gone.
	CallerGone bool
}

// Refuse is the final effect of a request of which nothing was sent to the caller.
type Refuse struct {
	// Status is the HTTP status.
	Status int
	// Outcome is what is known of its execution.
	Outcome Outcome
	// Reason tells the caller why.
	Reason string
	// RetryAfter is the time to come back; 0 = it should not be tried again.
	RetryAfter time.Duration
}

// Abort is the final effect of a request whose answer was sent in part: the
// caller gets an error in the stream or an aborted connection, never a clean end.
type Abort struct {
	// Outcome is what is known of its execution.
	Outcome Outcome
	// Reason tells the caller why.
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
