// Package rollout decides how the traffic of a service moves to a new software version, and
// whether that version is good.
//
// The load that it answers: an operator orders that all requests of a service go to endpoints of a
// version that was started beside the old one. Some versions answer a part of their requests with
// failures, or several times slower, at once, later, under load or on one route only. Only a small
// share of all requests may meet such a version, over all entries together, and any entry may end
// between the order and the verdict.
//
// Each entry sends a small part of its own requests to the target, counts by route how both
// versions answer, and reports its counts to the others. The parts need no agreement: each entry
// keeps to the share of its own requests and to an even part of the slack, so that the sum stays
// within the bound also while no report arrives (Service.mayTry). Any entry may find the target to
// be bad; the entry that writes the status decides that all requests move. A verdict goes over
// "running", and one that was written to the store over one that was not, so that states of
// entries merge in any order to the same result (Merge).
//
// The package has no I/O, clock or goroutine. Times are offsets on a single clock that the caller
// chooses.
package rollout

import (
	"cmp"
	"time"
)

// ID identifies an order by the place of its row in the store. Offsets of two eras can't be
// compared, so a later era goes first.
type ID struct {
	Era, Offset int64
	// Over is 1 for the order that stays in force although the store came back with the row of an
	// earlier one, whose place the other fields state.
	Over int64
}

// Compare orders IDs by time.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Over, b.Over))
}

// Order asks that the requests of a service move to a software version.
type Order struct {
	ID       ID
	Service  string
	Target   string
	Duration time.Duration
}

// isRowOf reports whether two orders come from the same row, which a store that came back from an
// older copy gives another era.
func (o Order) isRowOf(other Order) bool {
	return o.ID.Offset == other.ID.Offset && o.Target == other.Target && o.Duration == other.Duration
}

// Phase is how far a roll-out is.
type Phase uint8

// Phases in the order in which they go over each other.
const (
	// Running: a small part of the requests goes to the target.
	Running Phase = iota
	// Moving: the target is good as far as is known, and all new requests go there.
	Moving
	// RolledBack: the target is bad and gets no request.
	RolledBack
	// Completed: the store has the verdict that the target is good. Old endpoints stop.
	Completed
)

var phaseNames = [...]string{Running: "running", Moving: "moving", RolledBack: "rolled_back", Completed: "completed"}

// String returns the name of the phase, as in logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Decided reports whether a phase is a verdict.
func (p Phase) Decided() bool {
	return p == RolledBack || p == Completed
}

// Record is what is known of one target of a service.
type Record struct {
	Target string
	// Generation counts the orders that returned to a target after another one was completed.
	Generation int64
	Phase      Phase
	// Written is set if the store had the verdict, first at WrittenAt.
	Written   bool
	WrittenAt ID
	// Reason says what the phase follows from.
	Reason string
}

// compare orders records of one target by which goes over the other. Of two verdicts that were
// written the first one stands.
func (r Record) compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Generation, other.Generation),
		compareBool(r.Written, other.Written),
		other.WrittenAt.Compare(r.WrittenAt),
		cmp.Compare(r.Phase, other.Phase),
		cmp.Compare(r.Reason, other.Reason),
	)
}

// Merge returns the record of two of the same target that goes over the other one. It is
// commutative, associative and idempotent.
func Merge(a, b Record) Record {
	if a.compare(b) < 0 {
		return b
	}
	return a
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
