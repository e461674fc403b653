package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"primrosespoke.dev/coord/fairshare"
)

// Sharing of scarce slots among client accounts; see package fairshare for the load that it answers.
//
// Within a rank, requests beyond their account's share go after the others, and are refused before
// them. They do not raise this entry's share of the slots either: an account that floods through one
// entry would otherwise draw the slots of the others there.

// classifyInterval is the least time between two classifications of a service's queue, which sort it by
// account; plans are made for each arrival. A request counts as within its account's share until then,
// and goes after those that have waited longer.
const classifyInterval = 10 * time.Millisecond

// MaxReportedAccounts is how many accounts a report carries, over all services.
const MaxReportedAccounts = 64

// sharing is the state of one service.
type sharing struct {
	ledger       *fairshare.Ledger
	classifiedAt time.Duration            // when the classes of the waiting requests were last set; 0 = never
	level        float64                  // of the last plan, in slot-seconds; infinite = nothing was cut
	cut          map[string]time.Duration // accounts that ask for more than their shares, and when they last did
	began        []string                 // accounts that were added to cut in this plan
}

// cutEndDelay is for how long an account must not have asked for more than its share to count as back
// within it. It bounds the log lines about accounts near their shares.
const cutEndDelay = 2 * time.Second

// Cut tells that an account began, or ceased, to ask for more than its share.
type Cut struct {
	Service, Account string
	Began            bool
	// Level is the work up to which each account is served, in slot-seconds; 0 = unknown.
	Level float64
	// Offered and Started are the account's recent work through this entry, PeersOffered that through
	// the others, in slot-seconds.
	Offered, Started, PeersOffered float64
	// ReportAge is the age of the oldest report of another entry that was used.
	ReportAge time.Duration
}

// cuts returns the accounts that began or ceased to ask for more than their shares.
func (s *Scheduler) cuts(now time.Duration) []Cut {
	var cuts []Cut
	for _, service := range slices.Sorted(maps.Keys(s.sharings)) {
		state := s.sharings[service]
		var ended []string
		for account, last := range state.cut {
			if now > last+cutEndDelay {
				ended = append(ended, account)
				delete(state.cut, account)
			}
		}
		slices.Sort(ended)
		peers := s.peers.accountWork(service)
		for i, account := range append(state.began, ended...) {
			c := Cut{Service: service, Account: account, Began: i < len(state.began), ReportAge: s.peers.oldestAge(now)}
			if !math.IsInf(state.level, 1) {
				c.Level = state.level
			}
			status := state.ledger.Status(now, account, peers)
			c.Offered, c.Started, c.PeersOffered = status.Offered, status.Started, status.PeersOffered
			cuts = append(cuts, c)
		}
		state.began = nil
	}
	return cuts
}

// observe records which accounts ask for more than their shares.
func (state *sharing) observe(now time.Duration, queue []*Request) {
	for _, r := range queue {
		if r.prospect.class == 0 {
			continue
		}
		if _, known := state.cut[r.Account]; !known {
			state.began = append(state.began, r.Account)
		}
		state.cut[r.Account] = now
	}
}

// sharingOf returns the state of a service where accounts share its slots; nil otherwise.
func (s *Scheduler) sharingOf(service string) *sharing {
	if !s.enabled(s.cfg.AccountSharing, service) {
		delete(s.sharings, service)
		return nil
	}
	state := s.sharings[service]
	if state == nil {
		state = &sharing{ledger: fairshare.New(), level: math.Inf(1), cut: map[string]time.Duration{}}
		s.sharings[service] = state
	}
	return state
}

// shareOut sets the classes of the requests of a sorted queue, and this entry's share of the slots, if
// accounts ask for more than their shares. Otherwise all remains as it is.
func (s *Scheduler) shareOut(now time.Duration, service string, queue []*Request, p *pool) {
	state := s.sharingOf(service)
	if state == nil {
		return
	}
	for _, r := range queue {
		if !r.offered {
			r.offered, r.offeredAt, r.offeredWork = true, now, r.prospect.work
			state.ledger.Offer(now, r.Account, r.offeredWork)
		}
	}
	state.level = math.Inf(1)
	slots := p.slots + s.cfg.Overcommit*len(p.candidates)
	if p.ownRunning+len(queue)+s.peers.demand[service] <= slots {
		return
	}
	division := state.ledger.Divide(now, s.peers.accountWork(service))
	if math.IsInf(division.Level, 1) && s.peers.excess[service] == 0 {
		return
	}
	state.level = division.Level
	if state.classifiedAt == 0 || now >= state.classifiedAt+classifyInterval {
		state.classifiedAt = now
		s.classify(&division, queue)
	}
	for _, r := range queue {
		r.prospect.class = r.class
	}
	excess := beyondShares(queue)
	if excess > 0 {
		state.observe(now, queue)
		sortByStart(queue)
	}
	if p.domains != nil {
		return // see homeShare
	}
	if p.pacer != nil {
		s.sharePaced(service, &division, p)
		return
	}
	s.shareSlots(service, excess, slots, p)
}

// classify sets the classes of the requests of a sorted queue. Within an account and rank, they count
// in the order in which they are started.
func (s *Scheduler) classify(division *fairshare.Division, queue []*Request) {
	for _, r := range queue {
		r.class = 0
	}
	for len(queue) > 0 {
		equal := countEqualRank(queue)
		limited := map[string][]*Request{}
		for _, r := range queue[:equal] {
			if division.Limited(r.Account) {
				limited[r.Account] = append(limited[r.Account], r)
			}
		}
		for account, requests := range limited {
			s.interleave(requests)
			for _, r := range requests {
				class := division.Next(account, r.prospect.work)
				if !r.StreamStarted {
					r.class = class
				}
			}
		}
		queue = queue[equal:]
	}
}

// beyondShares counts the requests beyond their accounts' shares, as of the last plan.
func beyondShares(queue []*Request) int {
	n := 0
	for _, r := range queue {
		if r.prospect.class > 0 {
			n++
		}
	}
	return n
}

// shareSlots sets how many runs this entry may have: a part of the slots in proportion to the demand
// within the accounts' shares, and of the slots that this leaves in proportion to the rest.
func (s *Scheduler) shareSlots(service string, excess, slots int, p *pool) {
	allExcess := excess + s.peers.excess[service]
	if allExcess == 0 {
		return
	}
	own := p.ownRunning + len(s.queues[service]) - excess
	all := own + s.peers.demand[service] - s.peers.excess[service]
	if all >= slots {
		p.excessLimit = int(math.Ceil(float64(slots) * float64(own) / float64(all)))
		p.ownLimit = max(p.ownLimit, p.excessLimit)
		return
	}
	limit := float64(own) + float64(slots-all)*float64(excess)/float64(allExcess)
	p.excessLimit = int(math.Ceil(limit))
	p.ownLimit = max(p.ownLimit, p.excessLimit)
}

// sharePaced sets this entry's share of a plain service's slots, in proportion to the recent demand
// within the accounts' shares. Entries that do not report the work of accounts count with all that
// arrives there.
func (s *Scheduler) sharePaced(service string, division *fairshare.Division, p *pool) {
	own, all := division.Within()
	if math.IsInf(division.Level, 1) || all <= 0 {
		return
	}
	all += s.peers.arrivalsWithoutAccounts(service) * p.serviceTime * fairshare.Memory.Seconds()
	slots := float64(p.slots) * (1 + pacedQueueShare*min(p.staleness, 1))
	even := slots / float64(len(s.peers.reports)+1)
	p.pacer.share = min(max(slots*own/all, minPacedShare*even), slots)
}

// excessDemand counts the waiting requests beyond their accounts' shares, by service.
func (s *Scheduler) excessDemand() map[string]int {
	var excess map[string]int
	for service := range s.sharings {
		if n := beyondShares(s.queues[service]); n > 0 {
			if excess == nil {
				excess = map[string]int{}
			}
			excess[service] = n
		}
	}
	return excess
}

// Work returns the recent work of accounts for the other entries, by service. It changes slowly, so not
// every Report needs it.
func (s *Scheduler) Work(now time.Duration) map[string]fairshare.Work {
	work := make(map[string]fairshare.Work, len(s.sharings))
	for service, state := range s.sharings {
		work[service] = state.ledger.Report(now, MaxReportedAccounts)
	}
	LimitAccounts(work)
	return work
}

// LimitAccounts bounds the accounts of a report to the MaxReportedAccounts with the most work over
// all services.
func LimitAccounts(work map[string]fairshare.Work) {
	type entry struct{ service, account string }
	all := fairshare.Work{Offered: map[string]int64{}}
	entries := map[string]entry{}
	for service, w := range work {
		w.Clamp(MaxReportedAccounts)
		work[service] = w
		for account, units := range w.Offered {
			name := service + "\x00" + account
			all.Offered[name], entries[name] = units, entry{service: service, account: account}
		}
	}
	all.Clamp(MaxReportedAccounts)
	for name, e := range entries {
		if _, kept := all.Offered[name]; !kept {
			delete(work[e.service].Offered, e.account)
		}
	}
}

// SharingStatus is how the accounts share one service, in a state dump.
type SharingStatus struct {
	// LevelWork is the recent work up to which each account is served, in slot-seconds; absent = nothing is cut.
	LevelWork *float64 `json:"level_work,omitempty"`
	// BeyondShares counts the waiting requests beyond their accounts' shares.
	BeyondShares int             `json:"beyond_shares"`
	Accounts     []AccountStatus `json:"accounts"`
}

// AccountStatus is the recent work of one account in a state dump, in slot-seconds.
type AccountStatus struct {
	Account      string  `json:"account"`
	Offered      float64 `json:"offered"`
	Started      float64 `json:"started"`
	PeersOffered float64 `json:"peers_offered"`
	ServedShare  float64 `json:"served_share"`
}

// Sharing returns how accounts share the services, by service, with at most MaxReportedAccounts each.
func (s *Scheduler) Sharing(now time.Duration) map[string]SharingStatus {
	statuses := map[string]SharingStatus{}
	for service, state := range s.sharings {
		status := SharingStatus{BeyondShares: beyondShares(s.queues[service]), Accounts: []AccountStatus{}}
		if !math.IsInf(state.level, 1) {
			status.LevelWork = &state.level
		}
		for _, a := range state.ledger.Statuses(now, s.peers.accountWork(service), MaxReportedAccounts) {
			status.Accounts = append(status.Accounts, AccountStatus(a))
		}
		statuses[service] = status
	}
	return statuses
}
