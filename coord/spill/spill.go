// Package spill decides how much of a service's demand leaves a failure domain, and to which
// other domains it goes.
//
// The load that it answers: demand comes in waves with another phase in each domain, and traffic
// between domains is slow and costs money. Endpoints that are dealt to entries without regard to
// domains carry most requests across; endpoints that are kept to their domain stand idle while
// another domain refuses.
//
// Demand is counted where callers are: the requests of the domain's entries, running anywhere or
// waiting. So it does not depend on where requests are placed, and a decision has no effect on
// its own inputs. Each domain whose demand exceeds its slots by more than what may wait sends the
// excess; each with less demand than slots takes up to its free slots. The excess of all is
// divided among the free slots of all in proportion, so that however many domains send, none is
// sent more than it has free. Between taking and sending lies a range of demand in which a domain
// does neither, wider than the demand changes while a report travels, and a domain that has sent
// does not take for a while. Two domains therefore do not exchange requests, although each entry
// decides by itself from reports of another age.
//
// Shapes: one Planner per entry and service, one Domain per failure domain with endpoints or
// entries. Units: slots and requests (1 request occupies 1 slot), seconds. The package has no I/O,
// clock, goroutine or random source.
package spill

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the settings of a Planner.
type Config struct {
	// WayCost is what the way to another domain costs, as the time that a caller would rather wait:
	// the latency there and back, and the price of the bytes.
	WayCost time.Duration
	// WaitShare is the share of the time that callers have left which they may wait at most.
	WaitShare float64
	// Fill is the share of its slots up to which a domain serves its own requests, and TakeFill that
	// up to which it takes those of others.
	Fill, TakeFill float64
	// Smoothing is the time constant of the demand of a domain, and ShortSmoothing that of requests
	// that run for a shorter time than reports are old.
	Smoothing, ShortSmoothing time.Duration
	// Hold is for how long a domain that has sent requests takes none.
	Hold time.Duration
}

// DefaultConfig returns the settings for domains that are some milliseconds apart.
func DefaultConfig() Config {
	return Config{
		WayCost:        20 * time.Millisecond,
		WaitShare:      0.25,
		Fill:           0.9,
		TakeFill:       0.95,
		Smoothing:      100 * time.Millisecond,
		ShortSmoothing: 400 * time.Millisecond,
		Hold:           300 * time.Millisecond,
	}
}

// maxWaitingShare bounds the requests that may wait in a domain, as a share of its slots: with short
// runs, what drains within the way's cost would exceed the queues of the endpoints.
const maxWaitingShare = 0.5

// Domain is what an entry knows of one failure domain.
type Domain struct {
	Name string
	// Slots of the usable endpoints in the domain.
	Slots float64
	// Demand counts the requests of the domain's entries that run or wait.
	Demand float64
	// Entries is the number of entries in the domain and Heard of those whose reports are in force.
	Entries, Heard int
	// Age is the mean age of these reports, and MaxAge the age from which on they are not relied on.
	Age, MaxAge time.Duration
}

// Load is what a decision is taken from.
type Load struct {
	Own     string // name of the own domain
	Domains []Domain
	// Work is how long a request occupies a slot, in seconds; 0 = unknown.
	Work float64
	// Short tells that requests run for a shorter time than reports are old. Their number then varies
	// by chance, and none may wait on top of that.
	Short bool
	// TimeLeft is how long the callers in the own domain can still wait.
	TimeLeft time.Duration
}

// Decision says which part of the own domain's demand leaves it.
type Decision struct {
	// Slots and Demand are those of the own domain, and Wait is how long its callers would wait
	// if none left.
	Slots, Demand float64
	Wait          time.Duration
	// Home counts the slots of the own domain that are for its own callers: all of them, unless the
	// callers of other domains wait longer.
	Home float64
	// Allowed is how long they may wait.
	Allowed time.Duration
	// Leaving counts the requests that run outside, of all entries of the domain; To by domain.
	Leaving float64
	To      map[string]float64
	// Room counts the free slots of the domains that take requests.
	Room map[string]float64
	// Spare counts the slots of the other domains that stay free. They are for requests that would be refused
	// otherwise.
	Spare map[string]float64
	// Pressure is the demand of all domains as a part of their slots.
	Pressure float64
	// Excess is the sum of what all domains would send, and Age the greatest age of a report that
	// the free slots are known from.
	Excess float64
	Age    time.Duration
}

// Share returns the part of the demand that leaves the domain.
func (d Decision) Share() float64 {
	return min(d.Leaving*max(d.Pressure, 1)/max(d.Demand, 1), 1)
}

// Planner decides for one entry and service.
type Planner struct {
	cfg    Config
	at     time.Duration
	known  bool
	demand map[string]float64       // smoothed, by domain
	sentAt map[string]time.Duration // when a domain's demand last exceeded its slots
	last   Decision
}

// New returns a planner.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, demand: map[string]float64{}, sentAt: map[string]time.Duration{}}
}

// Last returns the last decision.
func (p *Planner) Last() Decision { return p.last }

// Decide returns which part of the demand leaves the own domain now.
func (p *Planner) Decide(now time.Duration, l Load) Decision {
	gain, smoothing := 1.0, p.cfg.Smoothing
	if l.Short {
		smoothing = p.cfg.ShortSmoothing
	}
	if p.known && smoothing > 0 {
		gain = 1 - math.Exp(-max(now-p.at, 0).Seconds()/smoothing.Seconds())
	}
	p.at, p.known = now, true
	d := Decision{To: map[string]float64{}, Room: map[string]float64{}, Spare: map[string]float64{}}
	d.Allowed = min(p.cfg.WayCost, time.Duration(p.cfg.WaitShare*float64(max(l.TimeLeft, 0))))
	domains := slices.SortedFunc(slices.Values(l.Domains), func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	demands := make([]float64, len(domains))
	allDemand, allSlots := 0.0, 0.0
	for i, each := range domains {
		demands[i] = p.smooth(each, gain)
		if each.Name == l.Own || trust(each) > 0 {
			allDemand += demands[i]
			allSlots += each.Slots
		}
	}
	pressure := 1.0
	if allSlots > 0 {
		pressure = allDemand / allSlots
	}
	// Beyond the slots of all domains the demand of each counts in proportion, so that callers wait
	// alike in all of them.
	fill, scale := min(max(p.cfg.Fill, pressure), 1), max(pressure, 1)
	d.Pressure = pressure
	ownExcess, room := 0.0, 0.0
	for i, each := range domains {
		demand := demands[i]
		excess := demand/scale - fill*each.Slots - mayWait(each, d.Allowed, l)
		if excess > 0 {
			p.sentAt[each.Name] = now
			d.Excess += excess
		}
		if each.Name == l.Own {
			ownExcess, d.Slots, d.Demand, d.Home = excess, each.Slots, demand, each.Slots
			if scale > 1 {
				d.Home = min(each.Slots, demand/scale)
			}
			d.Wait = time.Duration(max(demand-each.Slots, 0) / max(each.Slots, 1) * l.Work * float64(time.Second))
			continue
		}
		if !l.Short {
			demand = max(demand, each.Demand)
		}
		if spare := trust(each) * (each.Slots - demand); spare > 0 {
			d.Spare[each.Name] = spare
		}
		if sent, ok := p.sentAt[each.Name]; ok && now < sent+p.cfg.Hold {
			continue
		}
		if free := trust(each) * (max(p.cfg.TakeFill, fill)*each.Slots - demand/scale); free > 0 {
			d.Room[each.Name] = free
			d.Age = max(d.Age, each.Age)
			room += free
		}
	}
	if ownExcess > 0 && room > 0 {
		d.Leaving = ownExcess * min(room/d.Excess, 1)
		for name, free := range d.Room {
			d.To[name] = d.Leaving * free / room
		}
	}
	for name, free := range d.Room { // the rest of the free slots is taken by what all domains send
		d.Spare[name] = max(d.Spare[name]-free*min(d.Excess/room, 1), 0)
	}
	p.last = d
	return d
}

// smooth returns the smoothed demand of a domain.
func (p *Planner) smooth(d Domain, gain float64) float64 {
	known, ok := p.demand[d.Name]
	if !ok {
		known = d.Demand
	}
	known += gain * (d.Demand - known)
	p.demand[d.Name] = known
	return known
}

// mayWait returns how many requests beyond the slots may wait in a domain.
func mayWait(d Domain, allowed time.Duration, l Load) float64 {
	if l.Work <= 0 || l.Short {
		return 0
	}
	return d.Slots * min(allowed.Seconds()/l.Work, maxWaitingShare)
}

// trust returns how far the demand of a domain is relied on, from 0 to 1. Of a domain with entries of
// which most are not heard, nothing is known; the older their reports, the less is relied on.
func trust(d Domain) float64 {
	switch {
	case 2*d.Heard < d.Entries:
		return 0
	case d.Heard == 0 || d.MaxAge <= 0:
		return 1
	}
	return 1 - min(max(d.Age.Seconds()/d.MaxAge.Seconds(), 0), 1)
}

// Quota returns how many requests one of a domain's entries may run in another domain, of the given
// number that all of them may run there. own and all are its demand and that of all; position is its
// position in their common order, from 0 to below 1. By that the whole numbers of all entries add up
// to about the number, also where each has less than one.
func Quota(number, own, all, position float64) int {
	if own <= 0 || number <= 0 {
		return 0
	}
	return int(math.Floor(number*min(own/max(all, own), 1) + position))
}
