package scheduler

import (
	"slices"
	"time"

	"primrosespoke.dev/coord/directory"
)

const (
	// paceGain is the weight of a new sample of an endpoint's pace.
	paceGain = 0.3
	// paceBlock is how many gaps between events make a sample.
	paceBlock = 8
	// biasFade is how much of a past first event's weight is left after one more.
	biasFade = 0.99
	// biasPrior is the weight of an unbiased estimate, in seconds of expected time.
	biasPrior = 1.0
	// workGain is the weight of a new sample of a plain service's time.
	workGain = 0.1
	// failureGain is the weight of a new outcome in an endpoint's failure rate.
	failureGain = 0.1
	// defaultEventTime is the assumed time between events before any was seen.
	defaultEventTime = 25 * time.Millisecond
	// defaultWork is the assumed time of a plain request before any was seen.
	defaultWork = 20 * time.Millisecond
	// promptPerEvent is how many prompt tokens are assumed to be read in the time of an event.
	promptPerEvent = 1200.0
	// ejectBase and ejectLimit bound how long an endpoint is left out after failures to reach it.
	ejectBase  = 300 * time.Millisecond
	ejectLimit = 4 * time.Second
)

// run is a request in progress at an endpoint.
type run struct {
	request  Request
	endpoint *endpoint
	sent     time.Duration
	lastByte time.Duration
	expected time.Duration // to the first event
	first    bool          // a first event has come
}

// endpoint is what an entry knows of one endpoint.
type endpoint struct {
	directory.Endpoint
	listed    bool
	away      bool // this entry is not at home here
	runs      map[uint64]*run
	pace      time.Duration // time between events; 0 = unknown
	work      time.Duration // time of a plain request; 0 = unknown
	promptPer float64       // prompt tokens read in the time of an event; 0 = unknown
	failures  float64       // share of failed attempts, recent ones first
	broken    int           // failures to reach it in a row
	ejected   time.Duration // no new work before
	lastByte  time.Duration
}

// GapSample returns the time between events that a block of gaps shows, their mean
// without the longest quarter, which prompts of neighbours stretch; 0 until the block is full.
func GapSample(gaps []time.Duration) time.Duration {
	if len(gaps) < paceBlock {
		return 0
	}
	slices.Sort(gaps)
	kept := gaps[:len(gaps)-len(gaps)/4]
	var sum time.Duration
	for _, gap := range kept {
		sum += gap
	}
	return sum / time.Duration(len(kept))
}

func newEndpoint(row directory.Endpoint) *endpoint {
	return &endpoint{Endpoint: row, listed: true, runs: map[uint64]*run{}}
}

// usable tells whether the endpoint may get new work.
func (e *endpoint) usable(now time.Duration) bool {
	return e.listed && !e.Draining && now >= e.ejected
}

// pending is the prompt tokens of own runs that have not had their first event.
func (e *endpoint) pending() int {
	tokens := 0
	for _, r := range e.runs {
		if !r.first {
			tokens += r.request.PromptTokens
		}
	}
	return tokens
}

func (e *endpoint) observePace(sample time.Duration) {
	if sample <= 0 {
		return
	}
	if e.pace == 0 {
		e.pace = sample
		return
	}
	e.pace += time.Duration(paceGain * float64(sample-e.pace))
}

// observePrompt takes in how long a prompt took that had so many tokens before it and in it.
func (e *endpoint) observePrompt(tokens int, spent time.Duration) {
	if e.pace <= 0 || spent <= e.pace || tokens < 1000 {
		return
	}
	sample := float64(tokens) * float64(e.pace) / float64(spent)
	sample = min(max(sample, promptPerEvent/4), promptPerEvent*4)
	if e.promptPer == 0 {
		e.promptPer = promptPerEvent
	}
	e.promptPer += workGain * (sample - e.promptPer)
}

func (e *endpoint) observeWork(spent time.Duration) {
	if e.work == 0 {
		e.work = spent
		return
	}
	e.work += time.Duration(workGain * float64(spent-e.work))
}

// outcome takes in whether an attempt that reached the endpoint failed there.
func (e *endpoint) outcome(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	e.failures += failureGain * (sample - e.failures)
}

// unreachable leaves the endpoint out for a time that doubles with each failure in a row.
func (e *endpoint) unreachable(now time.Duration) {
	pause := ejectBase << min(e.broken, 6)
	e.broken++
	e.ejected = now + min(pause, ejectLimit)
}

// reached ends a row of failures.
func (e *endpoint) reached() {
	e.broken = 0
	e.ejected = 0
}

// bias compares expected times to first events with those that came. Prompts that
// others have had read since their last report make the estimate too long.
type bias struct {
	expected, actual float64 // fading sums, in seconds
}

func (b *bias) observe(expected, actual time.Duration) {
	b.expected = b.expected*biasFade + expected.Seconds()
	b.actual = b.actual*biasFade + actual.Seconds()
}

// ratio returns what an unadjusted estimate is to be multiplied by.
func (b *bias) ratio() float64 {
	return (b.actual + biasPrior) / (b.expected + biasPrior)
}
