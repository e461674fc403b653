package scheduler

import (
	"math"
	"time"

	"primrosespoke.dev/coord/fairshare"
	"primrosespoke.dev/coord/memory"
)

// peers holds the newest reports of the other entries. It keeps their sums, since a plan
// looks up every endpoint, and there may be many entries.
type peers struct {
	reports  map[string]peerReport
	loads    map[string]peerLoad        // by endpoint
	demand   map[string]int             // by service
	arrivals map[string]float64         // requests per second, by plain service
	work     map[string]*fairshare.Work // of client accounts, by service
	excess   map[string]int             // see Report.Excess
	self     string                     // name of this entry

	receivedAt time.Duration // sum over all reports
	nextExpiry time.Duration // no report expires before
}

// peerLoad is the load of all other entries at one endpoint.
type peerLoad struct {
	Load
	unsizedRunning, unsizedPrompts int // of those that do not report the memory that they need
	reservedFirst                  int // by those whose reservations precede this entry's
}

type peerReport struct {
	Report
	receivedAt time.Duration
}

func newPeers() peers {
	return peers{reports: map[string]peerReport{}, loads: map[string]peerLoad{}, demand: map[string]int{}, arrivals: map[string]float64{}, work: map[string]*fairshare.Work{}, excess: map[string]int{}}
}

// set replaces the report of an entry.
func (p *peers) set(now time.Duration, from string, r Report) {
	if r.Work == nil {
		r.Work = p.reports[from].Work
	}
	p.remove(from)
	p.reports[from] = peerReport{Report: r, receivedAt: now}
	p.receivedAt += now
	p.nextExpiry = min(p.nextExpiry, now+r.TTL) // or later, if Config.ReportTTL is longer
	p.add(from, r, 1)
}

// setSelf sets the name of this entry, by which reservations precede each other.
func (p *peers) setSelf(self string) {
	if self == p.self {
		return
	}
	for from, r := range p.reports {
		p.add(from, r.Report, -1)
	}
	p.self = self
	for from, r := range p.reports {
		p.add(from, r.Report, 1)
	}
}

func (p *peers) remove(from string) {
	if known, ok := p.reports[from]; ok {
		p.add(from, known.Report, -1)
		p.receivedAt -= known.receivedAt
		delete(p.reports, from)
	}
}

func (p *peers) add(from string, r Report, sign int) {
	for id, l := range r.Loads {
		sum := p.loads[id]
		sum.Running += sign * l.Running
		sum.PromptTokens += sign * l.PromptTokens
		if l.MemoryTokens > 0 {
			sum.MemoryTokens += sign * min(max(l.MemoryTokens, l.PromptTokens), l.Running*maxPeerNeed)
		} else {
			sum.unsizedRunning += sign * l.Running
			sum.unsizedPrompts += sign * l.PromptTokens
		}
		if reserved := min(l.ReservedTokens, maxPeerNeed); reserved > 0 {
			sum.ReservedTokens += sign * reserved
			if memory.Precedes(from, p.self, id) {
				sum.reservedFirst += sign * reserved
			}
		}
		if sum == (peerLoad{}) {
			delete(p.loads, id)
			continue
		}
		p.loads[id] = sum
	}
	for service, rate := range r.Arrivals {
		p.arrivals[service] = max(p.arrivals[service]+float64(sign)*rate, 0)
	}
	for service, w := range r.Work {
		if p.work[service] == nil {
			p.work[service] = &fairshare.Work{}
		}
		p.work[service].Add(w, int64(sign))
	}
	for service, n := range r.Excess {
		if p.excess[service] += sign * min(n, r.Demand[service]); p.excess[service] == 0 {
			delete(p.excess, service)
		}
	}
	for service, n := range r.Demand {
		if p.demand[service] += sign * n; p.demand[service] == 0 {
			delete(p.demand, service)
		}
	}
}

// accountWork returns the recent work of client accounts at a service through the other entries.
func (p *peers) accountWork(service string) fairshare.Work {
	if w := p.work[service]; w != nil {
		return *w
	}
	return fairshare.Work{}
}

// arrivalsWithoutAccounts sums the arrivals at entries that do not report the work of accounts.
func (p *peers) arrivalsWithoutAccounts(service string) float64 {
	rate := 0.0
	for _, r := range p.reports {
		if _, ok := r.Work[service]; !ok {
			rate += r.Arrivals[service]
		}
	}
	return rate
}

// expire drops reports whose time to live has passed.
func (p *peers) expire(now, ttl time.Duration) {
	if now < p.nextExpiry {
		return
	}
	p.nextExpiry = math.MaxInt64
	for name, r := range p.reports {
		expiry := r.receivedAt + max(ttl, r.TTL)
		if now >= expiry {
			p.remove(name)
			continue
		}
		p.nextExpiry = min(p.nextExpiry, expiry)
	}
}

// oldestAge returns the age of the oldest report; 0 if there is none.
func (p *peers) oldestAge(now time.Duration) time.Duration {
	age := time.Duration(0)
	for _, r := range p.reports {
		age = max(age, now-r.receivedAt)
	}
	return age
}

// meanAge returns the mean age of the reports; 0 if there is none.
func (p *peers) meanAge(now time.Duration) time.Duration {
	if len(p.reports) == 0 {
		return 0
	}
	return now - p.receivedAt/time.Duration(len(p.reports))
}
