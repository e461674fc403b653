package scheduler

import "time"

// peers is what the other entries hold, by their newest reports. Sums are kept, since
// a plan looks at each endpoint, and there may be many entries.
type peers struct {
	reports map[string]peerReport
	loads   map[string]Load // by endpoint
	demand  map[string]int  // by service
}

type peerReport struct {
	Report
	at time.Duration
}

func newPeers() peers {
	return peers{reports: map[string]peerReport{}, loads: map[string]Load{}, demand: map[string]int{}}
}

// put takes the place of an entry's earlier report.
func (p *peers) put(now time.Duration, from string, r Report) {
	p.remove(from)
	p.reports[from] = peerReport{Report: r, at: now}
	p.add(r, 1)
}

func (p *peers) remove(from string) {
	if known, ok := p.reports[from]; ok {
		p.add(known.Report, -1)
		delete(p.reports, from)
	}
}

func (p *peers) add(r Report, sign int) {
	for id, l := range r.Loads {
		sum := p.loads[id]
		sum.Running += sign * l.Running
		sum.PromptTokens += sign * l.PromptTokens
		if sum == (Load{}) {
			delete(p.loads, id)
			continue
		}
		p.loads[id] = sum
	}
	for service, n := range r.Demand {
		if p.demand[service] += sign * n; p.demand[service] == 0 {
			delete(p.demand, service)
		}
	}
}

// expire drops the reports that are too old.
func (p *peers) expire(now, life time.Duration) {
	for name, r := range p.reports {
		if now >= r.at+max(life, r.TTL) {
			p.remove(name)
		}
	}
}

// oldest returns the age of the oldest report.
func (p *peers) oldest(now time.Duration) time.Duration {
	age := time.Duration(0)
	for _, r := range p.reports {
		age = max(age, now-r.at)
	}
	return age
}
