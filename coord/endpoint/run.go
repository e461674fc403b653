package endpoint

import (
	"sort"
	"time"

	"primrosespoke.dev/coord/invariant"
)

// Outcome tells how a run ended.
type Outcome int

// Outcomes of a run.
const (
	// Complete means that the whole answer was produced.
	Complete Outcome = iota
	// Broken means that the endpoint ended the run early and its answer could not be resumed.
	Broken
	// Cancelled means that the run was cancelled.
	Cancelled
	// NeverStarted means that the endpoint certainly never received the request.
	NeverStarted
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	names := [...]string{"complete", "broken", "cancelled", "never started"}
	return names[o]
}

// runState is the state of a run.
type runState int

const (
	runRunning    runState = iota
	runSuspending          // a Suspend effect is not answered yet; the run may still produce tokens
	runSuspended
	runResuming // a Resume effect is not answered yet; the run holds a place
	runCancelling
	runEnded
)

// run is an attempt that was started at the endpoint.
type run struct {
	key             AttemptKey
	grant           GrantID
	tier            string
	rank            int
	sequence        uint64
	state           runState
	holdsPlace      bool
	preemptible     bool
	continueUnread  bool
	deadline        time.Duration
	unread          bool          // nobody reads its answer
	unreadSince     time.Duration // time of the CallerGone event
	noResumeBefore  time.Duration // set after a failed resume
	noSuspendBefore time.Duration // set at the start and after a failed suspension
	started         time.Duration
	prefill         time.Duration // expected time from the start to the first token; 0 = the first token came
	contextTokens   int           // in the KV cache
	remaining       time.Duration // expected service time left
	bufferedBytes   int64
	outcome         Outcome
	acknowledged    bool // the endpoint itself confirmed the end
}

const (
	// resumeRetryDelay is the time before a resume that the endpoint refused is tried again.
	resumeRetryDelay = 200 * time.Millisecond
	// suspendRetryDelay is the time before a run whose suspension the endpoint refused is
	// considered for suspension again.
	suspendRetryDelay = 200 * time.Millisecond
)

func (m *Machine) dispatch(e Dispatch) {
	if kind, refused := m.refusalKind(e); refused {
		m.emit(Refuse{Attempt: e.Attempt, Kind: kind})
		return
	}
	g := m.open[e.Grant]
	r := g.reservation
	invariant.Check(m.history.grants[g.id] == nil, "endpoint/one-run-per-grant", "grant %s", g.id)
	invariant.Check(m.live[e.Attempt] == nil && m.ended[e.Attempt] == nil, "endpoint/one-run-per-attempt", "attempt %v", e.Attempt)
	delete(m.open, g.id)
	started := &run{
		key: e.Attempt, grant: g.id, tier: r.Tier, rank: r.Rank,
		sequence: r.sequence, holdsPlace: true, preemptible: r.Preemptible,
		continueUnread: e.ContinueUnread, deadline: m.now + e.TimeLeft, remaining: r.Cost,
		noSuspendBefore: m.now + m.cfg.PreemptAfter, started: m.now, prefill: r.Prefill,
	}
	m.live[e.Attempt] = started
	m.holdingRuns++
	m.history.recordStart(g.id, started)
	m.emit(Start{Attempt: e.Attempt, Grant: g.id})
}

// refusalKind returns why a Dispatch must be refused, and whether it must be.
func (m *Machine) refusalKind(e Dispatch) (RefusalKind, bool) {
	if m.conflictsWithRun(e.Attempt) {
		return RefusedRepeated, true
	}
	if e.Incarnation != m.cfg.Incarnation {
		return RefusedIncarnation, true
	}
	if known := m.history.grants[e.Grant]; known != nil && known.attempt == e.Attempt {
		return RefusedLapsed, true
	}
	g := m.open[e.Grant]
	if g == nil || g.reservation.Attempt != e.Attempt {
		return RefusedUnknown, true
	}
	if e.TimeLeft <= 0 {
		m.voidGrant(g)
		return RefusedDeadline, true
	}
	return 0, false
}

// conflictsWithRun reports whether the attempt or a later one of its request was
// started here, or an earlier one has not ended yet.
func (m *Machine) conflictsWithRun(key AttemptKey) bool {
	if m.history.runs[key] != nil {
		return true
	}
	newest := m.history.newestRuns[key.RequestID]
	if newest == nil {
		return false
	}
	return newest.key.Attempt >= key.Attempt || newest.state != runEnded
}

func (m *Machine) resolve(e Resolve) {
	if e.Incarnation != m.cfg.Incarnation {
		m.emit(Resolved{Attempt: e.Attempt, State: StateUnknown, OtherIncarnation: true})
		return
	}
	if g := m.open[e.Grant]; g != nil && g.reservation.Attempt == e.Attempt {
		m.voidGrant(g)
	}
	// The attempt may have been started under another grant.
	r := m.history.runs[e.Attempt]
	known := m.history.grants[e.Grant]
	switch {
	case r != nil:
		if e.Cancel {
			m.cancel(r, "cancelled by the entry")
		}
		m.emit(Resolved{Attempt: e.Attempt, State: stateOf(r)})
	case known != nil && known.attempt == e.Attempt:
		m.emit(Resolved{Attempt: e.Attempt, State: StateNotStarted})
	default:
		m.emit(Resolved{Attempt: e.Attempt, State: StateUnknown})
	}
}

// stateOf returns what Resolve reports about a run.
func stateOf(r *run) State {
	switch {
	case r.state != runEnded:
		return StateRunning
	case r.outcome == Complete:
		return StateEnded
	case r.outcome == NeverStarted:
		return StateNotStarted
	case r.acknowledged:
		return StateCancelled
	default:
		return StateUnknown
	}
}

// cancel asks the endpoint to end a run, unless it was asked before or the run has ended.
func (m *Machine) cancel(r *run, reason string) {
	if r.state == runCancelling || r.state == runEnded {
		return
	}
	if r.state == runSuspended {
		m.suspendedRuns--
	}
	r.state = runCancelling
	m.emit(Cancel{Attempt: r.key, Reason: reason})
}

// progress records the progress of a run and reports whether it is the run's first,
// which means that the prefill has ended.
func (m *Machine) progress(e Progress) bool {
	r := m.live[e.Attempt]
	if r == nil {
		return false
	}
	r.contextTokens = e.Context
	r.remaining = e.Remaining
	first := r.prefill > 0
	r.prefill = 0
	return first
}

func (m *Machine) end(e Ended) {
	r := m.live[e.Attempt]
	if r == nil {
		return
	}
	delete(m.live, e.Attempt)
	m.holdingRuns -= boolToInt(r.holdsPlace)
	m.suspendedRuns -= boolToInt(r.state == runSuspended)
	m.unreadRuns -= boolToInt(r.unread)
	r.state = runEnded
	r.holdsPlace = false
	r.outcome = e.Outcome
	r.acknowledged = e.Acknowledged || e.Outcome == Complete
	r.bufferedBytes = e.Buffered
	m.history.recordEnd(r, m.now+max(m.cfg.RecordRetention, m.cfg.AnswerRetention))
	m.ended[r.key] = r
	m.endedExpiry.push(r.key, m.now+m.cfg.AnswerRetention)
	m.endedBytes += r.bufferedBytes
	m.evictAnswers()
}

func (m *Machine) callerGone(e CallerGone) {
	if r := m.live[e.Attempt]; r != nil && !r.unread {
		r.unread = true
		m.unreadRuns++
		r.unreadSince = m.now
	}
}

func (m *Machine) callerBack(e CallerBack) {
	if r := m.live[e.Attempt]; r != nil && r.unread {
		r.unread = false
		m.unreadRuns--
	}
}

func (m *Machine) expireRuns() {
	for _, key := range m.endedExpiry.pop(m.now) {
		m.discardAnswer(key)
	}
	if m.unreadRuns+m.suspendedRuns == 0 {
		return
	}
	for _, r := range m.liveRuns() {
		switch {
		case r.continueUnread:
		case r.unread && m.now >= r.unreadSince+m.cfg.CallerGrace:
			m.cancel(r, "caller gone")
		case r.state == runSuspended && m.now >= r.deadline:
			m.cancel(r, "deadline passed while suspended")
		}
	}
}

// discardAnswer removes the answer of an ended run.
func (m *Machine) discardAnswer(key AttemptKey) {
	r := m.ended[key]
	if r == nil {
		return
	}
	delete(m.ended, key)
	m.endedBytes -= r.bufferedBytes
	m.emit(DiscardAnswer{Attempt: key})
}

// evictAnswers removes answers, those of the runs that ended first, until the rest fits
// into MaxBuffered.
func (m *Machine) evictAnswers() {
	for m.endedBytes > m.cfg.MaxBuffered {
		oldest := m.endedExpiry.items[0].item
		m.endedExpiry.items = m.endedExpiry.items[1:]
		m.discardAnswer(oldest)
	}
}

// liveRuns returns the runs that have not ended, in the order in which their
// reservations arrived.
func (m *Machine) liveRuns() []*run {
	all := make([]*run, 0, len(m.live))
	for _, r := range m.live {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sequence < all[j].sequence })
	return all
}
