package scheduler_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/fairshare"
	"primrosespoke.dev/coord/scheduler"
)

func newSharingScheduler(mode scheduler.Mode, rows ...directory.Endpoint) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Config{
		ReportTTL: time.Second, RefuseMargin: scheduler.DefaultRefuseMargin, AccountSharing: mode,
	}, rand.New(rand.NewSource(1)))
	s.SetServices(map[string]scheduler.ServiceInfo{"model": {Slots: 2, Engine: true, EventTokens: 6}, "desk": {}})
	s.SetEndpoints(rows)
	return s
}

// Requests without an account are one account, and one account alone has nobody to share with: decisions
// are those of a scheduler without sharing, also while slots are scarce.
func TestOneAccountAloneIsDecidedAsWithoutSharing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		seed := rapid.Int64().Draw(t, "seed")
		off, on := newSharingScheduler(scheduler.Off, engineEndpoint("a")), newSharingScheduler(scheduler.On, engineEndpoint("a"))
		rng := rand.New(rand.NewSource(seed))
		for id := uint64(1); id < 40; id++ {
			now := time.Duration(id) * 100 * ms
			r := streamRequest(id, now)
			r.OutputTokens = rng.Intn(600)
			off.Enqueue(r)
			on.Enqueue(r)
			x, y := off.Plan(now), on.Plan(now)
			g.Expect(y).To(Equal(x))
			for _, s := range []*scheduler.Scheduler{off, on} {
				for done := range id {
					if done%3 == 0 {
						s.Done(now, done, scheduler.Answered)
					}
				}
			}
		}
	})
}

// While nothing is scarce, or with the switch off, the account of a request changes nothing.
func TestAccountsChangeNothingWhileNothingIsScarceOrSharingIsOff(t *testing.T) {
	play := func(mode scheduler.Mode, account string, requests int) []scheduler.Plan {
		s := newSharingScheduler(mode, engineEndpoint("a"), engineEndpoint("b"), engineEndpoint("c"))
		var plans []scheduler.Plan
		for id := range uint64(60) {
			now := time.Duration(id) * 100 * ms
			for i := range uint64(requests) {
				r := streamRequest(10*id+i, now)
				if i > 0 {
					r.Account = account
				}
				s.Enqueue(r)
			}
			p := s.Plan(now)
			for _, one := range p.Placements {
				s.Done(now, one.Request, scheduler.Answered)
			}
			plans = append(plans, p)
		}
		return plans
	}
	g := NewWithT(t)
	g.Expect(play(scheduler.On, "crew", 5)).To(Equal(play(scheduler.Off, "", 5)), "5 requests at once on 6 slots")
	g.Expect(play(scheduler.Off, "crew", 9)).To(Equal(play(scheduler.Off, "", 9)), "scarce, with the switch off")
	g.Expect(play(scheduler.Auto, "crew", 9)).To(Equal(play(scheduler.Off, "", 9)), "no endpoint states its pace")
}

// A lower rank must not be started or kept before a higher one, whatever the shares are.
func TestSharingKeepsTheRanks(t *testing.T) {
	g := NewWithT(t)
	s := newSharingScheduler(scheduler.On, engineEndpoint("a"))
	fillEndpoint(s, 0, "a")
	for id := range uint64(12) {
		r := streamRequest(id, 0)
		r.Account, r.AccountPriority = "flood", 0
		if id >= 10 {
			r.Account, r.AccountPriority = "small", 1
		}
		s.Enqueue(r)
	}
	g.Expect(s.Plan(0).Placements).To(BeEmpty())
	s.SetPeerReport(50*ms, "other", scheduler.Report{})
	placed := placements(s.Plan(50 * ms))
	g.Expect(placed).To(HaveLen(2))
	g.Expect(placed).NotTo(Or(HaveKey(uint64(10)), HaveKey(uint64(11))))
}

// Refusals and starts follow the shares: what the flood asks beyond its share is behind the others, and
// a stream that resumes is not.
func TestTheOthersGoBeforeAFlood(t *testing.T) {
	g := NewWithT(t)
	s := newSharingScheduler(scheduler.On, engineEndpoint("a"))
	id, ends := uint64(0), map[time.Duration][]uint64{}
	for now := time.Duration(0); now < 10*time.Second; now += 200 * ms { // the flood has had the slots
		for range 2 {
			id++
			r := streamRequest(id, now)
			r.Account = "flood"
			s.Enqueue(r)
		}
		for one := range placements(s.Plan(now)) {
			ends[now+1200*ms] = append(ends[now+1200*ms], one)
		}
		for _, ended := range ends[now] {
			s.Done(now, ended, scheduler.Answered)
		}
	}
	now := 10 * time.Second
	resumed := streamRequest(5000, now)
	resumed.Account, resumed.StreamStarted = "flood", true
	s.Enqueue(resumed)
	for i := range uint64(3) {
		r := streamRequest(6000+i, now)
		r.Account, r.Arrived = "small", now
		s.Enqueue(r)
	}
	plan := s.Plan(now)
	for _, r := range plan.Refusals {
		g.Expect(r.BeyondShare).To(BeTrue(), "only the flood is refused, not %d", r.Request)
	}
	status := s.Sharing(now)["model"]
	g.Expect(status.Accounts).To(HaveLen(2))
	g.Expect(status.Accounts[0].Account).To(Equal("flood"))
	g.Expect(s.Work(now)["model"].Offered).To(HaveKey("flood"))
}

// A peer of an earlier version reports no work, and one that lies reports any: plans go on, and the work
// of a report without it stays that of the one before.
func TestReportsWithoutWorkKeepTheLastOne(t *testing.T) {
	g := NewWithT(t)
	s := newSharingScheduler(scheduler.On, engineEndpoint("a"))
	work := map[string]fairshare.Work{"model": {Started: 5, Offered: map[string]int64{"crew": 100}}}
	offered := func(now time.Duration) float64 {
		s.Enqueue(streamRequest(uint64(now), now))
		s.Plan(now)
		for _, a := range s.Sharing(now)["model"].Accounts {
			if a.Account == "crew" {
				return a.PeersOffered
			}
		}
		return 0
	}
	s.SetPeerReport(0, "other", scheduler.Report{Work: work})
	s.SetPeerReport(100*ms, "old", scheduler.Report{})
	g.Expect(offered(100 * ms)).To(Equal(1.0))
	s.SetPeerReport(200*ms, "other", scheduler.Report{})
	g.Expect(offered(200*ms)).To(Equal(1.0), "stays")
	s.SetPeerReport(300*ms, "other", scheduler.Report{Work: map[string]fairshare.Work{}})
	g.Expect(offered(300*ms)).To(BeZero(), "replaced")
	s.SetPeerReport(400*ms, "other", scheduler.Report{Work: work})
	g.Expect(offered(2*time.Second)).To(BeZero(), "lapsed")
}
