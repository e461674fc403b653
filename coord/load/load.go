// Package load estimates the number of requests that one endpoint holds and the pace of its machine,
// from what the entry runs there itself, from other entries' reports and from the endpoint's own
// statements.
//
// The load that it answers: other entries' reports are 20 to 350 ms old, so a third of the placements
// goes to engines that are full while others have free slots. Machines slow down by a factor of up to
// five within 100 ms, and for less time than a learned speed needs to follow.
//
// A statement counts the work of all callers, and an entry hears one exactly where it sends work. But
// it may be false, stuck, absurd or absent. So it expires soon, and it moves the number of requests by a
// bounded part of the slots only. The pace is used relative to the paces at which the speeds in use were
// learned: a pace that is always the same has no effect, whatever it is.
//
// Counts are requests, times are offsets on the caller's clock, and a pace is the time that work takes
// relative to the usual time. The package has no I/O, clock or goroutine.
package load

import (
	"math"
	"time"
)

// Statement is what an endpoint says of its own load in an answer. It counts the work of all callers.
type Statement struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the endpoint's machine now, relative to the usual time, if HasPace.
	Pace    float64
	HasPace bool
}

// held returns the requests that the endpoint holds.
func (s Statement) held() int { return s.Running + s.Waiting }

// Verdict says whether a statement is used, or why not.
type Verdict string

// Verdicts on a statement.
const (
	Used Verdict = "used"
	// Inconsistent: its numbers do not fit each other or the endpoint's slots.
	Inconsistent Verdict = "inconsistent"
	// Contradicted: it counts fewer requests than this entry alone runs there.
	Contradicted Verdict = "contradicted"
)

const (
	// freshTime is how long a statement counts in full, and expiry when it is forgotten; in between
	// its weight falls linearly. Paces change many times a second.
	freshTime = 100 * time.Millisecond
	expiry    = 500 * time.Millisecond
	// maxRaise and maxReduction bound by how much a statement changes the number of requests that
	// reports show, as a share of the slots. A false "full" leaves half of the slots usable, and a false
	// "empty" overfills an endpoint by a quarter.
	maxRaise     = 0.5
	maxReduction = 0.25
	// baseAge is added to the ages of a statement and of the reports before they are compared: the time
	// that either is on its way and being processed.
	baseAge = 10 * time.Millisecond
	// unheardAge is taken for the age of the reports where there are none.
	unheardAge = time.Second
	// minPace and maxPace bound the stated pace, and minFactor and maxPace the factor that follows from it.
	minPace, maxPace = 0.5, 8.0
	minFactor        = 0.25
	// endedSlack is how many runs an endpoint may have ended whose ends are not known here yet.
	endedSlack = 2
	// maxHeldPerSlot is the number of requests per slot above which a statement is absurd.
	maxHeldPerSlot = 32
	// usualPaceTime is the time constant, in seconds, with which the usual pace follows the stated ones.
	// A single one counts as at most usualPaceStep (logarithm of a ratio) from it, so that short bursts
	// hardly move it, and a false pace that is always the same is the usual one after some seconds.
	usualPaceTime = 2.0
	usualPaceStep = 0.4
	// maxStatementTime is for how many seconds, since the one before, a statement counts at most.
	maxStatementTime = 1.0
	// deviationGain is the least weight of a new statement in bias and spread. The first ones count more.
	deviationGain = 0.1
	// toleratedBias is the bias, as a share of the slots, beyond which statements are corrected for it,
	// and toleratedSpread the spread beyond which they lose weight.
	toleratedBias   = 0.08
	toleratedSpread = 0.2
)

// Own is what the entry itself runs at the endpoint.
type Own struct {
	// Sent are the requests that have had the time to reach the endpoint, and Answering those of which
	// it has sent a part of the answer.
	Sent, Answering int
}

// Endpoint is what one endpoint has stated in its present incarnation. The zero value knows nothing.
type Endpoint struct {
	last     Statement
	at       time.Duration
	others   int // requests of other callers, by the last statement that was used
	known    bool
	observed float64 // statements in bias and spread
	bias     float64 // mean by which statements exceed the reports of the time
	spread   float64 // mean distance of that from bias

	pace        float64 // last one stated
	pacedAt     time.Duration
	usualPace   float64 // follows the stated ones slowly; 0 = none was stated
	slow        bool    // see Slow
	learnedPace float64 // mean of the paces at which the speeds were learned, with the weights of the samples
}

// Observe takes a statement. reported is the number of requests of other callers by the reports of the
// time, and slots are those of the endpoint as configured.
func (e *Endpoint) Observe(now time.Duration, st Statement, own Own, reported, slots int) Verdict {
	verdict := check(st, own, slots)
	if verdict != Used {
		return verdict
	}
	e.last, e.at, e.known = st, now, true
	e.others = max(st.held()-own.Sent, 0)
	deviation := deviation(e.others, reported, slots)
	e.observed++
	gain := max(deviationGain, 1/(e.observed+1))
	e.bias += gain * (deviation - e.bias)
	e.spread += gain * (math.Abs(deviation-e.bias) - e.spread)
	if !st.HasPace {
		return verdict
	}
	pace := min(max(st.Pace, minPace), maxPace)
	if e.usualPace == 0 {
		// The first statement may come from a burst, so the usual pace starts at what its name says.
		e.usualPace, e.learnedPace, e.pacedAt = 1, 1, now
	}
	counts := min((now - e.pacedAt).Seconds(), maxStatementTime)
	step := min(max(math.Log(pace/e.usualPace), -usualPaceStep), usualPaceStep)
	e.usualPace *= math.Exp(step * counts / usualPaceTime)
	e.pace, e.pacedAt = pace, now
	return verdict
}

func check(st Statement, own Own, slots int) Verdict {
	switch {
	case st.Running < 0 || st.Waiting < 0 || st.Slots <= 0 || st.Running > st.Slots:
		return Inconsistent
	case st.held() > maxHeldPerSlot*max(slots, 1):
		return Inconsistent
	case st.HasPace && !(st.Pace > 0 && !math.IsInf(st.Pace, 0)):
		return Inconsistent
	case st.held()+endedSlack < own.Answering:
		return Contradicted
	}
	return Used
}

// Last returns the last statement that was used, and when it came; false if there is none.
func (e *Endpoint) Last() (Statement, time.Duration, bool) {
	return e.last, e.at, e.known
}

// deviation returns by how much what is stated exceeds what is reported, within the slots.
func deviation(stated, reported, slots int) float64 {
	return float64(min(max(stated-reported, -slots), slots))
}

// weight returns the weight of what was stated at a time, from 1 to 0.
func weight(age time.Duration) float64 {
	return min(max(float64(expiry-age)/float64(expiry-freshTime), 0), 1)
}

// Others estimates the requests of other callers at the endpoint. reported is their number by other
// entries' reports, which have the given mean age; heard tells that there are any.
func (e *Endpoint) Others(now time.Duration, reported, slots int, reportAge time.Duration, heard bool) int {
	if !e.known || now-e.at >= expiry {
		return reported
	}
	if !heard {
		reportAge = unheardAge
	}
	age := max(now-e.at, 0)
	// The variance of either number grows with its age, so each counts inversely to its age.
	share := weight(age) * float64(reportAge+baseAge) / float64(reportAge+age+2*baseAge)
	excess := math.Copysign(max(math.Abs(e.bias)-toleratedBias*float64(slots), 0), e.bias)
	share *= min(max(2-e.spread/(toleratedSpread*float64(slots)), 0), 1)
	change := share * (deviation(e.others, reported, slots) - excess)
	change = min(max(change, -maxReduction*float64(slots)), maxRaise*float64(slots))
	return max(reported+int(math.Round(change)), 0)
}

// currentPace returns the pace that is believed now: the stated one, and the usual one once that has expired.
func (e *Endpoint) currentPace(now time.Duration) float64 {
	return e.usualPace + (e.pace-e.usualPace)*weight(now-e.pacedAt)
}

// Factor returns by how much work takes longer now than speeds as learned say.
func (e *Endpoint) Factor(now time.Duration) float64 {
	if e.usualPace == 0 {
		return 1
	}
	return min(max(e.currentPace(now)/e.learnedPace, minFactor), maxPace)
}

// slowFrom and slowUntil are the paces, relative to the usual one, from which on a machine counts as
// slow, and up to which it does not.
const slowFrom, slowUntil = 1.5, 1.2

// Slow reports whether the endpoint's machine counts as slow by its last statement.
func (e *Endpoint) Slow(now time.Duration) bool {
	if e.usualPace == 0 {
		return false
	}
	limit := slowFrom
	if e.slow {
		limit = slowUntil
	}
	e.slow = e.currentPace(now) >= limit*e.usualPace
	return e.slow
}

// Learned records that a sample of the endpoint's speed was taken, with the weight that it got.
func (e *Endpoint) Learned(now time.Duration, gain float64) {
	if e.usualPace > 0 {
		e.learnedPace += gain * (e.currentPace(now) - e.learnedPace)
	}
}
