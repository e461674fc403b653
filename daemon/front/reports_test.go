package front

import (
	"fmt"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/fairshare"
	"primrosespoke.dev/coord/scheduler"
)

// One amount that is no number would spread to the levels of a usage cap, which then admits
// everything.
func TestAmountsThatAreNoNumbersAreDropped(t *testing.T) {
	g := NewWithT(t)
	m, err := decodeDatagram(encode(report{
		From: "front-2", IntervalMS: math.MaxInt64,
		Usage:  map[string]float64{"crew": math.NaN(), "team": 5},
		Levels: map[string]float64{"crew": math.Inf(1), "team": -3},
		Loads:  map[string][2]int{"a": {-1, math.MaxInt}},
		Memory: map[string][2]int{"a": {math.MaxInt, -1}},
		Limits: []limitState{{Endpoint: "a", Rate: math.NaN()}, {Endpoint: "b", Rate: -1}, {Endpoint: "c", Rate: 2}},
	}))
	g.Expect(err).NotTo(HaveOccurred())
	r := m.(reportMessage).report
	g.Expect(r.Usage).To(Equal(map[string]float64{"team": 5}))
	g.Expect(r.Levels).To(Equal(map[string]float64{"team": -3}))
	g.Expect(r.Loads).To(Equal(map[string][2]int{"a": {0, maxReportedCount}}))
	g.Expect(r.Memory).To(Equal(map[string][2]int{"a": {maxReportedCount, 0}}))
	g.Expect(r.Limits).To(HaveExactElements(HaveField("Endpoint", "c")))
	g.Expect(r.IntervalMS).To(Equal(maxReportInterval.Milliseconds()))
	_, err = decodeDatagram(encode(directReport{Ask: &permitAsk{Value: math.NaN()}}))
	g.Expect(err).To(HaveOccurred())
}

// Guards against a report with memory that fronts of an earlier version can't read, and the other way round.
func TestMemoryInReportsIsIgnoredByEarlierVersionsAndUnknownFromThem(t *testing.T) {
	g := NewWithT(t)
	loads := map[string]scheduler.Load{"a": {Running: 2, PromptTokens: 30, MemoryTokens: 5000}, "b": {ReservedTokens: 700}}
	sent := report{From: "front-2", Loads: map[string][2]int{"a": {2, 30}}, Memory: encodeMemory(loads)}
	var earlier struct {
		From  string            `cbor:"1,keyasint"`
		Loads map[string][2]int `cbor:"5,keyasint,omitempty"`
	}
	g.Expect(cbor.Unmarshal(encode(sent), &earlier)).To(Succeed())
	g.Expect(earlier.Loads).To(Equal(sent.Loads))
	m, err := decodeDatagram(encode(sent))
	g.Expect(err).NotTo(HaveOccurred())
	r := m.(reportMessage).report
	g.Expect(r.decodeLoads()).To(Equal(loads))

	m, err = decodeDatagram(encode(earlier))
	g.Expect(err).NotTo(HaveOccurred())
	r = m.(reportMessage).report
	g.Expect(r.decodeLoads()).To(Equal(map[string]scheduler.Load{"a": {Running: 2, PromptTokens: 30}}))
}

// A peer may report any work of accounts: it is bounded to the largest accounts, and what is no amount
// is dropped, or one report would decide who is served.
func TestReportedWorkOfAccountsIsBounded(t *testing.T) {
	g := NewWithT(t)
	offered := map[string]int64{"crew": math.MaxInt64, "none": -1}
	for i := range 100 {
		offered[fmt.Sprint("account-", i)] = int64(i)
	}
	m, err := decodeDatagram(encode(report{
		From: "front-2", Demand: map[string]int{"model": 3}, Excess: map[string]int{"model": 7, "desk": -1},
		Work: map[string]accountWork{"model": {Started: -5, Offered: offered}, "desk": {Started: 1, Offered: map[string]int64{"account-1": 1}}},
	}))
	g.Expect(err).NotTo(HaveOccurred())
	r := m.(reportMessage).report
	g.Expect(r.Excess).To(Equal(map[string]int{"model": 3, "desk": 0}))
	g.Expect(r.Work["model"].Started).To(BeZero())
	g.Expect(r.Work["model"].Offered).To(And(HaveLen(scheduler.MaxReportedAccounts), HaveKeyWithValue("crew", int64(fairshare.MaxReported)), HaveKey("account-99"), Not(HaveKey("none"))))
	g.Expect(r.Work["desk"].Offered).To(BeEmpty(), "the 64 largest of all services")
}

// A report with the work of accounts must remain a report to entries that do not know the key: its keys
// are none of those by which a datagram to one entry is told apart.
func TestAReportWithWorkOfAccountsIsNoDirectReport(t *testing.T) {
	g := NewWithT(t)
	m, err := decodeDatagram(encode(report{From: "front-2", Full: true, Work: map[string]accountWork{"model": {Started: 1}}, Excess: map[string]int{"model": 1}}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m).To(BeAssignableToTypeOf(reportMessage{}))
}

// The table of report sizes in docs/CAPACITY.md is this output.
func TestWorkOfAccountsTakesFewBytes(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{0, 16, 64, 2600} {
		work := map[string]fairshare.Work{"kano36a": {Started: 123_456, Offered: map[string]int64{}}}
		for i := range n {
			work["kano36a"].Offered[fmt.Sprintf("tixa%04d", i)] = int64(1000 + 37*i)
		}
		scheduler.LimitAccounts(work)
		bytes := len(encode(report{Work: encodeWork(work)})) - len(encode(report{}))
		t.Logf("%d accounts: %d bytes", n, bytes)
		g.Expect(bytes).To(BeNumerically("<", 1024))
	}
}
