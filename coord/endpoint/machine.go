// Package endpoint is the agent's side of dispatch, for one endpoint. It decides
// which reservation gets the next free place, which grants may still be used,
// which runs are suspended for more urgent requests, and when a drain is complete.
//
// An entry reserves a place for an attempt of a request, gets a grant with a
// lease, and dispatches the attempt under the grant, which starts a run. A place
// is held by an open grant or by a run that is not suspended.
//
// The Machine has no clock: every event comes with the time since an arbitrary start.
package endpoint

import (
	"fmt"
	"math"
	"time"

	"primrosespoke.dev/coord/invariant"
)

// Config holds the settings of a Machine.
type Config struct {
	// Incarnation identifies this start of the agent; no other start has the same.
	Incarnation string
	// Places is the number of concurrent runs until a SetPlaces event changes it.
	Places int
	// GrantLease is how long a grant can be dispatched after it was given.
	GrantLease time.Duration
	// RecordRetention is how long the answer to a reservation and the outcome of a grant
	// are remembered. Afterwards Resolve is answered with StateUnknown.
	RecordRetention time.Duration
	// AnswerRetention is how long the answer of an ended run stays readable.
	AnswerRetention time.Duration
	// CallerGrace is how long a run continues while nobody reads its answer.
	CallerGrace time.Duration
	// MaxWaiting bounds the waiting reservations; 0 = no bound.
	MaxWaiting int
	// MaxSuspended bounds the suspended runs; 0 = no run is ever suspended.
	MaxSuspended int
	// MaxBuffered bounds the bytes of answers kept of ended runs.
	MaxBuffered int64
	// MinRemaining is the expected service time left below which a run is not suspended.
	MinRemaining time.Duration
	// PreemptAfter is how long a reservation waits before a run is suspended for it,
	// because a place at another endpoint may become free first. It is also how long
	// a run is not suspended after its start.
	PreemptAfter time.Duration
	// Stretch bounds how long a request waits behind later ones of its account, as a
	// multiple of its cost: reservations of an account are ordered by their arrival
	// plus Stretch times their cost, or by their deadline if that is earlier.
	Stretch float64
}

// Machine is the state machine of one endpoint. It is not safe for concurrent use.
type Machine struct {
	cfg          Config
	now          time.Duration
	places       int
	sequence     uint64 // of the last reservation or grant; orders reservations, makes grant IDs unique
	virtualTimes virtualTimes

	waiting       map[ReservationKey]*reservation
	nextExpiry    time.Duration       // no waiting reservation expires earlier
	open          map[GrantID]*grant  // given, neither dispatched nor voided
	live          map[AttemptKey]*run // started and not ended
	holdingRuns   int                 // live runs that hold a place
	suspendedRuns int                 // live runs that are suspended
	unreadRuns    int                 // live runs whose answer nobody reads
	ended         map[AttemptKey]*run // ended runs whose answer is still readable
	endedExpiry   expiryQueue[AttemptKey]
	endedBytes    int64
	history       history

	unreachable   bool
	draining      bool
	forceDrainAt  time.Duration // 0 = the drain has no timeout
	drainReported bool          // Drained was emitted for the current drain

	floorRank  int // least urgent rank that may get a place; math.MaxInt = any
	floorUntil time.Duration

	minFirstTokenTarget time.Duration // shortest FirstTokenTarget seen; 0 = none

	effects []Effect
}

// reservation waits for a place.
type reservation struct {
	Reserve
	sequence uint64
	arrived  time.Duration
	expires  time.Duration
	due      time.Duration // order within the account; see Config.Stretch
}

// grant gives a reservation a place until it is dispatched, voided or expires.
type grant struct {
	id          GrantID
	reservation *reservation
	expires     time.Duration
}

// New returns a Machine without reservations or runs.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:          cfg,
		places:       max(cfg.Places, 1),
		virtualTimes: newVirtualTimes(),
		waiting:      map[ReservationKey]*reservation{},
		nextExpiry:   math.MaxInt64,
		open:         map[GrantID]*grant{},
		live:         map[AttemptKey]*run{},
		ended:        map[AttemptKey]*run{},
		history:      newHistory(),
		floorRank:    math.MaxInt,
	}
}

// Step handles one event and returns the effects to carry out. A time earlier
// than that of the previous event counts as that time.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.now = max(m.now, now)
	m.effects = nil
	if progress, ok := event.(Progress); ok {
		floorEnds := m.floorRank != math.MaxInt && m.now >= m.floorUntil
		if !m.progress(progress) && !floorEnds {
			return nil // Progress is frequent; here it cannot make a place available
		}
	}
	m.expire()
	m.handle(event)
	m.assignPlaces()
	m.preempt()
	m.reportDrained()
	m.checkInvariants()
	return m.effects
}

func (m *Machine) handle(event Event) {
	switch e := event.(type) {
	case Reserve:
		m.reserve(e)
	case Release:
		m.release(e)
	case Dispatch:
		m.dispatch(e)
	case Resolve:
		m.resolve(e)
	case Ended:
		m.end(e)
	case Suspended:
		m.suspended(e)
	case Resumed:
		m.resumed(e)
	case CallerGone:
		m.callerGone(e)
	case CallerBack:
		m.callerBack(e)
	case Drain:
		m.drain(e)
	case Floor:
		m.floor(e)
	case SetPlaces:
		m.places = max(e.Places, 1)
	case SetReachable:
		m.setReachable(e)
	case Tick, Progress:
	default:
		panic(fmt.Sprintf("endpoint: unknown event %T", event))
	}
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// expire ends the reservations, grants, records, answers, rank floor and drain
// timeout that have expired.
func (m *Machine) expire() {
	m.expireReservations()
	m.expireGrants()
	m.history.expire(m.now)
	m.expireRuns()
	if m.floorRank != math.MaxInt && m.now >= m.floorUntil {
		m.floorRank = math.MaxInt
	}
	if m.draining && m.forceDrainAt > 0 && m.now >= m.forceDrainAt {
		m.forceDrain()
	}
}

// HeldPlaces returns the number of places held by open grants and runs.
func (m *Machine) HeldPlaces() int {
	return len(m.open) + m.holdingRuns
}

// checkInvariants asserts the conditions that hold after every step.
func (m *Machine) checkInvariants() {
	invariant.Check(!m.draining || len(m.waiting) == 0, "endpoint/no-wait-in-drain", "%d reservations wait", len(m.waiting))
	for id, g := range m.open {
		invariant.Check(m.now < g.expires, "endpoint/grant-within-lease", "grant %s", id)
		invariant.Check(g.reservation.Rank <= m.floorRank, "endpoint/no-grant-below-floor", "grant %s", id)
	}
	holding, suspended, unread := 0, 0, 0
	for key, r := range m.live {
		holding += boolToInt(r.holdsPlace)
		suspended += boolToInt(r.state == runSuspended)
		unread += boolToInt(r.unread)
		invariant.Check(!r.holdsPlace || r.rank <= m.floorRank, "endpoint/no-run-below-floor", "attempt %v", key)
		invariant.Check(m.ended[key] == nil, "endpoint/live-or-ended", "attempt %v", key)
	}
	counted := holding == m.holdingRuns && suspended == m.suspendedRuns && unread == m.unreadRuns
	invariant.Check(counted, "endpoint/counts", "counted as holding a place: %d, suspended: %d, unread: %d", m.holdingRuns, m.suspendedRuns, m.unreadRuns)
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
