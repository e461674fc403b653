package endpoint

import "time"

// ReservationKey identifies a reservation.
type ReservationKey struct {
	// Incarnation is the incarnation of the entry that reserves.
	Incarnation string
	// ID is unique within the entry's incarnation.
	ID string
}

// AttemptKey identifies one attempt of a request.
type AttemptKey struct {
	// RequestID identifies the request.
	RequestID string
	// Attempt is the number of the attempt, from 1.
	Attempt uint32
}

// GrantID identifies a grant; it contains the agent's incarnation.
type GrantID string

// Event is an input of Machine.Step.
type Event interface{ event() }

// Reserve asks for a place for an attempt.
type Reserve struct {
	// Key identifies the reservation; a retransmitted Reserve has the same key.
	Key ReservationKey
	// Attempt is the attempt that will run in the place.
	Attempt AttemptKey
	// Account is the client account.
	Account string
	// Weight is the account's relative share within the tier; 0 and less count as 1.
	Weight float64
	// Tier is the name of the request's tier.
	Tier string
	// Rank is the tier's urgency; 0 is the most urgent.
	Rank int
	// Preemptible allows the run to be suspended for a more urgent reservation.
	Preemptible bool
	// Cost is the expected service time.
	Cost time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// FirstTokenTarget is the tier's target for the time to the first token; 0 = none. The
	// shortest of them bounds the prefill that an endpoint is given at once.
	FirstTokenTarget time.Duration
	// Prefill is the expected time to the first token if the endpoint computes no other prompt.
	Prefill time.Duration
}

// Release withdraws a waiting reservation or gives back an unused grant.
type Release struct {
	// Key identifies the reservation.
	Key ReservationKey
}

// Dispatch asks to start an attempt under a grant.
type Dispatch struct {
	// Attempt must be the one the grant was given for.
	Attempt AttemptKey
	// Grant is the grant to use.
	Grant GrantID
	// Incarnation is the agent's incarnation that came with the grant.
	Incarnation string
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// ContinueUnread lets the run continue when its caller has gone or its deadline passes
	// while it is suspended, for work that must not be cut off.
	ContinueUnread bool
}

// Resolve asks what became of an attempt under a grant. An unused grant is voided, so
// that the answer stays true.
type Resolve struct {
	// Attempt is the attempt to resolve.
	Attempt AttemptKey
	// Grant is the grant that was given for the attempt.
	Grant GrantID
	// Incarnation is the agent's incarnation that came with the grant.
	Incarnation string
	// Cancel asks to cancel the run if it has not ended.
	Cancel bool
}

// Progress reports the state of a run that produces tokens.
type Progress struct {
	// Attempt names the run.
	Attempt AttemptKey
	// Context is the number of tokens in the run's KV cache.
	Context int
	// Remaining is the expected service time left.
	Remaining time.Duration
	// Buffered is the number of answer bytes held for readers.
	Buffered int64
}

// Ended reports that a run has ended at the endpoint.
type Ended struct {
	// Attempt names the run.
	Attempt AttemptKey
	// Outcome tells how the run ended.
	Outcome Outcome
	// Acknowledged is set when the endpoint itself confirmed the end of the run.
	Acknowledged bool
	// Buffered is the number of answer bytes held for readers.
	Buffered int64
}

// Suspended reports the result of a Suspend effect.
type Suspended struct {
	// Attempt names the run.
	Attempt AttemptKey
	// OK is false when the endpoint did not suspend the run, which continues.
	OK bool
	// Unsupported is set when the endpoint cannot suspend any run.
	Unsupported bool
}

// Resumed reports the result of a Resume effect.
type Resumed struct {
	// Attempt names the run.
	Attempt AttemptKey
	// OK is false when the endpoint could not resume the run, which stays suspended.
	OK bool
}

// CallerGone reports that nobody reads the answer of a run any more.
type CallerGone struct {
	// Attempt names the run.
	Attempt AttemptKey
}

// CallerBack reports that the answer of a run is read again.
type CallerBack struct {
	// Attempt names the run.
	Attempt AttemptKey
}

// DrainAction says what to do about draining; an operator, a signal or the instance
// list asks for it.
type DrainAction int

// Drain actions.
const (
	// DrainStart denies all reservations from now on; open grants stay valid and runs continue.
	DrainStart DrainAction = iota
	// DrainRecall ends the drain and puts the agent back into service.
	DrainRecall
	// DrainForce starts a drain if there is none, voids the open grants and cancels the runs.
	DrainForce
)

// Drain starts, recalls or forces a drain.
type Drain struct {
	// Action is what to do.
	Action DrainAction
	// Timeout is how long after a DrainStart the drain is forced; 0 = never.
	Timeout time.Duration
}

// Floor forbids grants and resumes for ranks less urgent than a rank for some time.
// It is answered by FloorSet, or by FloorRefused while an open grant or a run of a
// less urgent rank holds a place.
type Floor struct {
	// Rank is the least urgent rank that may still get a place; -1 = none may.
	Rank int
	// Duration is how long the floor applies, counted from this event.
	Duration time.Duration
}

// SetPlaces sets the number of concurrent runs at the endpoint.
type SetPlaces struct {
	// Places is the new number; less than 1 counts as 1.
	Places int
}

// SetReachable reports whether the endpoint accepts requests. While it does not, every
// reservation is denied: otherwise a dead endpoint would attract requests by failing them fast.
type SetReachable struct {
	// Reachable is set when the endpoint accepts requests.
	Reachable bool
}

// Tick reports only that time has passed.
type Tick struct{}

func (Reserve) event()      {}
func (Release) event()      {}
func (Dispatch) event()     {}
func (Resolve) event()      {}
func (Progress) event()     {}
func (Ended) event()        {}
func (Suspended) event()    {}
func (Resumed) event()      {}
func (CallerGone) event()   {}
func (CallerBack) event()   {}
func (Drain) event()        {}
func (Floor) event()        {}
func (SetPlaces) event()    {}
func (SetReachable) event() {}
func (Tick) event()         {}
