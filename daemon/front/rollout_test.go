package front

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/rollout"
)

// What another entry reports of a roll-out is used only as far as it makes sense: a count that is
// too large, or a verdict that no store has, must not decide for all entries.
func TestUnusableReportsOfRolloutsAreBounded(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", maxReportedName+1)
	sent := report{From: "other", Sequence: 1, Full: true, Rollouts: []reportedRollout{
		{
			Service: "svc", Target: "v2", Order: [3]int64{1, 2}, DurationMS: -1, AgeMS: math.MaxInt64, LongestMS: -5, Blocking: -1, Streams: math.MaxInt,
			Records: []reportedVerdict{
				{Target: "v2", Phase: 1}, {Target: "v3", Phase: 9}, {Target: "v4", Generation: -1}, {Target: "v5", Written: true}, {Target: long}, {Target: "v6", Phase: 2, Reason: long},
			},
			Routes: []reportedRoute{
				{Route: "look", Old: [3]int64{math.MaxInt64, math.MaxInt64, -1}, New: [3]int64{5, 9, 9}, Pace: math.NaN()},
				{Route: "book", Old: [3]int64{3, 2, 1}, Pace: 0.25},
			},
		},
		{Service: "", Target: "v2"},
		{Service: "svc", Target: long},
	}}
	data, err := reportEncoding.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	m, err := decodeDatagram(data)
	g.Expect(err).NotTo(HaveOccurred())
	got := decodeRollouts(m.(reportMessage).report.Rollouts)
	g.Expect(got).To(Equal([]rollout.Report{{
		Service: "svc", Order: rollout.Order{ID: rollout.ID{Era: 1, Offset: 2}, Service: "svc", Target: "v2", Duration: rollout.MinDuration},
		Age: rollout.MaxDuration, Streams: maxReportedCount, Records: []rollout.Record{{Target: "v2", Phase: rollout.Moving}},
		Evidence: rollout.Evidence{
			"look": {Old: rollout.Counts{Sent: maxReportedCount, Answered: maxReportedCount}, New: rollout.Counts{Sent: 5, Answered: 5, Bad: 5}},
			"book": {Old: rollout.Counts{Sent: 3, Answered: 2, Bad: 1}},
		},
		Paces: map[string]float64{"book": 0.25},
	}}))
	// An entry of the release before does not know the key, and must not take it for another's.
	var direct directReport
	g.Expect(cbor.Unmarshal(data, &direct)).To(Succeed())
	g.Expect(direct.isDirect()).To(BeFalse())
}

// What an entry reports arrives as it was, so that its counts and verdicts add up elsewhere.
func TestReportOfRolloutsArrivesAsItWas(t *testing.T) {
	g := NewWithT(t)
	set := rollout.NewSet(rollout.Config{Self: "front", ExposureShare: 0.1, ExposureSlack: 50})
	set.SetListed(map[string]map[string]string{"svc": {"a": "v1", "b": "v2"}})
	set.Informed()
	set.Observe(0, rollout.Order{ID: rollout.ID{Era: 1, Offset: 4}, Service: "svc", Target: "v2", Duration: 12 * time.Second}, false)
	for id := range uint64(8) {
		set.Placed(time.Second, rollout.Placement{ID: id, Service: "svc", Route: "look", Version: []string{"v1", "v2"}[id%2]})
		if id < 6 {
			set.Ended(time.Second+20*time.Millisecond, id, rollout.Answered)
		}
	}
	c := &control{rollouts: rolloutState{set: set}}
	want := set.Reports(2*time.Second, true)
	g.Expect(want[0].Blocking).To(Equal(1))
	g.Expect(want[0].Paces).To(HaveKey("look"))
	g.Expect(decodeRollouts(c.encodeRollouts(2*time.Second, true))).To(Equal(want))
}
