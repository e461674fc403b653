package front

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

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
