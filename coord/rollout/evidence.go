package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Counts are what one entry saw of one version on one route since the order, or a sum of such
// counts. They never fall.
type Counts struct {
	// Sent counts the requests that were placed, Answered those whose answer was judged, and Bad
	// those of them that failed or were too slow.
	Sent, Answered, Bad int64
}

func (c Counts) plus(other Counts) Counts {
	return Counts{Sent: c.Sent + other.Sent, Answered: c.Answered + other.Answered, Bad: c.Bad + other.Bad}
}

func (c Counts) atLeast(other Counts) Counts {
	return Counts{Sent: max(c.Sent, other.Sent), Answered: max(c.Answered, other.Answered), Bad: max(c.Bad, other.Bad)}
}

// Pair holds the counts of the versions before and of the target.
type Pair struct{ Old, New Counts }

// Evidence is what was seen of both versions, by route.
type Evidence map[string]Pair

// MergeEvidence returns what is known from two reports of one entry, of which either may be the
// older one. It is commutative, associative and idempotent.
func MergeEvidence(a, b Evidence) Evidence {
	merged := make(Evidence, max(len(a), len(b)))
	for _, each := range []Evidence{a, b} {
		for route, p := range each {
			known := merged[route]
			merged[route] = Pair{Old: known.Old.atLeast(p.Old), New: known.New.atLeast(p.New)}
		}
	}
	return merged
}

// add adds what another entry saw.
func (e Evidence) add(other Evidence) {
	for route, p := range other {
		known := e[route]
		e[route] = Pair{Old: known.Old.plus(p.Old), New: known.New.plus(p.New)}
	}
}

// total sums over all routes.
func (e Evidence) total() Pair {
	var sum Pair
	for _, p := range e {
		sum = Pair{Old: sum.Old.plus(p.Old), New: sum.New.plus(p.New)}
	}
	return sum
}

const (
	// priorAnswers and priorBad are the answers that the rate of bad answers of the old version is
	// assumed from before there are any: two of a hundred.
	priorAnswers, priorBad = 25.0, 0.5
	// minBad is the least number of bad answers from which a version is found bad.
	minBad = 5
	// rateFactor is how many times the old version's rate of bad answers is still accepted, and
	// deviations how many standard deviations beyond it. Routes and both windows are judged
	// several times a second, so that fewer deviations would take good versions back.
	rateFactor, deviations, badMargin = 1.5, 3.0, 3.0
	// surelyBad is the number of bad answers that rolls a version back unless the old version
	// answers about as badly. The page's bound on time counts from the 50th; some are under way.
	surelyBad = 40
)

// expectedBad returns how many bad answers the old version would have given in place of the target.
func (p Pair) expectedBad() float64 {
	return float64(p.New.Answered) * (float64(p.Old.Bad) + priorBad) / (float64(p.Old.Answered) + priorAnswers)
}

// worse reports whether the target answers worse than the version before, beyond chance.
func (p Pair) worse() bool {
	expected := p.expectedBad()
	bad := float64(p.New.Bad)
	return p.New.Bad >= minBad && bad > rateFactor*expected+deviations*math.Sqrt(expected)+badMargin ||
		p.New.Bad >= surelyBad && bad > rateFactor*expected
}

// suspectDeviations and suspectMargin are deviations and badMargin of a version that may be worse by
// chance. A good version with 2 bad answers of 54, by chance, must not be among them.
const suspectDeviations, suspectMargin = 2.0, 1.5

// suspect reports whether the target answers worse, but perhaps by chance.
func (p Pair) suspect() bool {
	expected := p.expectedBad()
	return float64(p.New.Bad) > rateFactor*expected+suspectDeviations*math.Sqrt(expected)+suspectMargin
}

// minSilent is the least number of requests, and answeredShare the least part of them to be answered,
// without which a version is not taken for good: it may turn all away as not run.
const minSilent, answeredShare = 10, 0.5

// silent reports whether the target has answered so few requests that nothing is known of it.
func (p Pair) silent() bool {
	return p.New.Sent >= minSilent && float64(p.New.Answered) < answeredShare*float64(p.New.Sent)
}

// worseRoute returns the route on which the target answers worse; "all routes" for the sum.
func (e Evidence) worseRoute() (string, bool) {
	routes := make([]string, 0, len(e))
	for route := range e {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	for _, route := range routes {
		if e[route].worse() {
			return route, true
		}
	}
	return "all routes", e.total().worse()
}

const (
	// neededAnswers is how many answers of the target on a route are enough to judge it.
	neededAnswers = 12
	// neededShare is the part of the requests that the share allows on a route whose answers are
	// waited for, where these are fewer than neededAnswers.
	neededShare = 0.3
)

// enough reports whether the target has answered often enough on all routes on which the old
// version is asked. share is the part of the requests that goes to the target.
func (e Evidence) enough(share float64) bool {
	for _, p := range e {
		needed := min(neededAnswers, math.Floor(neededShare*share*float64(p.Old.Sent+p.New.Sent)))
		if float64(p.New.Answered) < needed {
			return false
		}
	}
	return true
}

const (
	// slowFactor is how many times slower than the old version at the same moment an answer counts
	// as bad, plus slowMargin, below which differences are those of the network. staleSlowFactor
	// applies where the old version has not answered for recentTime, since the load may have
	// changed since.
	slowFactor, staleSlowFactor = 2.5, 4.0
	slowMargin                  = 25 * time.Millisecond
	recentTime                  = 2 * time.Second
	// sampleCount bounds the times of the old version that are kept for a route.
	sampleCount = 31
	minSamples  = 3
	// newestSamples are those that count where fewer than minSamples are recent.
	newestSamples = 5
)

// sample is how long the old version took for an answer, relative to the weight of its request.
type sample struct {
	at    time.Duration
	value float64
}

// pace is how long the old version takes on a route.
type pace struct {
	own     []sample
	peers   float64 // what other entries have seen; 0 = unknown
	peersAt time.Duration
}

func (p *pace) add(now time.Duration, value float64) {
	p.own = append(p.own, sample{at: now, value: value})
	if len(p.own) > sampleCount {
		p.own = slices.Delete(p.own, 0, len(p.own)-sampleCount)
	}
}

// median returns the median of the samples that are not older than an age; 0 = there are too few.
func (p *pace) median(now, age time.Duration) float64 {
	var values []float64
	for _, s := range p.own {
		if s.at >= now-age {
			values = append(values, s.value)
		}
	}
	if len(values) < minSamples {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// limit returns the time, relative to the weight of a request, beyond which an answer is slow; 0 =
// unknown.
func (p *pace) limit(now time.Duration) float64 {
	recent := p.median(now, recentTime)
	if recent == 0 && p.peersAt >= now-recentTime {
		recent = p.peers
	}
	if recent > 0 {
		return slowFactor * recent
	}
	newest := pace{own: p.own[max(len(p.own)-newestSamples, 0):]} // the load of longer ago may have been another one
	return staleSlowFactor * cmp.Or(newest.median(now, math.MaxInt64/2), p.peers)
}

// isSlow reports whether an answer took too long.
func (p *pace) isSlow(now, took time.Duration, weight float64) bool {
	limit := p.limit(now)
	return limit > 0 && took > time.Duration(limit*weight*float64(time.Second))+slowMargin
}
