// Package quarantine finds, within one process, which parts of prompts and which requests crash
// the endpoints that begin to answer them, and holds back the requests concerned.
//
// Such a request ends its endpoint and all that runs there. Either callers send more requests
// with a part in common, no two alike but for that part, or one and the same request comes again
// and again. An endpoint runs several requests of several processes, each with several parts,
// so one crash accuses many subjects, as parts and requests are called here. One that crashes
// endpoints is never answered, while any other is answered sooner or later. So the evidence
// against a subject is a crash of an endpoint that was beginning to answer it, and the evidence
// for it is a whole answer. Crashes in a row convict it, if they have no cause in common: the loss
// of a failure domain is one crash, however many endpoints it takes. How many it takes depends
// on how often a run of any subject ends so: where endpoints end all the time, a rare part meets
// several ends in a row by chance. The most suspect subject is convicted first, and the crashes
// that it explains no longer count against those beside it. Processes exchange their evidence.
//
// A request is a stronger suspect than a part. It is the same in each run, while a part is one
// of many things that differ, and the next run of it can be shown to have begun after the crash
// before, so that the two are not one event. Few requests are ever run twice without an answer.
// So fewer crashes convict a request; Rules says how many for each kind.
//
// A subject is suspected before it is convicted: of the requests with it, one at a time is let
// through in each process, so that the next crash or answer decides. A request that has met two
// crashes is restricted: one process sends it, and only that one, so that what is left of a
// small service is not lost before the evidence is known. A convicted subject is let go by an
// answer: that of a trial, which one process makes after a time, or one that an operator stands
// for. It is also let go after a time without any request for it.
//
// The package has no I/O, clock or goroutine. Times are offsets on a single clock that the
// caller chooses; what another process reports are durations, since clocks differ.
package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is what a Subject is.
type Kind int

// Kinds of subjects.
const (
	// Part is a part of prompts that requests share.
	Part Kind = iota + 1
	// Request is a whole request, which may come again.
	Request
)

// Subject is what is accused of crashes.
type Subject struct {
	Kind Kind
	ID   uint64
}

// Rules say what convicts the subjects of a kind, and when they are tried.
type Rules struct {
	// A subject is convicted by as many independent crashes without an answer in between as chance
	// explains with a probability of at most MaxChance, but at least MinCrashes and at most
	// MaxCrashes. One that was ever answered takes AnsweredCrashes.
	MaxChance              float64
	MinCrashes, MaxCrashes int
	AnsweredCrashes        int
	// CommonCause is the time from a crash in which further ones may have the same cause. Of
	// these, SuccessiveCrashes in all are independent, each of a run that began after the crash
	// before.
	CommonCause       time.Duration
	SuccessiveCrashes int
	// RestrictedCrashes is the number of crashes from which on one process alone sends requests
	// with the subject; 0 = none. For one that was ever answered, independent crashes count.
	RestrictedCrashes int
	// Resend is the worst standing with which a request may be sent again at once after a crash.
	Resend Standing
	// FirstTrial is the time from a conviction to the first trial. Each further trial comes
	// after TrialFactor times the time of the one before, up to MaxTrials.
	FirstTrial  time.Duration
	TrialFactor int
	MaxTrials   int
}

// Config holds the settings of a Quarantine.
type Config struct {
	Parts, Requests Rules
	// ProvenTime is how long after an answer a single crash does not make a subject suspected.
	ProvenTime time.Duration
	// EvidenceTTL is how long after the last crash the evidence against a subject counts.
	EvidenceTTL time.Duration
	// FreshTime is how long a process reports a single crash that it saw.
	FreshTime time.Duration
	// QuietTime is how long no request with a convicted subject must have come until it is let go.
	QuietTime time.Duration
	// MaxRecords bounds the subjects with evidence against them, and MaxAnswered those of which
	// the last answer is known.
	MaxRecords, MaxAnswered int
}

// Defaults of Config.
const (
	DefaultMaxChance  = 1e-7
	DefaultMinCrashes = 4
	DefaultMaxCrashes = 6
	// DefaultRequestCrashes convict a request that was never answered.
	DefaultRequestCrashes = 3
	// DefaultAnsweredRequestCrashes convict one that was.
	DefaultAnsweredRequestCrashes = 4
	DefaultSuccessiveCrashes      = 2
	DefaultRestrictedCrashes      = 2
	// DefaultWriteWindow is for how long an endpoint counts as beginning to answer a request
	// after its first event. The caller of Crashed applies it.
	DefaultWriteWindow = 300 * time.Millisecond
	DefaultCommonCause = 400 * time.Millisecond
	DefaultProvenTime  = 10 * time.Second
	DefaultEvidenceTTL = 5 * time.Minute
	DefaultFreshTime   = 5 * time.Second
	DefaultFirstTrial  = time.Minute
	DefaultTrialFactor = 4
	DefaultMaxTrials   = 2
	// A request is tried late and once: its own caller alone misses it, and an endpoint that ends
	// breaks all that runs there.
	DefaultRequestFirstTrial = 5 * time.Minute
	DefaultRequestTrials     = 1
	DefaultQuietTime         = 10 * time.Minute
	DefaultMaxRecords        = 256
	DefaultMaxAnswered       = 8192
)

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Parts: Rules{
			MaxChance: DefaultMaxChance, MinCrashes: DefaultMinCrashes, MaxCrashes: DefaultMaxCrashes, AnsweredCrashes: DefaultMaxCrashes,
			CommonCause: DefaultCommonCause, SuccessiveCrashes: 1, Resend: Clear,
			FirstTrial: DefaultFirstTrial, TrialFactor: DefaultTrialFactor, MaxTrials: DefaultMaxTrials,
		},
		Requests: Rules{
			MaxChance: DefaultMaxChance, MinCrashes: DefaultRequestCrashes, MaxCrashes: DefaultRequestCrashes, AnsweredCrashes: DefaultAnsweredRequestCrashes,
			CommonCause: DefaultCommonCause, SuccessiveCrashes: DefaultSuccessiveCrashes, RestrictedCrashes: DefaultRestrictedCrashes, Resend: Suspected,
			FirstTrial: DefaultRequestFirstTrial, TrialFactor: DefaultTrialFactor, MaxTrials: DefaultRequestTrials,
		},
		ProvenTime: DefaultProvenTime, EvidenceTTL: DefaultEvidenceTTL, FreshTime: DefaultFreshTime, QuietTime: DefaultQuietTime,
		MaxRecords: DefaultMaxRecords, MaxAnswered: DefaultMaxAnswered,
	}
}

// rules returns the rules of a subject's kind.
func (q *Quarantine) rules(s Subject) *Rules {
	if s.Kind == Request {
		return &q.cfg.Requests
	}
	return &q.cfg.Parts
}

// Crash is the end of an endpoint that was beginning to answer a request with a subject.
type Crash struct {
	// ID identifies the endpoint's incarnation, which ends once.
	ID uint64
	// At is when it ended, and Began when the request was sent to it.
	At, Began time.Duration
}

// record is the evidence against a subject.
type record struct {
	rules      *Rules
	crashes    []Crash       // sorted by time
	seenAt     time.Duration // last crash that this process saw, if seen
	seen       bool
	answeredAt time.Duration // last answer, if answered
	answered   bool
	convicted  bool
	since      time.Duration // of the conviction: the crash that it rests on last
	trials     int           // since then
	lastTrial  time.Duration // or the conviction
	lastSeen   time.Duration // last request with it, while convicted
}

// Quarantine holds the evidence that one process knows. It is used by one goroutine.
type Quarantine struct {
	cfg      Config
	records  map[Subject]*record
	answered map[Subject]time.Duration // last answer of subjects without a record
	inFlight map[Subject]uint64        // the one request with a suspected subject, by subject
	ends     endRate
	// explained holds the crashes of the convicted subjects.
	explained map[uint64]bool
	version   uint64 // of what Held returns
}

// New returns a quarantine without evidence.
func New(cfg Config) *Quarantine {
	return &Quarantine{cfg: cfg, records: map[Subject]*record{}, answered: map[Subject]time.Duration{}, inFlight: map[Subject]uint64{}, explained: map[uint64]bool{}}
}

// Change says that a subject was convicted or let go.
type Change struct {
	Subject   Subject
	Convicted bool
	// Crashes is the number of crashes known, and Reason says why the subject was let go.
	Crashes int
	Reason  Reason
}

// Reason says why a subject was let go.
type Reason string

// Reasons to let a subject go.
const (
	ReasonAnswered Reason = "answered"
	ReasonQuiet    Reason = "no more requests"
)

// Crashed records that an endpoint ended as it began to answer a request with subjects. It
// returns those that were convicted by it.
func (q *Quarantine) Crashed(now time.Duration, c Crash, subjects []Subject) []Change {
	var changes []Change
	if !slices.ContainsFunc(subjects, q.crashedTwice) {
		q.ends.observe(now, true)
	}
	added := false
	for _, p := range subjects {
		added = q.addCrash(p, c) || added
		if r := q.records[p]; r != nil {
			r.seen, r.seenAt = true, now
		}
	}
	if added {
		changes = q.judge(now)
	}
	return changes
}

// crashedTwice reports whether a subject explains a crash better than chance does.
func (q *Quarantine) crashedTwice(p Subject) bool {
	r := q.records[p]
	return r != nil && q.independent(r) >= 2
}

// endRate estimates the probability that a run ends with its endpoint as the answer begins,
// for any subject.
type endRate struct {
	crashed, all float64 // runs, of which older ones weigh less
	updatedAt    time.Duration
}

const (
	// endRateHalfLife is the time after which a run weighs half.
	endRateHalfLife = 10 * time.Second
	// priorCrashed of priorRuns runs are assumed to have ended so before any is observed.
	priorCrashed, priorRuns = 0.5, 50.0
)

func (r *endRate) observe(now time.Duration, crashed bool) {
	if now > r.updatedAt {
		decay := math.Exp2(-(now - r.updatedAt).Seconds() / endRateHalfLife.Seconds())
		r.crashed, r.all, r.updatedAt = r.crashed*decay, r.all*decay, now
	}
	r.all++
	if crashed {
		r.crashed++
	}
}

func (r *endRate) probability() float64 {
	return (r.crashed + priorCrashed) / (r.all + priorRuns)
}

// needed returns how many independent crashes convict a subject with a record now.
func (q *Quarantine) needed(r *record) int {
	if r.answered {
		return r.rules.AnsweredCrashes
	}
	n := int(math.Ceil(math.Log(r.rules.MaxChance) / math.Log(min(q.ends.probability(), 0.5))))
	return min(max(n, r.rules.MinCrashes), r.rules.MaxCrashes)
}

// addCrash adds a crash to a subject's record. It returns false if it is known.
func (q *Quarantine) addCrash(p Subject, c Crash) bool {
	r := q.record(p)
	if r == nil || slices.ContainsFunc(r.crashes, func(known Crash) bool { return known.ID == c.ID }) {
		return false
	}
	r.crashes = append(r.crashes, c)
	if r.convicted {
		q.explained[c.ID] = true
	}
	slices.SortStableFunc(r.crashes, func(a, b Crash) int { return int(a.At - b.At) })
	q.version++
	return true
}

// record returns the record of a subject, which it creates if there is room.
func (q *Quarantine) record(p Subject) *record {
	r := q.records[p]
	if r == nil {
		if len(q.records) >= q.cfg.MaxRecords && !q.dropOldest() {
			return nil
		}
		r = &record{rules: q.rules(p)}
		r.answeredAt, r.answered = q.answered[p], false
		if at, ok := q.answered[p]; ok {
			r.answeredAt, r.answered = at, true
			delete(q.answered, p)
		}
		q.records[p] = r
	}
	return r
}

// dropOldest drops the record whose last crash is the oldest, of those not convicted.
func (q *Quarantine) dropOldest() bool {
	var oldest Subject
	var at time.Duration
	found := false
	for p, r := range q.records {
		if !r.convicted && (!found || r.lastCrash() < at) {
			oldest, at, found = p, r.lastCrash(), true
		}
	}
	delete(q.records, oldest)
	return found
}

// HasEnded reports whether a crash is among the evidence against any subject.
func (q *Quarantine) HasEnded(crash uint64) bool {
	for _, r := range q.records {
		if slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.ID == crash }) {
			return true
		}
	}
	return false
}

func (r *record) lastCrash() time.Duration {
	if len(r.crashes) == 0 {
		return 0
	}
	return r.crashes[len(r.crashes)-1].At
}

// independent counts the crashes since the last answer that have no cause in common. Crashes
// that a convicted subject explains do not count against another one.
func (q *Quarantine) independent(r *record) int {
	n, successive := 0, 0
	var first, last time.Duration // of those that may have the same cause
	for _, c := range r.crashes {
		switch {
		case r.answered && c.At <= r.answeredAt || !r.convicted && q.explained[c.ID]:
			continue
		case n == 0 || c.At >= first+r.rules.CommonCause:
			first, successive = c.At, 1
		case successive < r.rules.SuccessiveCrashes && c.Began >= last:
			successive++
		default:
			continue
		}
		n, last = n+1, c.At
	}
	return n
}

// unexplained counts the crashes since the last answer, also those that may have a cause in common.
func (q *Quarantine) unexplained(r *record) int {
	n := 0
	for _, c := range r.crashes {
		if (!r.answered || c.At > r.answeredAt) && !q.explained[c.ID] {
			n++
		}
	}
	return n
}

// restricted reports whether one process alone sends requests with a subject, of whose crashes n
// are independent.
func (q *Quarantine) restricted(r *record, n int) bool {
	if !r.answered {
		n = q.unexplained(r)
	}
	return r.rules.RestrictedCrashes > 0 && n >= r.rules.RestrictedCrashes
}

// judge convicts the subjects against which the evidence suffices, the most suspect one first,
// since it may explain the crashes of the others.
func (q *Quarantine) judge(now time.Duration) []Change {
	var changes []Change
	for {
		p, found := q.mostSuspect()
		if !found {
			return changes
		}
		r := q.records[p]
		r.convicted, r.since, r.lastTrial, r.lastSeen, r.trials = true, r.lastCrash(), now, now, 0
		q.explain()
		changes = append(changes, Change{Subject: p, Convicted: true, Crashes: len(r.crashes)})
	}
}

// mostSuspect returns the subject to convict next: one that was never answered rather than one
// that was, then the one with the most crashes.
func (q *Quarantine) mostSuspect() (subject Subject, found bool) {
	most, answered := 0, false
	for p, r := range q.records {
		n := q.independent(r)
		if r.convicted || n < q.needed(r) {
			continue
		}
		better := answered && !r.answered || answered == r.answered && (n > most || n == most && p.compare(subject) > 0)
		if !found || better {
			subject, most, answered, found = p, n, r.answered, true
		}
	}
	return subject, found
}

// compare orders subjects.
func (s Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Kind, other.Kind), cmp.Compare(s.ID, other.ID))
}

// explain collects the crashes of the convicted subjects.
func (q *Quarantine) explain() {
	q.version++
	clear(q.explained)
	for _, r := range q.records {
		if r.convicted {
			for _, c := range r.crashes {
				q.explained[c.ID] = true
			}
		}
	}
}

// Answered records a whole answer to a request with subjects. It returns those that were let go
// by it.
func (q *Quarantine) Answered(at time.Duration, subjects []Subject) []Change {
	q.ends.observe(at, false)
	return q.recordAnswer(at, subjects)
}

// recordAnswer records an answer to a request with subjects, here or at another process.
func (q *Quarantine) recordAnswer(at time.Duration, subjects []Subject) []Change {
	var changes []Change
	for _, p := range subjects {
		r := q.records[p]
		if r == nil {
			q.answered[p] = max(q.answered[p], at)
			continue
		}
		if !r.answered || at > r.answeredAt {
			r.answered, r.answeredAt = true, at
			q.version++
		}
		if r.convicted && at > r.lastCrash() {
			r.convicted = false
			q.explain()
			changes = append(changes, Change{Subject: p, Crashes: len(r.crashes), Reason: ReasonAnswered})
		}
	}
	return changes
}

// Expire forgets old evidence, and lets go of the convicted subjects for which no request came
// for QuietTime. It returns these.
func (q *Quarantine) Expire(now time.Duration) []Change {
	var changes []Change
	for p, r := range q.records {
		if r.convicted {
			if now < r.lastSeen+q.cfg.QuietTime {
				continue
			}
			changes = append(changes, Change{Subject: p, Crashes: len(r.crashes), Reason: ReasonQuiet})
		}
		if r.convicted || now >= r.lastCrash()+q.cfg.EvidenceTTL {
			delete(q.records, p)
			q.version++
			if r.answered {
				q.answered[p] = r.answeredAt
			}
		}
	}
	if len(changes) > 0 {
		q.explain()
	}
	if len(q.answered) > q.cfg.MaxAnswered {
		q.forgetAnswers(now)
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.Subject.compare(b.Subject) })
	return changes
}

// forgetAnswers drops the answers that no longer prove anything, and if there are still too
// many the older half of the time.
func (q *Quarantine) forgetAnswers(now time.Duration) {
	for limit := q.cfg.ProvenTime; len(q.answered) > q.cfg.MaxAnswered && limit > 0; limit /= 2 {
		for p, at := range q.answered {
			if now-at > limit {
				delete(q.answered, p)
			}
		}
	}
	if len(q.answered) > q.cfg.MaxAnswered {
		clear(q.answered)
	}
}

// Size returns how many subjects have evidence against them, and of how many others the last
// answer is known.
func (q *Quarantine) Size() (records, answered int) {
	return len(q.records), len(q.answered)
}
