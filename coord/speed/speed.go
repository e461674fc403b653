// Package speed estimates how fast an endpoint is from the timing of its own runs,
// and how many concurrent runs it can serve within a target token interval.
//
// The time of a decode step is modelled as a + b·n for n concurrent runs. Both
// coefficients are fitted by least squares over exponentially decaying samples and
// a prior. When several samples in a row show that the endpoint has become slower
// or faster than the fit, all learned times are rescaled at once.
package speed

import (
	"math"
	"time"
)

const (
	// sampleDecay is the factor applied to the weight of all past samples at each new one.
	sampleDecay = 0.995
	// priorWeight is the weight of each point of the prior, in samples; it does not decay.
	priorWeight = 2
	// shiftSamples is how many samples in a row must deviate before the estimates are rescaled.
	shiftSamples = 3
	// shiftRatio is the ratio between a sample and the fit, either way, above which the sample deviates.
	shiftRatio = 1.6
	// targetShare is the part of the target interval that Places plans with; the rest is a margin.
	targetShare = 0.92
	// unreachableRatio is how many times the target interval a single run's interval
	// must exceed for the target to count as out of reach.
	unreachableRatio = 1.25
	// extraPlaces is how far the number of places may exceed the most concurrent runs observed.
	extraPlaces = 2
	// prefillGain is the weight of a new sample in the moving average of the prefill rate.
	prefillGain = 0.2
	// minPrefillTokens is the smallest prefill, in tokens, from which the prefill rate
	// is estimated.
	minPrefillTokens = 32
	// maxPrefixes bounds the number of prefixes remembered.
	maxPrefixes = 4096
)

// Config holds the values assumed before any sample, and the bounds of the places.
type Config struct {
	// Step is the assumed time of a decode step apart from what each run adds.
	Step time.Duration
	// StepPerRun is the assumed time that each concurrent run adds to a step.
	StepPerRun time.Duration
	// PrefillPerSecond is the assumed prefill rate, in tokens per second.
	PrefillPerSecond float64
	// FirstPlaces is the number of places until samples allow more.
	FirstPlaces int
	// MaxPlaces bounds the number of places.
	MaxPlaces int
}

// Estimator holds the estimates for one endpoint. It must be used by one goroutine only.
type Estimator struct {
	cfg              Config
	targetInterval   time.Duration
	sumWeight        float64 // decayed sums over samples of n runs that took y seconds: weights, n, n², y, n·y
	sumN, sumNN      float64
	sumY, sumNY      float64
	priorScale       float64 // rescales the prior together with the samples
	shiftCount       int     // samples in a row that deviate: above 0 slower, below 0 faster
	shiftLogSum      float64 // sum of the logarithms of their ratios to the fit
	maxRuns          int     // most concurrent runs with samples, at least Config.FirstPlaces
	prefillPerSecond float64
	cachedTokens     map[uint64]int // by prefix hash
	prefixOrder      []uint64       // keys of cachedTokens, oldest first
}

// New returns an estimator that knows only the assumed values.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg: cfg, priorScale: 1, prefillPerSecond: cfg.PrefillPerSecond, maxRuns: cfg.FirstPlaces,
		cachedTokens: map[uint64]int{},
	}
}

// SetTargetInterval sets the shortest token interval that any tier promises; 0 = none.
func (l *Estimator) SetTargetInterval(interval time.Duration) {
	l.targetInterval = interval
}

// ObserveInterval records the mean time between tokens of one run while n runs were in service.
func (l *Estimator) ObserveInterval(n int, interval time.Duration) {
	if n < 1 || interval <= 0 {
		return
	}
	y := interval.Seconds()
	l.detectShift(y / l.stepSeconds(float64(n)))
	x := float64(n)
	l.sumWeight = l.sumWeight*sampleDecay + 1
	l.sumN = l.sumN*sampleDecay + x
	l.sumNN = l.sumNN*sampleDecay + x*x
	l.sumY = l.sumY*sampleDecay + y
	l.sumNY = l.sumNY*sampleDecay + x*y
	l.maxRuns = max(l.maxRuns, n)
}

// ObserveStall records that n runs have received no token for the given time. Times
// that do not deviate from the expected interval are ignored.
func (l *Estimator) ObserveStall(n int, stalled time.Duration) {
	if n >= 1 && stalled.Seconds() > shiftRatio*l.stepSeconds(float64(n)) {
		l.ObserveInterval(n, stalled)
	}
}

// detectShift counts samples in a row that deviate from the fit in one direction, and
// rescales the estimates by their mean ratio once there are enough. The ratio is that
// of the sample to the fit.
func (l *Estimator) detectShift(ratio float64) {
	direction := 0
	if ratio > shiftRatio {
		direction = 1
	}
	if ratio < 1/shiftRatio {
		direction = -1
	}
	if direction == 0 || direction*l.shiftCount < 0 {
		l.shiftCount = 0
		l.shiftLogSum = 0
	}
	if direction == 0 {
		return
	}
	l.shiftCount += direction
	l.shiftLogSum += math.Log(ratio)
	if l.shiftCount*direction < shiftSamples {
		return
	}
	l.rescale(math.Exp(l.shiftLogSum / float64(l.shiftCount*direction)))
	l.shiftCount, l.shiftLogSum = 0, 0
}

// rescale multiplies all learned times by a ratio.
func (l *Estimator) rescale(ratio float64) {
	l.sumY *= ratio
	l.sumNY *= ratio
	l.priorScale *= ratio
	l.prefillPerSecond /= ratio
}

// fit returns the coefficients a and b in seconds, neither below 0.
func (l *Estimator) fit() (a, b float64) {
	w, sn, snn, sy, sny := l.sumWeight, l.sumN, l.sumNN, l.sumY, l.sumNY
	// The prior counts as two points of the assumed line, at 1 and 16 runs.
	for _, n := range []float64{1, 16} {
		y := l.priorScale * (l.cfg.Step.Seconds() + n*l.cfg.StepPerRun.Seconds())
		w += priorWeight
		sn += priorWeight * n
		snn += priorWeight * n * n
		sy += priorWeight * y
		sny += priorWeight * n * y
	}
	b = (w*sny - sn*sy) / (w*snn - sn*sn)
	a = (sy - b*sn) / w
	if b < 0 {
		return sy / w, 0
	}
	if a < 0 {
		return 0, sny / snn
	}
	return a, b
}

// stepSeconds returns the expected time of a decode step with n runs, always above 0.
func (l *Estimator) stepSeconds(n float64) float64 {
	a, b := l.fit()
	return max(a+b*n, 1e-6)
}

// TokenInterval returns the expected time between tokens with n runs in service.
func (l *Estimator) TokenInterval(n int) time.Duration {
	return seconds(l.stepSeconds(float64(max(n, 1))))
}

// Places returns how many concurrent runs keep the target interval. Where the
// endpoint cannot keep it with a single run, the result is the number of runs that
// reaches half of its maximum throughput (a/b), since fewer would not meet the
// target either.
func (l *Estimator) Places() int {
	a, b := l.fit()
	places := l.cfg.MaxPlaces
	limit := l.targetInterval.Seconds() * targetShare
	switch {
	case l.targetInterval <= 0 || b <= 0:
	case a+b <= unreachableRatio*l.targetInterval.Seconds():
		places = int((limit - a) / b)
	default:
		places = int(math.Round(a / b))
	}
	return max(1, min(places, l.maxRuns+extraPlaces, l.cfg.MaxPlaces))
}

// ObservePrefill records the time from the start of a run to its first token, where
// that many tokens of its prompt had to be computed and n runs were in service.
func (l *Estimator) ObservePrefill(tokens, n int, first time.Duration) {
	spent := first.Seconds() - l.stepSeconds(float64(max(n, 1)))
	if tokens < minPrefillTokens || spent <= 0 {
		return
	}
	l.prefillPerSecond += prefillGain * (float64(tokens)/spent - l.prefillPerSecond)
}

// PrefillPerSecond returns the estimated prefill rate, in tokens per second.
func (l *Estimator) PrefillPerSecond() float64 {
	return l.prefillPerSecond
}

// ObserveCached records how many tokens of a prompt with this prefix hash were in the endpoint's cache.
func (l *Estimator) ObserveCached(prefix uint64, tokens int) {
	if prefix == 0 {
		return
	}
	if _, known := l.cachedTokens[prefix]; !known {
		l.prefixOrder = append(l.prefixOrder, prefix)
	}
	l.cachedTokens[prefix] = tokens
	if len(l.prefixOrder) > maxPrefixes {
		delete(l.cachedTokens, l.prefixOrder[0])
		l.prefixOrder = l.prefixOrder[1:]
	}
}

// ClearCache forgets which prefixes are cached, for example after many evictions or a
// restart of the endpoint.
func (l *Estimator) ClearCache() {
	l.cachedTokens = map[uint64]int{}
	l.prefixOrder = nil
}

// ServiceTime returns the expected service time of a request with n runs in service,
// given the numbers of prompt tokens and generated tokens.
func (l *Estimator) ServiceTime(prefix uint64, prompt, generated, n int) time.Duration {
	uncached := max(prompt-l.cachedTokens[prefix], 0)
	return seconds(float64(uncached)/l.prefillPerSecond + float64(generated)*l.stepSeconds(float64(max(n, 1))))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
