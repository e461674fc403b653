package scheduler

import (
	"math"
	"slices"
	"time"

	"primrosespoke.dev/coord/places"
)

// Places of model engines beside many entries; see package places for the load that it answers.

const (
	// calmShare is the demand of all entries, as a share of the slots, below which requests are
	// placed without asking. Where little is in use, two that meet at an endpoint find room.
	calmShare = 0.45
	// askingRequests is for how many waiting requests places are asked for, and askedEndpoints at how
	// many endpoints for each that has to wait.
	askingRequests = 4
	askedEndpoints = 2
	// fullCost is the additional cost, in seconds, of asking for a place at an endpoint for each run
	// beyond its slots, as a share of the slots.
	fullCost = 0.5
)

// want is how many places at an endpoint this entry asks for, and the urgency of the first request.
type want struct {
	count   int
	urgency float64
}

// SetPlaces sets what gives out the places of model engines; nil = each entry places by itself.
func (s *Scheduler) SetPlaces(p *places.Places) {
	s.places = p
}

// UpdatePlaces tells the places what this entry holds and wants as of the last Plan.
func (s *Scheduler) UpdatePlaces() {
	for id, e := range s.endpoints {
		if !s.services[e.Service].Engine {
			continue
		}
		s.places.SetHeld(id, places.Load{Running: len(e.runs), PromptTokens: e.pendingPromptTokens()})
		w := s.wants[id]
		if len(s.queues[e.Service]) == 0 {
			w = want{}
		}
		s.places.SetWanted(id, w.count, w.urgency)
	}
}

// reached tells the home of an endpoint whether a run has reached it.
func (s *Scheduler) reached(e *endpoint, ok bool) {
	switch {
	case s.places == nil:
	case ok:
		s.places.Reached(e.ID)
	default:
		s.places.Failed(e.ID)
	}
}

// regulate takes over for a candidate what the home of its endpoint says.
func (s *Scheduler) regulate(now time.Duration, c *candidate, calm bool) {
	id := c.endpoint.ID
	if others, _, known := s.places.Others(now, id); known {
		c.running = len(c.endpoint.runs) + others.Running
		c.pendingPromptTokens = c.endpoint.pendingPromptTokens() + others.PromptTokens
	}
	c.regulated = s.places.Regulated(now, id) && !(calm && float64(c.running) < calmShare*float64(c.slots))
	c.granted = s.places.Unused(now, id)
}

// isCalm reports whether requests of a service need not ask for places.
func (s *Scheduler) isCalm(service string, p *pool) bool {
	return float64(p.ownRunning+len(s.queues[service])+s.peers.demand[service]) < calmShare*float64(p.slots)
}

// askForPlaces chooses the endpoints at which places are asked for, for the first of the requests
// that wait.
func (s *Scheduler) askForPlaces(now time.Duration, service string, waiting []*Request, p *pool) {
	for _, c := range p.candidates {
		delete(s.wants, c.endpoint.ID)
	}
	for _, r := range waiting[:min(len(waiting), askingRequests)] {
		urgency := s.urgency(now, r, p)
		for _, c := range s.cheapestToAsk(now, r, p) {
			w := s.wants[c.endpoint.ID]
			s.wants[c.endpoint.ID] = want{count: w.count + 1, urgency: max(w.urgency, urgency)}
			c.asked++
		}
	}
}

// cheapestToAsk returns the endpoints at which a place for a request is asked for: one that has
// room as far as is known, or several.
func (s *Scheduler) cheapestToAsk(now time.Duration, r *Request, p *pool) []*candidate {
	type choice struct {
		c    *candidate
		cost float64
	}
	var choices []choice
	for _, c := range p.candidates {
		if c.regulated && c.open && !r.Avoid[c.endpoint.ID] && r.mayRunAt(c.endpoint) && s.hasMemory(now, r, c, p) {
			cost := s.cost(now, r, c)
			if over := c.running + c.asked + 1 - c.slots; over > 0 {
				cost += fullCost * (1 + float64(over)/float64(c.slots))
			}
			choices = append(choices, choice{c: c, cost: cost})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return int(math.Copysign(1, a.cost-b.cost)) })
	var asked []*candidate
	for _, each := range choices[:min(len(choices), askedEndpoints)] {
		asked = append(asked, each.c)
		if each.c.running+each.c.asked < each.c.slots {
			break
		}
	}
	return asked
}
