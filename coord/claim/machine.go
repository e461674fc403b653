package claim

import (
	"net/http"
	"slices"
	"time"

	"primrosespoke.dev/coord/invariant"
)

// Config holds the settings of a Machine.
type Config struct {
	// Incarnation identifies the process since its last start and is never reused.
	Incarnation string
	// Horizon is how long a claim holds its key, in log time. It must be the same in
	// all claimants.
	Horizon time.Duration
	// BatchDelay is how long a claim waits for other claims to share its append.
	BatchDelay time.Duration
	// AwaitLimit is the longest time that a call waits for its claim to be read back.
	AwaitLimit time.Duration
	// Backoff is the delay after a failed append; it doubles with each further failure.
	Backoff time.Duration
	// MaxBackoff is the longest delay after a failed append.
	MaxBackoff time.Duration
	// SnapshotInterval is the time between snapshots, in log time.
	SnapshotInterval time.Duration
}

// Defaults of Config.
const (
	DefaultHorizon          = 2 * time.Hour
	DefaultBatchDelay       = 20 * time.Millisecond
	DefaultAwaitLimit       = 2 * time.Second
	DefaultBackoff          = 250 * time.Millisecond
	DefaultMaxBackoff       = 5 * time.Second
	DefaultSnapshotInterval = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	setDefault(&c.Horizon, DefaultHorizon)
	setDefault(&c.BatchDelay, DefaultBatchDelay)
	setDefault(&c.AwaitLimit, DefaultAwaitLimit)
	setDefault(&c.Backoff, DefaultBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.SnapshotInterval, DefaultSnapshotInterval)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// phase is the progress of an attempt to run a key.
type phase int

const (
	phaseQueued  phase = iota // its claim has not been sent
	phaseSent                 // its claim may be in the log
	phaseRunning              // its claim won and its call may run
	phaseEnded                // the run ended
)

// attempt is this machine's attempt to run a key.
type attempt struct {
	call      uint64
	claim     string // ID of its claim
	key       Key
	digest    Digest
	createdMS int64
	deadline  time.Duration // after it the call must not start to run
	waitUntil time.Duration // end of the wait for a verdict
	phase     phase
	answer    *Answer // set in phaseEnded
}

// Machine decides which calls of one process may run, and keeps its claims in the
// log. It is not safe for concurrent use.
type Machine struct {
	cfg        Config
	reader     *reader
	claimCount uint64 // number of claims made; part of their IDs

	byKey   map[Key]*attempt
	byClaim map[string]*attempt
	byCall  map[uint64]*attempt // attempts that wait for a verdict
	waiting []*attempt          // in the order of their starts; may hold ended ones until expireWaiting

	outbox  outbox
	effects []Effect

	readFailing    bool // the newest read failed
	snapshotWriter bool
}

// New returns a machine that has read nothing from the log.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:     cfg,
		reader:  newReader(cfg.Horizon.Milliseconds()),
		byKey:   map[Key]*attempt{},
		byClaim: map[string]*attempt{},
		byCall:  map[uint64]*attempt{},
	}
}

// Ready reports whether the machine's ledger is complete and up to date, so that the
// machine can make claims.
func (m *Machine) Ready() bool { return m.reader.ready() }

// Next returns the log offset to read from next.
func (m *Machine) Next() int64 { return m.reader.next }

// Busy reports whether a call or an append waits for time to pass. A Tick is then
// due every few milliseconds.
func (m *Machine) Busy() bool { return len(m.waiting) > 0 || m.outbox.pending() }

// Step handles one event and returns the effects to carry out, in order.
func (m *Machine) Step(now time.Duration, e Event) []Effect {
	m.effects = nil
	switch e := e.(type) {
	case Start:
		m.start(now, e)
	case Cancel:
		m.cancel(e)
	case Appended:
		m.appended(e)
	case AppendFailed:
		m.appendFailed(now, e)
	case PageRead:
		m.pageRead(now, e.Page)
	case ReadFailed:
		m.readFailing = true
	case Ended:
		m.ended(now, e)
	case NotStarted:
		m.notStarted(e)
	case SetSnapshotWriter:
		m.snapshotWriter = e.Chosen
	case Tick:
	}
	m.expireWaiting(now)
	m.flush(now)
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) refuse(call uint64, r Refusal) { m.emit(Refuse{Call: call, Refusal: r}) }

// start answers a call at once if its key is claimed already or the call can't be
// claimed now. Otherwise it claims the key.
func (m *Machine) start(now time.Duration, s Start) {
	if m.answerKnown(s) {
		return
	}
	if r, refused := m.refusalNow(now, s); refused {
		m.refuse(s.Call, r)
		return
	}
	m.claimCount++
	a := &attempt{
		call: s.Call, claim: claimID(m.cfg.Incarnation, m.claimCount), key: s.Key, digest: s.Digest,
		createdMS: s.CreatedMS, deadline: m.capDeadline(now, s.Deadline),
	}
	a.waitUntil = min(a.deadline, now+m.cfg.AwaitLimit)
	m.byKey[a.key] = a
	m.byClaim[a.claim] = a
	m.byCall[a.call] = a
	m.waiting = append(m.waiting, a)
	m.outbox.addClaim(now, a)
}

// capDeadline limits a call's deadline so that its run starts long before its claim
// expires.
func (m *Machine) capDeadline(now, deadline time.Duration) time.Duration {
	return min(deadline, now+m.cfg.Horizon/4)
}

// answerKnown answers a call whose key has an attempt here or a claim in the log. It
// does so with an incomplete ledger too, whose claims are old but still valid, since
// no claim is ever taken over.
func (m *Machine) answerKnown(s Start) bool {
	if a := m.byKey[s.Key]; a != nil {
		m.answerByClaim(s, a.digest, a.answer)
		return true
	}
	nowMS := m.reader.nowMS
	if c := m.reader.ledger.lookup(s.Key, nowMS); c != nil && !m.abandoned(c) {
		m.answerByClaim(s, c.Digest, c.Answer)
		return true
	}
	if m.reader.ledger.isBlocked(s.Key, nowMS) {
		m.refuse(s.Call, Refusal{Outcome: MayHaveRun, Reason: ReasonClaimed, Status: http.StatusConflict, RetryAfter: claimedRetryAfter})
		return true
	}
	return false
}

// abandoned reports whether a claim is this machine's own and was abandoned. Its
// release has not been read back yet.
func (m *Machine) abandoned(c *LiveClaim) bool {
	return c.Owner == m.cfg.Incarnation && c.Answer == nil && m.byClaim[c.ID] == nil
}

// claimedRetryAfter is the Refusal.RetryAfter while another run may be in progress.
const claimedRetryAfter = time.Second

// answerByClaim answers a call according to the first claim of its key.
func (m *Machine) answerByClaim(s Start, digest Digest, answer *Answer) {
	switch {
	case digest != s.Digest:
		m.refuse(s.Call, Refusal{Outcome: NotRun, Reason: ReasonMismatch, Status: http.StatusUnprocessableEntity})
	case answer == nil:
		m.refuse(s.Call, Refusal{Outcome: MayHaveRun, Reason: ReasonClaimed, Status: http.StatusConflict, RetryAfter: claimedRetryAfter})
	case answer.Unknown:
		m.refuse(s.Call, Refusal{Outcome: MayHaveRun, Reason: ReasonUnknown, Status: http.StatusConflict})
	case answer.TooLarge:
		m.refuse(s.Call, Refusal{Outcome: Ran, Reason: ReasonTooLarge, Status: http.StatusConflict})
	default:
		m.emit(Replay{Call: s.Call, Answer: *answer})
	}
}

// refusalNow returns the refusal of a call whose key can't be claimed now, and
// whether there is one.
func (m *Machine) refusalNow(now time.Duration, s Start) (Refusal, bool) {
	horizon := m.cfg.Horizon.Milliseconds()
	switch {
	case !m.Ready():
		return m.unavailable(now, ReasonNotReady), true
	case s.CreatedMS != 0 && !createdInTime(s.CreatedMS, m.reader.nowMS, horizon):
		return creationTimeRefusal(s.CreatedMS, m.reader.nowMS), true
	case s.Deadline <= now:
		return deadlinePassed, true
	case m.readFailing || m.outbox.backingOff(now):
		return m.unavailable(now, ReasonLogUnavailable), true
	}
	return Refusal{}, false
}

var deadlinePassed = Refusal{Outcome: NotRun, Reason: ReasonDeadline, Status: http.StatusGatewayTimeout}

// creationTimeRefusal returns the refusal of a key that states a creation time
// outside the horizon.
func creationTimeRefusal(createdMS, nowMS int64) Refusal {
	if createdMS > nowMS {
		return Refusal{Outcome: NotRun, Reason: ReasonFuture, Status: http.StatusBadRequest}
	}
	return Refusal{Outcome: MayHaveRun, Reason: ReasonTooOld, Status: http.StatusGone}
}

// minRetryAfter is the shortest Refusal.RetryAfter while the log is unavailable.
const minRetryAfter = time.Second

// unavailable returns a refusal that asks the caller to retry after the backoff.
func (m *Machine) unavailable(now time.Duration, reason Reason) Refusal {
	wait := max(minRetryAfter, m.outbox.retryAt-now)
	return Refusal{Outcome: NotRun, Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: wait}
}

// pageRead applies a page and ends the wait of the calls whose claims are in it.
func (m *Machine) pageRead(now time.Duration, p Page) {
	m.readFailing = false
	verdicts, incomplete := m.reader.read(p)
	if incomplete {
		m.abandonAll(m.unavailable(now, ReasonNotReady))
	}
	for _, v := range verdicts {
		if writtenBy(v.id, m.cfg.Incarnation) {
			m.applyVerdict(now, v)
		}
	}
	m.removeRecorded()
}

// applyVerdict runs or answers a call according to the verdict on its claim.
func (m *Machine) applyVerdict(now time.Duration, v verdict) {
	a := m.byClaim[v.id]
	if a == nil || a.phase != phaseSent {
		return // abandoned already
	}
	s := Start{Call: a.call, Key: a.key, Digest: a.digest, CreatedMS: a.createdMS}
	switch {
	case !v.won:
		m.remove(a)
		m.answerLost(s, v)
	case now >= a.deadline:
		m.abandon(a, deadlinePassed)
	default:
		invariant.Check(m.reader.complete && m.byKey[a.key] == a, "claim/run-under-own-claim", "claim %s", a.claim)
		m.stopWaiting(a)
		a.phase = phaseRunning
		m.emit(Run{Call: a.call, Claim: a.claim, Key: a.key, Deadline: a.deadline})
	}
}

// answerLost answers a call whose claim did not win.
func (m *Machine) answerLost(s Start, v verdict) {
	if v.winner != nil {
		m.answerByClaim(s, v.winner.Digest, v.winner.Answer)
		return
	}
	m.refuse(s.Call, Refusal{Outcome: MayHaveRun, Reason: ReasonTooOld, Status: http.StatusGone})
}

// cancel abandons the claim of a waiting call whose caller has gone.
func (m *Machine) cancel(e Cancel) {
	if a := m.byCall[e.Call]; a != nil {
		m.abandon(a, Refusal{Outcome: NotRun, Reason: ReasonCancelled, Status: http.StatusServiceUnavailable})
	}
}

// expireWaiting refuses the waiting calls whose deadline or wait limit has passed.
func (m *Machine) expireWaiting(now time.Duration) {
	m.waiting = slices.DeleteFunc(m.waiting, func(a *attempt) bool { return m.byCall[a.call] != a })
	for _, a := range m.waiting {
		switch {
		case now >= a.deadline:
			m.abandon(a, deadlinePassed)
		case now >= a.waitUntil:
			m.abandon(a, m.unavailable(now, ReasonLogUnavailable))
		}
	}
}

// abandonAll refuses all waiting calls.
func (m *Machine) abandonAll(r Refusal) {
	for _, a := range m.waiting {
		if m.byCall[a.call] == a {
			m.abandon(a, r)
		}
	}
}

// abandon gives up a claim before it ran and refuses its call. Only this incarnation
// may run under the claim and from now on it won't, so the outcome NotRun is true
// whatever the log holds.
func (m *Machine) abandon(a *attempt, r Refusal) {
	invariant.Check(a.phase < phaseRunning, "claim/abandon-before-run", "claim %s", a.claim)
	sent := a.phase == phaseSent
	m.remove(a)
	m.outbox.removeClaim(a)
	if sent {
		m.outbox.addRecord(Record{Kind: KindRelease, ID: a.claim})
	}
	m.refuse(a.call, r)
}

// stopWaiting ends an attempt's wait for a verdict.
func (m *Machine) stopWaiting(a *attempt) { delete(m.byCall, a.call) }

// remove removes an attempt from all indexes.
func (m *Machine) remove(a *attempt) {
	m.stopWaiting(a)
	delete(m.byClaim, a.claim)
	if m.byKey[a.key] == a {
		delete(m.byKey, a.key)
	}
}

// ended records the answer of a run and queues a done-record for the log.
func (m *Machine) ended(_ time.Duration, e Ended) {
	a := m.byClaim[e.Claim]
	if a == nil || a.phase != phaseRunning {
		return
	}
	answer := e.Answer
	if len(answer.Body) > MaxAnswer {
		answer = Answer{Status: answer.Status, TooLarge: true}
	}
	a.phase = phaseEnded
	a.answer = &answer
	m.outbox.addRecord(Record{Kind: KindDone, ID: a.claim, Answer: &answer})
}

// notStarted releases the claim of a run that was not started.
func (m *Machine) notStarted(e NotStarted) {
	a := m.byClaim[e.Claim]
	if a == nil || a.phase != phaseRunning {
		return
	}
	m.remove(a)
	m.outbox.addRecord(Record{Kind: KindRelease, ID: a.claim})
}
