package front

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
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
		Limits: []limitState{{Endpoint: "a", Rate: math.NaN()}, {Endpoint: "b", Rate: -1}, {Endpoint: "c", Rate: 2}},
	}))
	g.Expect(err).NotTo(HaveOccurred())
	r := m.(reportMessage).report
	g.Expect(r.Usage).To(Equal(map[string]float64{"team": 5}))
	g.Expect(r.Levels).To(Equal(map[string]float64{"team": -3}))
	g.Expect(r.Loads).To(Equal(map[string][2]int{"a": {0, maxReportedCount}}))
	g.Expect(r.Limits).To(HaveExactElements(HaveField("Endpoint", "c")))
	g.Expect(r.IntervalMS).To(Equal(maxReportInterval.Milliseconds()))
	_, err = decodeDatagram(encode(directReport{Ask: &permitAsk{Value: math.NaN()}}))
	g.Expect(err).To(HaveOccurred())
}
