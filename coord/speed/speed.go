// Package speed learns how fast an endpoint is from its own completions, and
// how many runs at a time it carries within a promised token interval.
//
// The time of a decode step is taken as a + b·n for n runs at a time. Both are
// fitted by least squares over samples that fade, and the whole line is moved
// at once when a few samples in a row show that the endpoint has become slower
// or faster than the line says.
package speed

import (
	"math"
	"time"
)

const (
	// fade is how much of a past sample's weight is left after one more.
	fade = 0.995
	// priorWeight is the weight of the assumed line, in samples; it does not fade.
	priorWeight = 2
	// shiftAfter is how many samples in a row must disagree before the line is moved.
	shiftAfter = 3
	// shiftRatio is how far off a sample must be to disagree.
	shiftRatio = 1.6
	// margin is the part of the promised interval that is used.
	margin = 0.92
	// beyond is how far above the promise a single run's interval must be for the
	// promise to count as out of reach.
	beyond = 1.25
	// probe is how far beyond the runs seen at a time the count of places may go.
	probe = 2
	// prefillGain is the weight of a new prefill sample.
	prefillGain = 0.2
	// minPrefill is the least count of tokens that tells the speed of prefill.
	minPrefill = 32
	// maxPrefixes bounds the prefixes remembered.
	maxPrefixes = 4096
)

// Config holds what is assumed before anything is learned.
type Config struct {
	// Step and StepPerRun are the assumed line.
	Step time.Duration
	// StepPerRun is added for each run.
	StepPerRun time.Duration
	// PrefillPerSecond is the assumed speed of prefill, in tokens.
	PrefillPerSecond float64
	// FirstPlaces is the count of places until samples allow more.
	FirstPlaces int
	// MaxPlaces bounds the count of places.
	MaxPlaces int
}

// Estimator is the state for one endpoint. It is used by one goroutine.
type Estimator struct {
	cfg      Config
	promise  time.Duration
	w        float64 // sums over samples: weights, n, n², y, n·y
	sn, snn  float64
	sy, sny  float64
	scale    float64 // of the prior, which moves with the line
	off      int     // samples in a row that disagree: above 0 slower, below 0 faster
	offRatio float64
	seen     int // most runs at a time with samples
	prefill  float64
	prefixes map[uint64]int
	order    []uint64
}

// New returns a learner that knows only what is assumed.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg: cfg, scale: 1, prefill: cfg.PrefillPerSecond, seen: cfg.FirstPlaces,
		prefixes: map[uint64]int{},
	}
}

// SetTargetInterval sets the shortest token interval that a tier promises; 0 = none.
func (l *Estimator) SetTargetInterval(interval time.Duration) {
	l.promise = interval
}

// ObserveInterval takes in the mean time between tokens of one run while n runs were in service.
func (l *Estimator) ObserveInterval(n int, interval time.Duration) {
	if n < 1 || interval <= 0 {
		return
	}
	y := interval.Seconds()
	l.notice(y / l.at(float64(n)))
	x := float64(n)
	l.w = l.w*fade + 1
	l.sn = l.sn*fade + x
	l.snn = l.snn*fade + x*x
	l.sy = l.sy*fade + y
	l.sny = l.sny*fade + x*y
	l.seen = max(l.seen, n)
}

// ObserveStall takes in that n runs have had no token for some time.
func (l *Estimator) ObserveStall(n int, silent time.Duration) {
	if n >= 1 && silent.Seconds() > shiftRatio*l.at(float64(n)) {
		l.ObserveInterval(n, silent)
	}
}

// notice counts samples that disagree with the line and moves it when they persist.
func (l *Estimator) notice(ratio float64) {
	direction := 0
	if ratio > shiftRatio {
		direction = 1
	}
	if ratio < 1/shiftRatio {
		direction = -1
	}
	if direction == 0 || direction*l.off < 0 {
		l.off = 0
		l.offRatio = 0
	}
	if direction == 0 {
		return
	}
	l.off += direction
	l.offRatio += math.Log(ratio)
	if l.off*direction < shiftAfter {
		return
	}
	l.move(math.Exp(l.offRatio / float64(l.off*direction)))
	l.off, l.offRatio = 0, 0
}

// move multiplies all learned times.
func (l *Estimator) move(ratio float64) {
	l.sy *= ratio
	l.sny *= ratio
	l.scale *= ratio
	l.prefill /= ratio
}

// line returns the fitted a and b in seconds, neither below 0.
func (l *Estimator) line() (a, b float64) {
	w, sn, snn, sy, sny := l.w, l.sn, l.snn, l.sy, l.sny
	for _, n := range []float64{1, 16} {
		y := l.scale * (l.cfg.Step.Seconds() + n*l.cfg.StepPerRun.Seconds())
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

func (l *Estimator) at(n float64) float64 {
	a, b := l.line()
	return max(a+b*n, 1e-6)
}

// TokenInterval returns the expected time between tokens with n runs in service.
func (l *Estimator) TokenInterval(n int) time.Duration {
	return seconds(l.at(float64(max(n, 1))))
}

// Places returns how many runs at a time keep the promised interval. Where the
// endpoint cannot keep it with a single run, the count is the one at which
// half of its greatest throughput is reached, since fewer would help nobody.
func (l *Estimator) Places() int {
	a, b := l.line()
	places := l.cfg.MaxPlaces
	limit := l.promise.Seconds() * margin
	switch {
	case l.promise <= 0 || b <= 0:
	case a+b <= beyond*l.promise.Seconds():
		places = int((limit - a) / b)
	default:
		places = int(math.Round(a / b))
	}
	return max(1, min(places, l.seen+probe, l.cfg.MaxPlaces))
}

// ObservePrefill takes in a first token that came some time after the start of a run
// whose prompt had so many tokens computed, with n runs in service.
func (l *Estimator) ObservePrefill(tokens, n int, first time.Duration) {
	spent := first.Seconds() - l.at(float64(max(n, 1)))
	if tokens < minPrefill || spent <= 0 {
		return
	}
	l.prefill += prefillGain * (float64(tokens)/spent - l.prefill)
}

// PrefillPerSecond returns the learned speed of prefill, in tokens.
func (l *Estimator) PrefillPerSecond() float64 {
	return l.prefill
}

// ObserveCached takes in how many tokens of a prompt with a prefix the endpoint's cache held.
func (l *Estimator) ObserveCached(prefix uint64, tokens int) {
	if prefix == 0 {
		return
	}
	if _, known := l.prefixes[prefix]; !known {
		l.order = append(l.order, prefix)
	}
	l.prefixes[prefix] = tokens
	if len(l.order) > maxPrefixes {
		delete(l.prefixes, l.order[0])
		l.order = l.order[1:]
	}
}

// ClearCache forgets what the cache was said to hold, as after many evictions or a restart.
func (l *Estimator) ClearCache() {
	l.prefixes = map[uint64]int{}
	l.order = nil
}

// ServiceTime returns the expected time of service of a request with n runs in service.
func (l *Estimator) ServiceTime(prefix uint64, prompt, generated, n int) time.Duration {
	computed := max(prompt-l.prefixes[prefix], 0)
	return seconds(float64(computed)/l.prefill + float64(generated)*l.at(float64(max(n, 1))))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
