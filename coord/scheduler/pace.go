package scheduler

import (
	"math"
	"time"
)

// Pacing of plain services.
//
// The load that it answers: runs of tens of milliseconds at a few endpoints, and so many entries
// that a report is older than a run lasts and an entry's fair share is less than one slot. Entries
// that hold back while the last reports say "full" and send when they say "empty" do so all at
// once: the endpoints stand idle and shed by turns. A share of less than one slot can be kept only
// over time. So each entry keeps an account of slot-seconds: its share is paid in continuously,
// and each of its runs draws on it for as long as it lasts, in the endpoint's own queue as well.
// However old the reports are, the runs of all entries add up to what the endpoints can take.

const (
	// pacedQueueShare is how many runs may wait in the endpoints' own queues, per slot, if the
	// reports are as old as a run lasts or older. It keeps slots busy whose state is not known.
	pacedQueueShare = 1.3
	// arrivalMemory is the time constant of the arrival rate.
	arrivalMemory = 2 * time.Second
	// maxPacedCredit bounds, in runs, what an entry that has nothing to send saves up.
	maxPacedCredit = 1.5
	// maxPacedDebt bounds by how much, in runs, an entry's account may be overdrawn.
	maxPacedDebt = 2.0
	// minPacedShare is the least share of an entry, as a fraction of an even one.
	minPacedShare = 0.25
)

// pacer holds an entry's account with the slots of one service.
type pacer struct {
	share   float64       // slots paid in
	credit  float64       // slot-seconds
	running int           // runs of this entry
	at      time.Duration // of credit

	arrivals float64       // count that decays with arrivalMemory
	since    time.Duration // the first arrival
	seenAt   time.Duration // of arrivals
}

func (s *Scheduler) pacerOf(service string) *pacer {
	p := s.pacers[service]
	if p == nil {
		p = &pacer{}
		s.pacers[service] = p
	}
	return p
}

// arrive records a request.
func (p *pacer) arrive(now time.Duration) {
	if p.arrivals == 0 && p.seenAt == 0 {
		p.since, p.seenAt = now, now
	}
	p.decay(now)
	p.arrivals++
}

func (p *pacer) decay(now time.Duration) {
	if now > p.seenAt {
		p.arrivals *= math.Exp(-(now - p.seenAt).Seconds() / arrivalMemory.Seconds())
		p.seenAt = now
	}
}

// rate returns the recent arrivals per second.
func (p *pacer) rate(now time.Duration) float64 {
	if p.arrivals == 0 {
		return 0
	}
	p.decay(now)
	observed := 1 - math.Exp(-max(now-p.since, 100*time.Millisecond).Seconds()/arrivalMemory.Seconds())
	return p.arrivals / arrivalMemory.Seconds() / observed
}

// advance brings the account up to date. work is how long a run lasts, in seconds.
func (p *pacer) advance(now time.Duration, work float64) {
	if now > p.at {
		p.credit += (p.share - float64(p.running)) * (now - p.at).Seconds()
		p.at = now
	}
	p.credit = min(max(p.credit, -maxPacedDebt*work), maxPacedCredit*work)
}

// allows reports whether the entry may start one more run.
func (p *pacer) allows(work float64) bool {
	return p.credit/work >= float64(p.running+1)-p.share-pacedRounding
}

// pacedRounding keeps a share that is a whole number of slots usable in full.
const pacedRounding = 1e-6

// pace sets this entry's share of a plain service's slots.
func (s *Scheduler) pace(now time.Duration, service string, p *pool) {
	account := s.pacerOf(service)
	p.pacer = account
	account.running = p.ownRunning
	account.advance(now, p.serviceTime)
	p.staleness = s.peers.meanAge(now).Seconds() / p.serviceTime
	if p.domains != nil {
		s.paceInDomain(service, p, account.rate(now))
		return
	}
	slots := float64(p.slots) * (1 + pacedQueueShare*min(p.staleness, 1))
	own := p.ownRunning + len(s.queues[service])
	if own+s.peers.demand[service] <= p.slots {
		account.share = slots
		account.credit = maxPacedCredit * p.serviceTime
		return
	}
	rate := account.rate(now)
	total := rate + s.peers.arrivals[service]
	even := slots / float64(len(s.peers.reports)+1)
	account.share = min(max(slots*rate/max(total, 1e-9), minPacedShare*even), slots)
}

// comparable returns those of the candidates that may run a request among which the cheapest is
// chosen. Entries with the same old reports would all choose the same endpoint, so the older the
// reports, the fewer are drawn at random; from an age of a run on it is one. Endpoints that fail
// requests more often than others are not drawn.
func (s *Scheduler) comparable(p *pool, suitable []*candidate) []*candidate {
	if p.pacer == nil || p.staleness < freshReports {
		return suitable
	}
	leastFailures := math.Inf(1)
	for _, c := range suitable {
		if c.available(s.cfg.Overcommit) {
			leastFailures = min(leastFailures, c.endpoint.failureRate)
		}
	}
	var sound []*candidate
	for _, i := range s.rng.Perm(len(suitable)) {
		if c := suitable[i]; c.available(s.cfg.Overcommit) && c.endpoint.failureRate <= leastFailures+toleratedFailures {
			sound = append(sound, c)
		}
	}
	n := 1 + int(float64(len(p.candidates)-1)/(1+stalenessDrawWeight*p.staleness))
	return sound[:min(n, len(sound))]
}

const (
	// freshReports is the age of the reports, in times that a run lasts, below which all
	// endpoints are compared.
	freshReports = 0.1
	// stalenessDrawWeight sets how fast the number of endpoints that are compared falls with the
	// age of the reports.
	stalenessDrawWeight = 4.0
	// toleratedFailures is by how much the failure rate of an endpoint may exceed the lowest one
	// for the endpoint to be drawn: two failures of late, without which chance would leave out
	// sound endpoints.
	toleratedFailures = 0.15
)
