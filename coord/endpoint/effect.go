package endpoint

import "time"

// Effect is an output of Machine.Step. The process carries out the effects in the
// order in which Step returns them.
type Effect interface{ effect() }

// Verdict is the result of a reservation.
type Verdict int

// Verdicts on a reservation.
const (
	// Granted means that the reservation has a place for the length of the lease.
	Granted Verdict = iota
	// Denied means that the endpoint drains or is unreachable, or that too many
	// reservations wait.
	Denied
	// Expired means that the deadline passed before a place was free.
	Expired
	// Released means that the entry withdrew the reservation, or that a retransmitted
	// Reserve was answered before and has no open grant.
	Released
	// Displaced means that the queue was full and a reservation ahead in order took
	// this one's position.
	Displaced
)

// Answer answers a Reserve.
type Answer struct {
	// Key identifies the reservation.
	Key ReservationKey
	// Verdict is the result.
	Verdict Verdict
	// Grant is set when the verdict is Granted.
	Grant GrantID
	// Lease is how long the grant can still be dispatched.
	Lease time.Duration
	// Reason says why there is no grant.
	Reason string
}

// Start sends the attempt to the endpoint, once.
type Start struct {
	// Attempt is the attempt to start.
	Attempt AttemptKey
	// Grant is the grant that was dispatched.
	Grant GrantID
}

// RefusalKind says why a dispatch was refused.
type RefusalKind int

// Reasons to refuse a dispatch.
const (
	// RefusedIncarnation means that the grant is of another incarnation of the agent.
	RefusedIncarnation RefusalKind = iota
	// RefusedLapsed means that the grant's lease has ended, or that it was voided or released.
	RefusedLapsed
	// RefusedUnknown means that no grant with this ID is known for this attempt.
	RefusedUnknown
	// RefusedDeadline means that the caller's deadline has passed.
	RefusedDeadline
	// RefusedRepeated means that the attempt or a later one of its request was dispatched
	// before, or that an earlier one has not ended; a run may exist.
	RefusedRepeated
)

// String returns the name of the kind for logs and callers.
func (k RefusalKind) String() string {
	names := [...]string{"other incarnation", "grant lapsed", "grant unknown", "deadline passed", "already dispatched"}
	return names[k]
}

// Refuse answers a Dispatch that starts no run.
type Refuse struct {
	// Attempt is the attempt that was refused.
	Attempt AttemptKey
	// Kind says why.
	Kind RefusalKind
}

// State is what became of an attempt.
type State int

// States of an attempt.
const (
	// StateUnknown means that the attempt may or may not have run.
	StateUnknown State = iota
	// StateNotStarted means that the attempt never ran here and never will.
	StateNotStarted
	// StateRunning means that the attempt has not ended; it may be suspended.
	StateRunning
	// StateEnded means that the attempt ran to completion.
	StateEnded
	// StateCancelled means that the attempt started and ended early, which the
	// endpoint acknowledged.
	StateCancelled
)

// Resolved answers a Resolve.
type Resolved struct {
	// Attempt is the attempt of the Resolve.
	Attempt AttemptKey
	// State is the state of the attempt.
	State State
	// OtherIncarnation is set when the Resolve named another incarnation of the agent.
	// The endpoint itself must be asked then.
	OtherIncarnation bool
}

// Suspend asks the endpoint to suspend a run and keep its KV cache.
type Suspend struct {
	// Attempt names the run.
	Attempt AttemptKey
}

// Resume asks the endpoint to resume a suspended run.
type Resume struct {
	// Attempt names the run.
	Attempt AttemptKey
}

// Cancel asks the endpoint to end a run. An Ended event must follow.
type Cancel struct {
	// Attempt names the run.
	Attempt AttemptKey
	// Reason is for the log.
	Reason string
}

// DiscardAnswer drops the answer bytes kept of an ended run.
type DiscardAnswer struct {
	// Attempt names the run.
	Attempt AttemptKey
}

// FloorSet answers a Floor that now applies.
type FloorSet struct{}

// FloorRefused answers a Floor while a less urgent tier holds a place.
type FloorRefused struct {
	// Tier is a less urgent tier that holds a place.
	Tier string
}

// Drained reports that a drain is complete: there is no run and no open grant.
type Drained struct{}

func (Answer) effect()        {}
func (Start) effect()         {}
func (Refuse) effect()        {}
func (Resolved) effect()      {}
func (Suspend) effect()       {}
func (Resume) effect()        {}
func (Cancel) effect()        {}
func (DiscardAnswer) effect() {}
func (FloorSet) effect()      {}
func (FloorRefused) effect()  {}
func (Drained) effect()       {}
