package scheduler_test

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

const domainCount = 4

// domainLoad is the load by failure domain, and what callers got by it.
type domainLoad struct {
	factor   func(domain int, now time.Duration) float64 // of the load of a domain
	engineIn func(engine int) int                        // the domain of an engine
	cutOff   func(now time.Duration) int                 // the domain that no other reaches; -1 = none
	variant  variant

	whole [domainCount]map[int]scheduler.Report // the newest with all loads by front, as other domains have it

	outside          int // placements in another domain
	placed           int
	crosswise        int // placements of two domains in each other within crosswiseWindow
	refusedWithRoom  int // refusals while another domain had a tenth of its slots free
	refused          int
	unreachable      int // placements in a domain that can't be reached
	unreachableUntil time.Duration
	lastSent         [domainCount][domainCount]time.Duration
	busiest          [domainCount]float64 // the greatest number of requests in a domain's endpoints, as a share of its slots
}

const crosswiseWindow = 200 * ms

func domainName(i int) string { return fmt.Sprint("domain-", i) }

func frontDomain(front int) int { return front % domainCount }

func engineIndex(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "e%d", &i)
	return i
}

func (l *domainLoad) isCutOff(now time.Duration, domain int) bool {
	return l.cutOff != nil && l.cutOff(now) == domain
}

func (l *domainLoad) hears(now time.Duration, from, to int) bool {
	a, b := frontDomain(from), frontDomain(to)
	return a == b || l.variant != homeOnly && !l.isCutOff(now, a) && !l.isCutOff(now, b)
}

// received returns the report of a front as it reaches another one. With the preference, fronts of other
// domains get the loads at the endpoints of their domain in each report, and all loads in every fourth.
func (l *domainLoad) received(w *simulation, now time.Duration, from, to int, r scheduler.Report) scheduler.Report {
	if l == nil || l.variant != byDecision || frontDomain(from) == frontDomain(to) {
		return r
	}
	domain := frontDomain(to)
	if l.whole[domain] == nil {
		l.whole[domain] = map[int]scheduler.Report{}
	}
	if (int(now/w.reportInterval)+domain)%4 == 0 {
		l.whole[domain][from] = r
		return r
	}
	merged := scheduler.Report{Loads: map[string]scheduler.Load{}, Demand: r.Demand, Arrivals: r.Arrivals, TTL: r.TTL}
	for id, load := range l.whole[domain][from].Loads {
		if l.engineIn(engineIndex(id)) != domain {
			merged.Loads[id] = load
		}
	}
	for id, load := range r.Loads {
		if l.engineIn(engineIndex(id)) == domain {
			merged.Loads[id] = load
		}
	}
	return merged
}

// place counts a placement. It reports whether the request reaches its endpoint.
func (l *domainLoad) place(w *simulation, now time.Duration, c *simCall, p scheduler.Placement) bool {
	from, to := frontDomain(c.front), l.engineIn(engineIndex(p.Endpoint))
	l.placed++
	if from == to {
		return true
	}
	l.outside++
	l.lastSent[from][to] = now
	if back := l.lastSent[to][from]; back > 0 && back >= now-crosswiseWindow {
		l.crosswise++
	}
	if !l.isCutOff(now, from) && !l.isCutOff(now, to) {
		return true
	}
	l.unreachable++
	l.unreachableUntil = now
	w.fronts[c.front].(*adapter).s.Done(now, c.id, scheduler.Unreachable)
	delete(w.calls, c.id)
	w.retries[now+simTick] = append(w.retries[now+simTick], c)
	return false
}

func (l *domainLoad) refuse(w *simulation, now time.Duration, c *simCall) {
	l.refused++
	var slots, used [domainCount]int
	for i := range w.deployment.engines {
		e := w.engines[fmt.Sprint("e", i)]
		slots[l.engineIn(i)] += e.slots
		used[l.engineIn(i)] += min(len(e.running)+len(e.queue), e.slots)
	}
	for i := range domainCount {
		if i != frontDomain(c.front) && !l.isCutOff(now, i) && !l.isCutOff(now, frontDomain(c.front)) && float64(used[i]) < 0.9*float64(slots[i])-1 {
			l.refusedWithRoom++
			return
		}
	}
}

func (l *domainLoad) outsideShare() float64 { return float64(l.outside) / float64(max(l.placed, 1)) }

// step sends the callers' requests of each domain, and looks at its endpoints.
func (l *domainLoad) step(w *simulation, now time.Duration) {
	var load, slots [domainCount]int
	for i := range w.deployment.engines {
		e := w.engines[fmt.Sprint("e", i)]
		load[l.engineIn(i)] += len(e.running) + len(e.queue)
		slots[l.engineIn(i)] += e.slots
	}
	for i := range domainCount {
		l.busiest[i] = max(l.busiest[i], float64(load[i])/float64(max(slots[i], 1)))
	}
	if now >= w.length {
		return
	}
	perDomain := make([][]int, domainCount)
	for i := range w.deployment.fronts {
		perDomain[frontDomain(i)] = append(perDomain[frontDomain(i)], i)
	}
	for domain := range domainCount {
		for k := range w.kinds {
			rate := w.kinds[k].perSecond * l.factor(domain, now) / domainCount * simTick.Seconds()
			for n := w.poisson(rate); n > 0; n-- {
				c := &simCall{kind: &w.kinds[k], firstSentAt: now, front: perDomain[domain][w.rng.Intn(len(perDomain[domain]))]}
				c.prompt = w.drawTokens(c.kind.prompt, c.kind.promptSpread, c.kind.maxPrompt)
				c.output = w.drawTokens(c.kind.output, c.kind.outputSpread, c.kind.maxOutput)
				c.hint = min(max(int(float64(c.output)*math.Exp(c.kind.hintSpread*w.rng.NormFloat64())), 1), c.kind.maxOutput)
				w.result.sent++
				w.count(c, 0)
				w.result.calls = append(w.result.calls, c)
				w.submit(now, c)
			}
		}
	}
}

// domainKinds are the kinds of requests with deadlines of 2.5 to 12 s.
var domainKinds = []requestKind{
	{"report", 20.1, 6610, 382, 800 * ms, 12 * time.Second, 0, 1.4, 1.5, 0.5, 3840, 54_600},
	{"question", 56.2, 628, 292, 400 * ms, 12 * time.Second, 1, 1.0, 1.5, 0.5, 2940, 3310},
	{"tag", 31, 1800, 23, 400 * ms, 2500 * ms, 2, 1.3, 1.5, 0.5, 228, 6870},
}

// variant is how endpoints are chosen.
type variant string

const (
	byDecision variant = "by decision" // part of the demand leaves the domain
	byHash     variant = "by hash"     // in groups without regard to domains
	homeOnly   variant = "home only"   // nothing leaves the domain
)

// runDomains runs a load with 22 fronts and 41 engines in 4 domains.
func runDomains(t *testing.T, seed int64, load domainLoad, v variant) (outcome, *domainLoad) {
	load.variant = v
	if load.engineIn == nil {
		load.engineIn = func(i int) int { return i % domainCount }
	}
	d := deployment{
		fronts: 22, engines: 41, reportInterval: 110 * ms, groupReportInterval: 30 * ms, length: 13 * time.Second,
		slots: 13, kinds: domainKinds, seed: seed, domains: &load,
	}
	d.trouble = func(w *simulation, now time.Duration) { load.step(w, now) }
	o := newSimulation(seed, d, func(d deployment, i int, rows []directory.Endpoint) policy {
		rows = slices.Clone(rows)
		for j := range rows {
			rows[j].FailureDomain = domainName(load.engineIn(j))
		}
		return newDomainPolicy(d, i, rows, v)
	}).run()
	t.Logf("%s: served %.3f on time %.3f outside %.3f (%d of %d) crosswise %d refused %d, with room elsewhere %d, unreachable %d until %v, busiest %.2f, %v", v,
		o.servedShare(), o.onTimeShare(), load.outsideShare(), load.outside, load.placed, load.crosswise, load.refused, load.refusedWithRoom, load.unreachable, load.unreachableUntil, load.busiest, o.byKind)
	return o, &load
}

func newDomainPolicy(d deployment, i int, rows []directory.Endpoint, v variant) policy {
	mode := scheduler.Off
	switch v {
	case byDecision:
		mode = scheduler.On
	case homeOnly:
		rows = slices.DeleteFunc(rows, func(e directory.Endpoint) bool { return e.FailureDomain != domainName(frontDomain(i)) })
	}
	a := newSchedulerPolicyWith(d, i, rows, scheduler.Config{DomainPreference: mode, FailureDomain: domainName(frontDomain(i))})
	domains := map[string]string{}
	for j := range d.fronts {
		domains[frontName(j)] = domainName(frontDomain(j))
	}
	a.s.SetFailureDomains(domains)
	return a
}

// wave is the load of a domain, with a period of 13 s and a phase by domain.
func wave(mean, amplitude float64, phase func(domain int) float64) func(int, time.Duration) float64 {
	return func(domain int, now time.Duration) float64 {
		return mean * (1 + amplitude*math.Sin(2*math.Pi*(now.Seconds()/13+phase(domain))))
	}
}

func quarterPhases(domain int) float64 { return float64(domain) / domainCount }

func levels(levels ...float64) func(int, time.Duration) float64 {
	return func(domain int, _ time.Duration) float64 { return levels[domain] }
}

// fewEngines gives domain 0 four of the engines, and the others the rest.
func fewEngines(engine int) int {
	if engine < 4 {
		return 0
	}
	return 1 + engine%(domainCount-1)
}

// cutDomain is cut off from cutFrom to cutUntil.
const cutDomain, cutFrom, cutUntil = 1, 4 * time.Second, 9 * time.Second

func cut(now time.Duration) int {
	if now >= cutFrom && now < cutUntil {
		return cutDomain
	}
	return -1
}

// servedWhileCut returns the share of the calls from the domain that is cut off, in that time, that were served.
func servedWhileCut(o outcome) float64 {
	sent, served := 0, 0
	for _, c := range o.calls {
		if frontDomain(c.front) == cutDomain && cut(c.firstSentAt) >= 0 {
			if sent++; c.served {
				served++
			}
		}
	}
	return float64(served) / float64(sent)
}

// Demand that is uneven between failure domains. Groups by hash send three quarters of all requests to
// other domains and exchange them crosswise; domains that keep everything refuse while others have
// room. The decision sends what is too much, one way, and callers get as much as by hash, by rank.
func TestWhatExceedsADomainLeavesIt(t *testing.T) {
	for _, c := range []struct {
		name       string
		load       domainLoad
		mostOut    float64 // share of the requests that leave their domain
		overloaded bool
	}{
		{name: "waves of 13 s with another phase in each domain", load: domainLoad{factor: wave(4.2, 0.8, quarterPhases)}, mostOut: 0.2},
		{name: "a domain whose endpoints are too few", load: domainLoad{factor: levels(4, 4, 4, 4), engineIn: fewEngines}, mostOut: 0.2},
		{name: "a domain is cut off", load: domainLoad{factor: wave(4.2, 0.8, quarterPhases), cutOff: cut}, mostOut: 0.2},
		{name: "two waves that meet", load: domainLoad{factor: func(domain int, now time.Duration) float64 {
			switch {
			case domain > 1:
				return 3
			case (now < 6*time.Second) == (domain == 0):
				return 8
			}
			return 1
		}}, mostOut: 0.2},
		{name: "all fronts see one free domain", load: domainLoad{factor: levels(6.2, 6.2, 6.2, 0.5)}, mostOut: 0.2},
		{name: "waves beyond what all domains can take", load: domainLoad{factor: wave(6.5, 0.7, quarterPhases)}, mostOut: 0.3, overloaded: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			hash, hashLoad := runDomains(t, 1, c.load, byHash)
			_, homeLoad := runDomains(t, 1, c.load, homeOnly)
			own, load := runDomains(t, 1, c.load, byDecision)

			g.Expect(load.outsideShare()).To(BeNumerically("<", c.mostOut))
			g.Expect(hashLoad.outsideShare()).To(BeNumerically(">", 0.6), "without the decision most leave")
			g.Expect(load.crosswise).To(BeZero(), "no two domains exchange requests")
			g.Expect(hashLoad.crosswise).To(BeNumerically(">", 1000))
			g.Expect(float64(load.refusedWithRoom)).To(BeNumerically("<=", 0.002*float64(own.sent)), "refused while another domain has room")
			g.Expect(homeLoad.refusedWithRoom).To(BeNumerically(">", 500), "without the decision requests are refused while others have room")
			for _, k := range domainKinds {
				g.Expect(own.servedShareOf(k.name)).To(BeNumerically(">=", hash.servedShareOf(k.name)-0.03), k.name)
			}
			g.Expect(own.servedShare()).To(BeNumerically(">=", hash.servedShare()-0.015))
			g.Expect(own.onTimeShare()).To(BeNumerically(">=", hash.onTimeShare()-0.04))
			if !c.overloaded {
				own.expectServedByRank(g, domainKinds)
			}
			for i, most := range load.busiest {
				g.Expect(most).To(BeNumerically("<", 1.35), "no herd on domain %d", i)
			}
			if c.load.cutOff != nil {
				t.Logf("served of the domain that is cut off: %.3f, by hash %.3f", servedWhileCut(own), servedWhileCut(hash))
				g.Expect(load.unreachableUntil).To(BeNumerically("<", cutFrom+scheduler.DefaultReportTTL), "not sent to once its reports are old")
				g.Expect(hashLoad.unreachableUntil).To(BeNumerically(">", cutUntil-time.Second))
				g.Expect(servedWhileCut(own)).To(BeNumerically(">", 0.95))
			}
		})
	}
}

// A plain service with one endpoint in each domain, whose runs are shorter than reports are old, under
// waves with another phase in each domain, up to what all endpoints can take.
func TestPlainRequestsLeaveADomainWithOneEndpoint(t *testing.T) {
	for _, perSecond := range []float64{150, 260, 350} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			run := func(mode scheduler.Mode) (deskResult, float64) {
				d := &deskDomains{mode: mode, factor: wave(1, 0.7, quarterPhases)}
				r := newDeskSimulation(deskLoad{fronts: 22, endpoints: domainCount, perSecond: perSecond, seed: 1, domains: d}).run()
				outside := float64(d.outside) / float64(d.placed)
				t.Logf("mode %d: %v, outside %.3f", mode, r, outside)
				return r, outside
			}
			hash, hashOutside := run(scheduler.Off)
			own, outside := run(scheduler.On)
			g.Expect(outside).To(BeNumerically("<", 0.3))
			g.Expect(hashOutside).To(BeNumerically(">", 0.6), "without the decision most leave")
			g.Expect(own.refused).To(BeNumerically("<=", hash.refused))
			g.Expect(float64(own.onTime)).To(BeNumerically(">=", 0.99*float64(hash.onTime)))
		})
	}
}

// Requests that no endpoint of the domain may run are not held back by the preference: those that go
// on at a version that only another domain has, and those that were sent to all of the domain's before.
func TestRequestsThatNoEndpointAtHomeMayRunLeave(t *testing.T) {
	g := NewWithT(t)
	home, away := engineEndpoint("home"), engineEndpoint("away")
	home.FailureDomain, away.FailureDomain, home.Version, away.Version = "a", "b", "1", "2"
	for _, change := range []func(*scheduler.Request){
		func(r *scheduler.Request) { r.Version = "2" },
		func(r *scheduler.Request) { r.Avoid = map[string]bool{"home": true} },
	} {
		s := scheduler.New(scheduler.Config{
			ReportTTL: time.Second, RefuseMargin: scheduler.DefaultRefuseMargin, DomainPreference: scheduler.On, FailureDomain: "a",
		}, rand.New(rand.NewSource(1)))
		s.SetServices(map[string]scheduler.ServiceInfo{"model": {Slots: 2, Engine: true}})
		s.SetEndpoints([]directory.Endpoint{home, away})
		s.SetEntries("f0", nil)
		r := streamRequest(1, 0)
		change(&r)
		s.Enqueue(r)
		s.Enqueue(streamRequest(2, 0))
		plan := s.Plan(0)
		g.Expect(placements(plan)).To(Equal(map[uint64]string{1: "away", 2: "home"}))
		g.Expect(plan.Placements).To(ContainElement(And(HaveField("Request", uint64(1)), HaveField("Outside", true))))
	}
}

// A group is a domain where it is preferred, and only then; an endpoint that states its pace turns the
// preference on. A large domain is divided.
func TestGroupIsTheDomainWhereItIsPreferred(t *testing.T) {
	g := NewWithT(t)
	build := func(fronts int) *scheduler.Scheduler {
		s := scheduler.New(scheduler.Config{ReportTTL: time.Second, FailureDomain: domainName(0)}, rand.New(rand.NewSource(1)))
		var rows []directory.Endpoint
		for i := range 80 {
			row := engineEndpoint(fmt.Sprint("e", i))
			row.FailureDomain = domainName(i % domainCount)
			rows = append(rows, row)
		}
		s.SetEndpoints(rows)
		domains, others := map[string]string{}, []string(nil)
		for i := 1; i < fronts; i++ {
			others = append(others, frontName(i))
			domains[frontName(i)] = domainName(frontDomain(i))
		}
		s.SetEntries(frontName(0), others)
		s.SetFailureDomains(domains)
		return s
	}
	s := build(22)
	g.Expect(s.PrefersDomain()).To(BeFalse())
	s.ObserveStatement(time.Second, "e0", 1, scheduler.Statement{Pace: 1, HasPace: true})
	g.Expect(s.PrefersDomain()).To(BeTrue())
	g.Expect(s.Group()).To(ConsistOf("f4", "f8", "f12", "f16", "f20"))
	large := build(80) // 20 fronts and 20 endpoints in the domain
	large.ObserveStatement(time.Second, "e0", 1, scheduler.Statement{Pace: 1, HasPace: true})
	g.Expect(len(large.Group())).To(BeNumerically("<", 6))
	for _, name := range large.Group() {
		g.Expect(frontDomain(engineIndex("e" + name[1:]))).To(Equal(0))
	}
}
