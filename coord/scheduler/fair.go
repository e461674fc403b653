package scheduler

import "math"

// sizeClass groups the requests of a kind by their size against the mean of the kind.
type sizeClass int

const (
	ordinary sizeClass = iota
	large
	largest
	sizeClasses
)

const (
	// largeRatio and largestRatio are the sizes, against the mean, at which a request is
	// large: by the spread of users' requests about a fifth and a tenth are.
	largeRatio   = 1.1
	largestRatio = 2.2
	// placedGain is the weight of a new request in the share of its like that is placed.
	placedGain = 0.05
	// fairShare is how often large requests are to be placed against all of their kind.
	// The users ask for half; the rest is margin, as each entry sees few large ones.
	fairShare = 0.7
	// liftPower makes the lift steep, so that it is 1 until a size is behind.
	liftPower = 3.0
	// maxLift bounds what raises the worth of large requests.
	maxLift = 8.0
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

// placedShares is which shares of a kind's requests were placed lately, and not turned away.
type placedShares struct {
	all    float64
	bySize [sizeClasses]float64
}

func newPlacedShares() *placedShares {
	p := &placedShares{all: 1}
	for i := range p.bySize {
		p.bySize[i] = 1
	}
	return p
}

// observe takes in whether a request was placed or turned away.
func (p *placedShares) observe(size sizeClass, placed bool) {
	sample := 0.0
	if placed {
		sample = 1
	}
	p.all += placedGain * (sample - p.all)
	p.bySize[size] += placedGain * (sample - p.bySize[size])
}

// lift is what the worth of a request is multiplied by so that its size does not
// starve. In a long overload the worth per second of a slot alone serves the small
// requests of a kind and hardly any large one.
func (p *placedShares) lift(size sizeClass) float64 {
	if size == ordinary {
		return 1
	}
	behind := fairShare * p.all / max(p.bySize[size], 1/maxLift)
	return min(max(math.Pow(behind, liftPower), 1), maxLift)
}
