package load_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/load"
)

const (
	ms    = time.Millisecond
	slots = 10
)

// Guards against statements that can't be true being taken for the load of an endpoint.
func TestStatementsThatCannotBeTrueAreIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		st      load.Statement
		own     load.Own
		verdict load.Verdict
	}{
		"plausible":                   {load.Statement{Running: 10, Waiting: 3, Slots: 10, Pace: 2, HasPace: true}, load.Own{Sent: 4, Answering: 4}, load.Used},
		"without a pace":              {load.Statement{Running: 3, Slots: 10}, load.Own{}, load.Used},
		"runs that ended are unknown": {load.Statement{Running: 1, Slots: 10}, load.Own{Sent: 3, Answering: 3}, load.Used},
		"fewer than this entry runs":  {load.Statement{Running: 1, Slots: 10}, load.Own{Sent: 4, Answering: 4}, load.Contradicted},
		"negative":                    {load.Statement{Running: -1, Slots: 10}, load.Own{}, load.Inconsistent},
		"no slots":                    {load.Statement{}, load.Own{}, load.Inconsistent},
		"more than slots":             {load.Statement{Running: 11, Slots: 10}, load.Own{}, load.Inconsistent},
		"absurd queue":                {load.Statement{Running: 10, Waiting: 100_000, Slots: 10}, load.Own{}, load.Inconsistent},
		"pace that is no number":      {load.Statement{Running: 1, Slots: 10, Pace: math.NaN(), HasPace: true}, load.Own{}, load.Inconsistent},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var e load.Endpoint
			g.Expect(e.Observe(0, c.st, c.own, 0, slots)).To(Equal(c.verdict))
			_, _, known := e.Last()
			g.Expect(known).To(Equal(c.verdict == load.Used))
		})
	}
}

// Guards against reports that are older than a statement hiding that an endpoint is full.
func TestFreshStatementOutweighsOldReports(t *testing.T) {
	g := NewWithT(t)
	var e load.Endpoint
	for i := range 20 { // as a rule, statements and reports agree
		e.Observe(time.Duration(i)*ms, load.Statement{Running: 6, Slots: slots}, load.Own{Sent: 2}, 4, slots)
	}
	e.Observe(time.Second, load.Statement{Running: 10, Slots: slots}, load.Own{Sent: 2}, 4, slots)
	g.Expect(e.Others(time.Second, 4, slots, 300*ms, true)).To(Equal(8))
	g.Expect(e.Others(time.Second+300*ms, 4, slots, 20*ms, true)).To(Equal(4), "the reports are fresher")
	g.Expect(e.Others(time.Second+500*ms, 4, slots, 5*time.Second, true)).To(Equal(4), "the statement has expired")
}

// Guards against an endpoint that always states the same number being taken for full, or for empty.
func TestNumberThatIsStuckHasNoEffect(t *testing.T) {
	for _, running := range []int{0, 10} {
		g := NewWithT(t)
		var e load.Endpoint
		now := time.Duration(0)
		for ; now < 5*time.Second; now += 100 * ms {
			e.Observe(now, load.Statement{Running: running, Slots: slots}, load.Own{}, 5, slots)
		}
		g.Expect(e.Others(now, 5, slots, 300*ms, true)).To(BeNumerically("~", 5, 1))
	}
}

// Guards against a false statement starving or flooding an endpoint, whatever it says.
func TestInfluenceOfAnyStatementIsBoundedAndExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e load.Endpoint
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "statements") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "after"))
			e.Observe(now, load.Statement{
				Running: rapid.IntRange(-1, 1<<30).Draw(t, "running"), Waiting: rapid.IntRange(-1, 400).Draw(t, "waiting"),
				Slots: rapid.IntRange(-1, 1<<30).Draw(t, "slots"), Pace: rapid.Float64().Draw(t, "pace"), HasPace: true,
			}, load.Own{Sent: rapid.IntRange(0, slots).Draw(t, "own")}, 3, slots)
			e.Learned(now, 0.3)
		}
		reported := rapid.IntRange(0, 2*slots).Draw(t, "reported")
		at := now + time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later"))
		others := e.Others(at, reported, slots, 300*ms, rapid.Bool().Draw(t, "heard"))
		if others < reported-3 || others > reported+slots/2 || at >= now+500*ms && others != reported {
			t.Fatalf("%d others where %d are reported", others, reported)
		}
		if f := e.Factor(at); !(f >= 0.25 && f <= 8) {
			t.Fatalf("factor %v", f)
		}
	})
}

// Guards against a burst of slowness that is seen too late, is counted twice once the learned speed
// follows, or outlasts its statements.
func TestPaceOfABurstCountsUntilItsStatementsExpire(t *testing.T) {
	g := NewWithT(t)
	var e load.Endpoint
	g.Expect(e.Factor(0)).To(Equal(1.0), "nothing was stated")
	usual, slow := load.Statement{Slots: slots, Pace: 1, HasPace: true}, load.Statement{Slots: slots, Pace: 5, HasPace: true}
	now := time.Duration(0)
	for ; now < 5*time.Second; now += 50 * ms {
		e.Observe(now, usual, load.Own{}, 0, slots)
		e.Learned(now, 0.3)
	}
	g.Expect(e.Factor(now)).To(BeNumerically("~", 1, 0.01))
	e.Observe(now, slow, load.Own{}, 0, slots)
	g.Expect(e.Factor(now)).To(BeNumerically("~", 5, 0.1))
	g.Expect(e.Slow(now)).To(BeTrue())
	learned := 1.0 // relative to the usual speed
	for range 4 {
		now += 50 * ms
		e.Observe(now, slow, load.Own{}, 0, slots)
		e.Learned(now, 0.3)
		learned += 0.3 * (5 - learned)
		g.Expect(learned*e.Factor(now)).To(BeNumerically("~", 5, 0.2), "the burst counts once")
	}
	g.Expect(learned*e.Factor(now+500*ms)).To(BeNumerically("~", 1, 0.2), "the burst is over")
	g.Expect(e.Slow(now + 500*ms)).To(BeFalse())
}

// Guards against an endpoint that always states the same pace being taken for slow, or for fast.
func TestPaceThatIsStuckHasNoEffect(t *testing.T) {
	for _, pace := range []float64{1e-9, 0.2, 3, 1e12} {
		g := NewWithT(t)
		var e load.Endpoint
		now := time.Duration(0)
		for ; now < 60*time.Second; now += 100 * ms {
			e.Observe(now, load.Statement{Slots: slots, Pace: pace, HasPace: true}, load.Own{}, 0, slots)
			e.Learned(now, 0.3)
		}
		g.Expect(e.Factor(now)).To(BeNumerically("~", 1, 0.05))
		g.Expect(e.Factor(now+time.Minute)).To(BeNumerically("~", 1, 0.05), "nor after it")
	}
}
