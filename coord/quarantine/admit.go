package quarantine

import (
	"slices"
	"time"
)

// Standing is what is held against a subject.
type Standing int

// Standings.
const (
	// Clear: nothing.
	Clear Standing = iota + 1
	// Suspected: endpoints crashed as they began to answer it, and it was not answered since.
	Suspected
	// Restricted: so many endpoints crashed that one process alone sends requests with it.
	Restricted
	// Convicted: so many endpoints crashed that requests with it are refused.
	Convicted
)

// Standing returns what is held against a subject.
func (q *Quarantine) Standing(p Subject) Standing {
	r := q.records[p]
	if r == nil {
		return Clear
	}
	if r.convicted {
		return Convicted
	}
	switch n := q.independent(r); {
	case n == 0:
		return Clear
	case n == 1 && r.answered && r.lastCrash() < r.answeredAt+q.cfg.ProvenTime:
		return Clear
	case q.restricted(r, n):
		return Restricted
	}
	return Suspected
}

// Known reports whether there is evidence about a subject, for or against it.
func (q *Quarantine) Known(p Subject) bool {
	_, answered := q.answered[p]
	return answered || q.records[p] != nil
}

// Worst returns the subject with the worst standing, and that standing.
func (q *Quarantine) Worst(subjects []Subject) (Subject, Standing) {
	worst, subject := Clear, Subject{}
	for _, p := range subjects {
		if s := q.Standing(p); s > worst {
			worst, subject = s, p
		}
	}
	return subject, worst
}

// MayResend reports whether a request may be sent again at once after its endpoint crashed.
func (q *Quarantine) MayResend(subjects []Subject) bool {
	return !slices.ContainsFunc(subjects, func(p Subject) bool { return q.Standing(p) > q.rules(p).Resend })
}

// Admission is the decision on a request.
type Admission int

// Admissions.
const (
	// Admitted: the request may be sent.
	Admitted Admission = iota + 1
	// Wait: another request with a suspected subject is in flight, whose end decides.
	Wait
	// Refused: the request has a convicted subject, or a restricted one that another process sends.
	Refused
)

// Admit decides whether a request with subjects may be sent now, and names the subject that
// speaks against it. mayTry says whether this process sends requests with a restricted subject
// and makes the trials of a convicted one. A request that is admitted with a suspected or restricted
// subject, or as a trial, is in flight until End.
func (q *Quarantine) Admit(now time.Duration, request uint64, subjects []Subject, mayTry func(Subject) bool) (Admission, Subject) {
	subject, standing := q.Worst(subjects)
	if standing == Convicted {
		q.records[subject].lastSeen = now
	}
	for _, p := range subjects {
		switch q.Standing(p) {
		case Convicted:
			if !q.trialDue(now, q.records[p]) || !mayTry(p) {
				return Refused, p
			}
		case Restricted:
			if !mayTry(p) {
				return Refused, p
			}
		case Clear, Suspected:
		}
	}
	for _, p := range subjects {
		if holder, busy := q.inFlight[p]; busy && holder != request {
			if standing == Convicted {
				return Refused, p
			}
			return Wait, p
		}
	}
	for _, p := range subjects {
		switch q.Standing(p) {
		case Convicted:
			r := q.records[p]
			r.trials++
			r.lastTrial = now
			q.setInFlight(p, request)
		case Suspected, Restricted:
			q.setInFlight(p, request)
		case Clear:
		}
	}
	return Admitted, subject
}

func (q *Quarantine) setInFlight(p Subject, request uint64) {
	q.inFlight[p] = request
	q.version++
}

// trialDue reports whether it is time for the next trial of a convicted subject.
func (q *Quarantine) trialDue(now time.Duration, r *record) bool {
	if r.trials >= r.rules.MaxTrials {
		return false
	}
	wait := r.rules.FirstTrial
	for range r.trials {
		wait *= time.Duration(r.rules.TrialFactor)
	}
	return now >= r.lastTrial+wait
}

// End records that a request is no longer in flight.
func (q *Quarantine) End(request uint64) {
	for p, holder := range q.inFlight {
		if holder == request {
			delete(q.inFlight, p)
			q.version++
		}
	}
}

// Holding is the state of a subject that is convicted or restricted.
type Holding struct {
	Convicted bool
	// InFlight is the one request with it that may be sent now, which is a trial if Convicted;
	// 0 = none.
	InFlight uint64
	// Trials is how many trials there were.
	Trials int
}

// Held returns the convicted and the restricted subjects.
func (q *Quarantine) Held() map[Subject]Holding {
	held := map[Subject]Holding{}
	for p, r := range q.records {
		if s := q.Standing(p); s >= Restricted {
			held[p] = Holding{Convicted: r.convicted, InFlight: q.inFlight[p], Trials: r.trials}
		}
	}
	return held
}

// Version changes whenever the result of Held may.
func (q *Quarantine) Version() uint64 {
	return q.version
}
