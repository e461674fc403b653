package scheduler

import (
	"math"
	"time"
)

// Gate restricts what this entry may send to single endpoints, whatever their slots allow.
type Gate interface {
	// Rate returns the most requests per second that an endpoint takes from all entries
	// together; false = it is not restricted.
	Rate(endpoint string) (perSecond float64, restricted bool)
	// Open reports whether a request may be sent to an endpoint now.
	Open(now time.Duration, endpoint string) bool
	// RestsUntil returns until when an endpoint is closed, whatever its rate; false = it is not.
	RestsUntil(now time.Duration, endpoint string) (time.Duration, bool)
	// Due reports whether a request should be sent to a restricted endpoint in order to learn
	// whether it still is.
	Due(now time.Duration, endpoint string) bool
	// Take records that a request is placed at an endpoint that is open. It returns until when
	// it must be sent; 0 = the endpoint is not restricted.
	Take(now time.Duration, endpoint string) time.Duration
}

// openGate restricts nothing.
type openGate struct{}

func (openGate) RestsUntil(time.Duration, string) (time.Duration, bool) { return 0, false }

func (openGate) Rate(string) (float64, bool)              { return 0, false }
func (openGate) Open(time.Duration, string) bool          { return true }
func (openGate) Due(time.Duration, string) bool           { return false }
func (openGate) Take(time.Duration, string) time.Duration { return 0 }

// SetGate sets what restricts the sends to endpoints. It is asked during Plan.
func (s *Scheduler) SetGate(g Gate) {
	s.gate = g
}

// restrictedDemand is the demand for the restricted endpoints of a service.
type restrictedDemand struct {
	urgency    float64       // of the first request that waits
	lastQueued time.Duration // when a request was last queued
}

const (
	// activeTime is how long after a request of a service one more is expected.
	activeTime = time.Second
	// maxRestrictedDemand bounds the demand for one restricted endpoint.
	maxRestrictedDemand = 8
)

// Demand is what this entry would send to a restricted endpoint now.
type Demand struct {
	Endpoint string
	Requests int
	// Urgency is that of the first request; 0 if none waits.
	Urgency float64
}

// RestrictedDemand returns the demand for restricted endpoints as of the last Plan. Where no
// request waits but some came of late, it is one request, since the next one may go there.
func (s *Scheduler) RestrictedDemand(now time.Duration, endpoints []string) []Demand {
	var demands []Demand
	for _, id := range endpoints {
		e, d := s.endpoints[id], Demand{Endpoint: id}
		if e == nil {
			continue
		}
		if r := s.restricted[e.Service]; r != nil && e.usable(now) {
			switch waiting := len(s.queues[e.Service]); {
			case waiting > 0:
				d.Requests, d.Urgency = min(waiting, maxRestrictedDemand), r.urgency
			case now < r.lastQueued+activeTime:
				d.Requests = 1
			}
		}
		demands = append(demands, d)
	}
	return demands
}

// recordRestrictedDemand records what a plan left in the queue of a service.
func (s *Scheduler) recordRestrictedDemand(now time.Duration, service string, p *pool) {
	queue := s.queues[service]
	if !p.restricted {
		delete(s.restricted, service)
		return
	}
	d := &restrictedDemand{lastQueued: now}
	if len(queue) > 0 {
		d.urgency = s.urgency(now, queue[0], p)
	}
	s.restricted[service] = d
}

// restEnd returns when the first endpoint of a service is back from its rest; false = some does
// not rest.
func (p *pool) restEnd() (time.Duration, bool) {
	first := time.Duration(math.MaxInt64)
	for _, c := range p.candidates {
		if c.restsUntil == 0 {
			return 0, false
		}
		first = min(first, c.restsUntil)
	}
	return first, len(p.candidates) > 0
}

// usableSlots returns how many slots of the service's endpoints this entry can keep busy with
// requests like r. A restricted endpoint has as many busy as its rate allows.
func (s *Scheduler) usableSlots(r *Request, p *pool) float64 {
	switch {
	case p.pacer != nil:
		return max(p.pacer.share, minUsableSlots)
	case !p.restricted:
		return float64(max(p.ownLimit, 1))
	}
	slotTime := s.slotTime(r, p)
	slots := 0.0
	for _, c := range p.candidates {
		n := float64(c.slots + s.cfg.Overcommit)
		switch {
		case c.restsUntil > 0:
			n = 0
		case c.restricted:
			n = min(n, c.rate*slotTime)
		}
		slots += n
	}
	own := float64(p.ownRunning + len(s.queues[r.Service]))
	if total := own + float64(s.peers.demand[r.Service]); total > slots && own > 0 {
		slots *= own / total
	}
	return max(slots, minUsableSlots)
}

// minUsableSlots keeps expected waits finite.
const minUsableSlots = 1e-3
