package scheduler

import "math"

// sizeClass groups requests of one class by their size relative to the mean of the class.
type sizeClass int

const (
	ordinary sizeClass = iota
	large
	largest
	sizeClassCount
)

const (
	// largeRatio and largestRatio are the sizes, relative to the mean, from which a
	// request is large or largest. By the distribution of users' requests, these are
	// about a fifth and a tenth of all.
	largeRatio   = 1.1
	largestRatio = 2.2
	// placementRateGain is the weight of a new request in the placement rates.
	placementRateGain = 0.05
	// largePlacementShare is the target placement rate of large requests relative to
	// that of their whole class. The users require half; the rest is a margin, as each
	// entry sees few large requests.
	largePlacementShare = 0.7
	// boostPower makes the boost rise steeply once the placement rate of a size class
	// falls below its target; until then the boost is 1.
	boostPower = 3.0
	// maxBoost bounds the factor by which the value of large requests is raised.
	maxBoost = 8.0
)

func sizeClassOf(size, mean float64) sizeClass {
	switch {
	case mean <= 0 || size < largeRatio*mean:
		return ordinary
	case size < largestRatio*mean:
		return large
	}
	return largest
}

// placementRates holds the share of a class's recent requests that were placed rather
// than refused.
type placementRates struct {
	all    float64
	bySize [sizeClassCount]float64
}

func newPlacementRates() *placementRates {
	p := &placementRates{all: 1}
	for i := range p.bySize {
		p.bySize[i] = 1
	}
	return p
}

// observe records whether a request was placed or refused.
func (p *placementRates) observe(size sizeClass, placed bool) {
	sample := 0.0
	if placed {
		sample = 1
	}
	p.all += placementRateGain * (sample - p.all)
	p.bySize[size] += placementRateGain * (sample - p.bySize[size])
}

// boost returns the factor for the value of a request that keeps its size class from
// starving. In a long overload, value per slot-second alone serves the small requests
// of a class and hardly any large one.
func (p *placementRates) boost(size sizeClass) float64 {
	if size == ordinary {
		return 1
	}
	deficit := largePlacementShare * p.all / max(p.bySize[size], 1/maxBoost)
	return min(max(math.Pow(deficit, boostPower), 1), maxBoost)
}
