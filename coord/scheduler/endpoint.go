package scheduler

import (
	"slices"
	"time"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/load"
)

const (
	// eventIntervalGain is the weight of a new sample of the time between events.
	eventIntervalGain = 0.3
	// gapSampleSize is how many gaps between events make up a sample.
	gapSampleSize = 8
	// biasDecay is the factor applied to the weight of past first events at each new one.
	biasDecay = 0.99
	// biasPrior is the weight of the assumption that estimates are unbiased, in seconds of expected time.
	biasPrior = 1.0
	// serviceTimeGain is the weight of a new sample of a plain service's time, and of
	// the prompt tokens per event.
	serviceTimeGain = 0.1
	// failureGain is the weight of a new outcome in the failure rate of an endpoint.
	failureGain = 0.1
	// defaultEventInterval is the assumed time between events before any sample.
	defaultEventInterval = 25 * time.Millisecond
	// defaultServiceTime is the assumed time of a plain request before any sample.
	defaultServiceTime = 20 * time.Millisecond
	// defaultPromptTokensPerEvent is how many prompt tokens an endpoint is assumed to
	// prefill in the time between two events.
	defaultPromptTokensPerEvent = 1200.0
	// minEjection and maxEjection bound how long an endpoint is ejected after failures
	// to reach it.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
)

// run is a request in progress at an endpoint.
type run struct {
	request            Request
	endpoint           *endpoint
	sentAt             time.Duration
	lastByteAt         time.Duration
	expectedFirstEvent time.Duration // expected time to the first event
	firstEventSeen     bool
}

// endpoint is the state of one endpoint as this entry sees it.
type endpoint struct {
	directory.Endpoint
	listed               bool            // in the last SetEndpoints
	outsideGroup         bool            // belongs to another group of entries, see SetEntries
	runs                 map[uint64]*run // of this entry, by request ID
	eventInterval        time.Duration   // time between events; 0 = unknown
	serviceTime          time.Duration   // time of a plain request; 0 = unknown
	promptTokensPerEvent float64         // prompt tokens prefilled in the time between two events; 0 = unknown
	failureRate          float64         // moving average of the share of failed attempts
	connectFailures      int             // consecutive failures to reach the endpoint
	ejectedUntil         time.Duration   // gets no new requests before
	stated               load.Endpoint   // what it stated of its load
	verdict              load.Verdict    // on the last statement
	slow                 bool            // by the last statement
	statesPace           bool            // some statement of this incarnation carried a pace
	lastByteAt           time.Duration
}

// GapSample estimates the time between events from a series of gaps: the mean without
// the longest quarter, which is stretched by the prefill of other requests. It returns
// 0 while there are too few gaps, and sorts them otherwise.
func GapSample(gaps []time.Duration) time.Duration {
	if len(gaps) < gapSampleSize {
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

// usable tells whether the endpoint may get new requests.
func (e *endpoint) usable(now time.Duration) bool {
	return e.listed && !e.Draining && now >= e.ejectedUntil
}

// pendingPromptTokens sums the prompt tokens of this entry's runs without a first event.
func (e *endpoint) pendingPromptTokens() int {
	tokens := 0
	for _, r := range e.runs {
		if !r.firstEventSeen {
			tokens += r.request.PromptTokens
		}
	}
	return tokens
}

func (e *endpoint) observeEventInterval(now, sample time.Duration) {
	if sample <= 0 {
		return
	}
	if e.eventInterval == 0 {
		e.eventInterval = sample
		e.stated.Learned(now, 1)
		return
	}
	e.stated.Learned(now, eventIntervalGain)
	e.eventInterval += time.Duration(eventIntervalGain * float64(sample-e.eventInterval))
}

// observePromptTime records how long a first event took, with the number of prompt
// tokens up to and including the request's own. slowdown is by how much work takes longer there than
// the learned time between events says.
func (e *endpoint) observePromptTime(tokens int, spent time.Duration, slowdown float64) {
	if e.eventInterval <= 0 || spent <= e.eventInterval || tokens < 1000 {
		return
	}
	sample := float64(tokens) * float64(e.eventInterval) * slowdown / float64(spent)
	sample = min(max(sample, defaultPromptTokensPerEvent/4), defaultPromptTokensPerEvent*4)
	if e.promptTokensPerEvent == 0 {
		e.promptTokensPerEvent = defaultPromptTokensPerEvent
	}
	e.promptTokensPerEvent += serviceTimeGain * (sample - e.promptTokensPerEvent)
}

func (e *endpoint) observeServiceTime(now, spent time.Duration) {
	if e.serviceTime == 0 {
		e.serviceTime = spent
		e.stated.Learned(now, 1)
		return
	}
	e.stated.Learned(now, serviceTimeGain)
	e.serviceTime += time.Duration(serviceTimeGain * float64(spent-e.serviceTime))
}

// observeOutcome records whether an attempt that reached the endpoint failed there.
func (e *endpoint) observeOutcome(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	e.failureRate += failureGain * (sample - e.failureRate)
}

// eject excludes the endpoint for a time that doubles with each consecutive failure.
func (e *endpoint) eject(now time.Duration) {
	duration := minEjection << min(e.connectFailures, 6)
	e.connectFailures++
	e.ejectedUntil = now + min(duration, maxEjection)
}

// clearEjection resets the consecutive failures once the endpoint was reached.
func (e *endpoint) clearEjection() {
	e.connectFailures = 0
	e.ejectedUntil = 0
}

// bias compares expected times to first events with actual ones. The estimates are too
// long where prompts in the last reports of other entries have been prefilled since.
type bias struct {
	expected, actual float64 // exponentially decayed sums, in seconds
}

func (b *bias) observe(expected, actual time.Duration) {
	b.expected = b.expected*biasDecay + expected.Seconds()
	b.actual = b.actual*biasDecay + actual.Seconds()
}

// ratio returns the factor that corrects an expected time.
func (b *bias) ratio() float64 {
	return (b.actual + biasPrior) / (b.expected + biasPrior)
}
