package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Evidence is what one process tells the others about a subject. Times are ages.
type Evidence struct {
	Subject Subject
	Crashes []CrashAge
	// AnswerAge is the time since the last answer, if Answered.
	Answered  bool
	AnswerAge time.Duration
	// Convicted is set if the subject is convicted, since Age, and Seen is the time since the last
	// request with it. Trials is how many trials there were, and TrialAge the time since the last
	// one, or since the conviction.
	Convicted           bool
	Age, Seen, TrialAge time.Duration
	Trials              int
}

// CrashAge is a crash, the time since it, and the time since its run began.
type CrashAge struct {
	ID         uint64
	Age, Began time.Duration
}

// reportRank says how important the evidence about a subject is to other processes; 0 = not at all.
// A single crash is reported by those that saw it, for a time.
func (q *Quarantine) reportRank(now time.Duration, r *record) int {
	switch n := q.independent(r); {
	case r.convicted:
		return math.MaxInt
	case n <= 1 && !r.answered && (!r.seen || now >= r.seenAt+q.cfg.FreshTime):
		return 0
	default:
		return n + 1
	}
}

// Report returns the evidence about at most limit subjects, the convicted ones first and then
// those with the most crashes, and with the most recent ones.
func (q *Quarantine) Report(now time.Duration, limit int) []Evidence {
	subjects, ranks := make([]Subject, 0, len(q.records)), make(map[Subject]int, len(q.records))
	for p, r := range q.records {
		if rank := q.reportRank(now, r); rank > 0 {
			subjects, ranks[p] = append(subjects, p), rank
		}
	}
	slices.SortFunc(subjects, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(q.records[b].lastCrash(), q.records[a].lastCrash()), a.compare(b))
	})
	var report []Evidence
	for _, p := range subjects[:min(limit, len(subjects))] {
		r := q.records[p]
		e := Evidence{Subject: p, Answered: r.answered, AnswerAge: now - r.answeredAt, Convicted: r.convicted, Trials: r.trials}
		if r.convicted {
			e.Age, e.Seen, e.TrialAge = now-r.since, now-r.lastSeen, now-r.lastTrial
		}
		for _, c := range r.crashes[max(len(r.crashes)-maxReportedCrashes, 0):] {
			e.Crashes = append(e.Crashes, CrashAge{ID: c.ID, Age: now - c.At, Began: now - c.Began})
		}
		report = append(report, e)
	}
	return report
}

// maxReportedCrashes is how many of the last crashes of a subject are reported.
const maxReportedCrashes = 8

// Merge adds the evidence of another process. It returns the subjects that were convicted or
// let go by it.
func (q *Quarantine) Merge(now time.Duration, report []Evidence) []Change {
	var changes []Change
	added := false
	for _, e := range report {
		merged, more := q.merge(now, e)
		changes, added = append(changes, merged...), added || more
	}
	if added {
		changes = append(changes, q.judge(now)...)
	}
	return changes
}

// merge adds the evidence about one subject. It also reports whether there are crashes that were
// not known.
func (q *Quarantine) merge(now time.Duration, e Evidence) (changes []Change, added bool) {
	for _, c := range e.Crashes {
		if c.Age < q.cfg.EvidenceTTL || e.Convicted {
			added = q.addCrash(e.Subject, Crash{ID: c.ID, At: now - c.Age, Began: now - c.Began}) || added
		}
	}
	r := q.records[e.Subject]
	if r == nil && e.Convicted {
		r = q.record(e.Subject)
	}
	if r == nil {
		return nil, added
	}
	if e.Answered {
		changes = q.recordAnswer(now-e.AnswerAge, []Subject{e.Subject})
	}
	if !e.Convicted {
		return changes, added
	}
	since := now - e.Age
	if !r.convicted && !(r.answered && r.answeredAt >= since) {
		r.convicted, r.since, r.lastTrial, r.lastSeen, r.trials = true, since, since, since, 0
		q.explain()
		changes = append(changes, Change{Subject: e.Subject, Convicted: true, Crashes: len(r.crashes)})
	}
	if r.convicted {
		r.lastSeen = max(r.lastSeen, now-e.Seen)
		if e.Trials > r.trials {
			r.trials, r.lastTrial = e.Trials, now-e.TrialAge
		}
	}
	return changes, added
}
