package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/allowance"
	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

const (
	testDomains   = 4
	testFronts    = 22
	testEndpoints = 41
	testAccounts  = 16
	testRuns      = 19 // of one front: four fifths of the slots of all endpoints are in use
	testOutside   = 3  // of them in other domains, as in the replays of coord/scheduler
)

func testDomain(i int) string { return fmt.Sprint("domain-", i%testDomains) }

// newReportingFront returns the control state of one of many fronts that does not run, and counts the
// bytes that it sends to fronts of each domain.
func newReportingFront(t *testing.T, self int, mode scheduler.Mode, bytes map[bool]int) *control {
	t.Helper()
	g := NewWithT(t)
	f, err := New(Config{
		ID: fmt.Sprint("front-", self), FailureDomain: testDomain(self), CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Log: zerolog.Nop(), Scheduler: scheduler.Config{DomainPreference: mode},
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.closeListeners)
	c := newControl(f)
	c.scheduler.SetServices(map[string]scheduler.ServiceInfo{"model": {Slots: 13, Engine: true}})
	home := map[string]bool{}
	for i := range testEndpoints {
		id := fmt.Sprintf("i-%08x", i)
		home[id] = testDomain(i) == testDomain(self)
		c.directory.Put(int64(i), directory.Endpoint{ID: id, Service: "model", Address: "127.0.0.1:1", FailureDomain: testDomain(i), Slots: 13, Born: 1})
	}
	c.endpointsChanged()
	caps := map[string]allowance.Cap{}
	for i := range testAccounts {
		caps[fmt.Sprint("account-", i)] = allowance.Cap{Rate: 1e6, Burst: 1e6}
	}
	c.limiter.SetCaps(f.now(), caps)
	domains := map[string]string{}
	for i := range testFronts {
		if i != self {
			address := fmt.Sprintf("10.0.0.%d:7000", i+1)
			domains[address] = testDomain(i)
			c.members.put(0, fmt.Sprint("front-", i), member{Address: address, FailureDomain: testDomain(i), Incarnation: f.incarnation})
			c.members.all[fmt.Sprint("front-", i)].takesPart = mode == scheduler.On
		}
	}
	c.membersRead = true
	c.membersChanged(f.now())
	for account := range caps {
		_, admitted := c.limiter.Admit(f.now(), account, 1234.5, 0)
		g.Expect(admitted).To(BeTrue())
	}
	for i := range uint64(testRuns) {
		r := scheduler.Request{ID: i, Service: "model", Stream: true, PromptTokens: 600, OutputTokens: 300, NextByteDeadline: time.Minute, Deadline: time.Minute}
		if i < testOutside && mode == scheduler.On {
			r.Avoid = home
		}
		c.scheduler.Enqueue(r)
	}
	g.Expect(c.scheduler.Plan(0).Placements).To(HaveLen(testRuns))
	c.sendDatagram = func(address string, data []byte) {
		bytes[domains[address] != testDomain(self)] += len(data)
	}
	return c
}

// Frequent reports to groups by hash and full reports with all loads go mostly to other domains. With the
// preference a third less does. What is left there is the usage of 16 accounts, in each report as before.
func TestReportBytesBetweenDomains(t *testing.T) {
	g := NewWithT(t)
	const length = 8 * time.Second
	perSecond := func(mode scheduler.Mode) (inside, outside float64) {
		bytes := map[bool]int{}
		for i := range testFronts {
			c := newReportingFront(t, i, mode, bytes)
			for now := time.Duration(0); now < length; now += c.front.config.Timing.TickInterval {
				c.sendReports(now)
			}
		}
		return float64(bytes[false]) / length.Seconds(), float64(bytes[true]) / length.Seconds()
	}
	insideBefore, outsideBefore := perSecond(scheduler.Off)
	inside, outside := perSecond(scheduler.On)
	t.Logf("kB a second before: %.0f inside, %.0f between domains; after: %.0f inside, %.0f between domains", insideBefore/1e3, outsideBefore/1e3, inside/1e3, outside/1e3)
	g.Expect(outside).To(BeNumerically("<", 0.65*outsideBefore))
	g.Expect(inside + outside).To(BeNumerically("<", insideBefore+outsideBefore))
}

// What binds all fronts together is in each full report to each front, of every domain.
func TestReportsToOtherDomainsCarryUsageAndAges(t *testing.T) {
	g := NewWithT(t)
	c := newReportingFront(t, 0, scheduler.On, map[bool]int{})
	reports, parts := map[string]int{}, 0
	c.sendDatagram = func(address string, data []byte) {
		m, err := decodeDatagram(data)
		g.Expect(err).NotTo(HaveOccurred())
		r := m.(reportMessage).report
		if !r.Full {
			return
		}
		reports[address]++
		g.Expect(r.Usage).To(HaveLen(testAccounts))
		g.Expect(r.Demand).To(HaveKeyWithValue("model", testRuns))
		if r.LoadsInPart {
			parts++
			g.Expect(len(r.Loads)).To(BeNumerically("<=", testOutside))
		}
	}
	for now := time.Duration(0); now < 2200*time.Millisecond; now += 10 * time.Millisecond {
		c.sendReports(now)
	}
	g.Expect(reports).To(HaveLen(testFronts - 1))
	for address, n := range reports {
		g.Expect(n).To(BeNumerically(">=", 18), address)
	}
	g.Expect(parts).To(BeNumerically(">", 200))

	for _, s := range c.members.all { // of the release before: a missing load would count as none
		s.takesPart = false
	}
	parts = 0
	c.sendReports(time.Minute)
	g.Expect(parts).To(BeZero())
}

// oldReport is a report as fronts of the release before read and write it.
type oldReport struct {
	From     string            `cbor:"1,keyasint"`
	Sequence uint64            `cbor:"4,keyasint"`
	Loads    map[string][2]int `cbor:"5,keyasint,omitempty"`
}

// Fronts of the release before understand the reports of new ones, and the other way round.
func TestReportsAreUnderstoodByTheReleaseBefore(t *testing.T) {
	g := NewWithT(t)
	var old oldReport
	data := encode(report{From: "front-2", Sequence: 7, Loads: map[string][2]int{"a": {1, 2}}, TakesPart: true, LoadsInPart: true})
	g.Expect(cbor.Unmarshal(data, &directReport{})).To(Succeed(), "each datagram is decoded as a direct one first")
	g.Expect(cbor.Unmarshal(data, &old)).To(Succeed())
	g.Expect(old).To(Equal(oldReport{From: "front-2", Sequence: 7, Loads: map[string][2]int{"a": {1, 2}}}))
	m, err := decodeDatagram(encode(old))
	g.Expect(err).NotTo(HaveOccurred())
	r := m.(reportMessage).report
	g.Expect(r.TakesPart || r.LoadsInPart).To(BeFalse())
	g.Expect(r.Loads).To(Equal(old.Loads))
}

// A report with loads in part must not make the endpoints that it leaves out look empty, nor keep loads
// at the own domain's endpoints that have ended, nor loads that are too old.
func TestLoadsInPartAreCompletedFromTheLastWholeReport(t *testing.T) {
	g := NewWithT(t)
	c := newReportingFront(t, 0, scheduler.On, map[bool]int{}) // in domain-0, as i-00000000 and i-00000004
	from := &memberState{}
	load := scheduler.Load{Running: 3}
	all := map[string]scheduler.Load{"i-00000000": load, "i-00000001": load}
	g.Expect(c.completeLoads(time.Second, from, report{IntervalMS: 110}, all)).To(Equal(all))
	fresh := scheduler.Load{Running: 1}
	part := func(at time.Duration) map[string]scheduler.Load {
		return c.completeLoads(at, from, report{IntervalMS: 110, LoadsInPart: true}, map[string]scheduler.Load{"i-00000004": fresh})
	}
	g.Expect(part(1300 * time.Millisecond)).To(Equal(map[string]scheduler.Load{"i-00000004": fresh, "i-00000001": load}))
	g.Expect(part(3 * time.Second)).To(Equal(map[string]scheduler.Load{"i-00000004": fresh}))
}
