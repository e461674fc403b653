package fairshare_test

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/fairshare"
)

const ms = time.Millisecond

// Reports are replaced, lost, late or repeated. Whatever comes, the sum of the peers' work must be that
// of the reports that are in force, or belief drifts until an account starves for work that nobody did.
func TestTheSumOfReportsIsThatOfTheNewestOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var sum fairshare.Work
		inForce := map[string]fairshare.Work{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			from := fmt.Sprint("front-", rapid.IntRange(0, 3).Draw(t, "from"))
			if known, ok := inForce[from]; ok {
				sum.Add(known, -1)
				delete(inForce, from)
			}
			if rapid.Bool().Draw(t, "lapsed") {
				continue
			}
			w := drawWork(t)
			sum.Add(w, 1)
			inForce[from] = w
		}
		want := fairshare.Work{Offered: map[string]int64{}}
		for _, w := range inForce {
			want.Started += w.Started
			for account, units := range w.Offered {
				want.Offered[account] += units
			}
		}
		g.Expect(sum.Started).To(Equal(want.Started))
		g.Expect(maps.Equal(sum.Offered, want.Offered)).To(BeTrue(), "%v, not %v", sum.Offered, want.Offered)
	})
}

// drawWork draws a report as it is after Clamp, of what a peer may send.
func drawWork(t *rapid.T) fairshare.Work {
	w := fairshare.Work{Started: rapid.Int64().Draw(t, "started"), Offered: map[string]int64{}}
	for i := range rapid.IntRange(0, 5).Draw(t, "accounts") {
		w.Offered[fmt.Sprint("a", i)] = rapid.Int64().Draw(t, "offered")
	}
	w.Clamp(4)
	return w
}

// A report is bounded and holds amounts only, the largest first, whatever a peer sends.
func TestReportedWorkIsClamped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		w := drawWork(t)
		g.Expect(w.Started).To(And(BeNumerically(">=", 0), BeNumerically("<=", fairshare.MaxReported)))
		g.Expect(len(w.Offered)).To(BeNumerically("<=", 4))
		for _, units := range w.Offered {
			g.Expect(units).To(And(BeNumerically(">", 0), BeNumerically("<=", fairshare.MaxReported)))
		}
	})
	g := NewWithT(t)
	w := fairshare.Work{Offered: map[string]int64{"a": 1, "b": 3, "c": 2, "d": -1}}
	w.Clamp(2)
	g.Expect(w.Offered).To(Equal(map[string]int64{"b": 3, "c": 2}))
}

// Random histories of work and false reports at one entry: an account that asks for no more than the
// level is never cut, and of those that are cut, each has some request within its share or has used
// that share up. Otherwise a belief could keep an account out.
func TestNoAccountBelowTheLevelIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l, now := fairshare.New(), time.Duration(0)
		offered, started := map[string]float64{}, map[string]float64{}
		decay := func(d time.Duration) {
			for _, sums := range []map[string]float64{offered, started} {
				for name := range sums {
					sums[name] *= math.Exp(-d.Seconds() / fairshare.Memory.Seconds())
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pause := time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * ms
			now += pause
			decay(pause)
			name := fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "account"))
			work := rapid.Float64Range(0.1, 30).Draw(t, "work")
			l.Offer(now, name, work)
			offered[name] += work
			if rapid.Bool().Draw(t, "start") {
				l.Start(now, name, work)
				started[name] += work
			}
		}
		now += 100 * ms
		decay(100 * ms)
		peers := drawWork(t)
		d := l.Divide(now, peers)
		for name := range offered {
			sum := offered[name] + float64(peers.Offered[name])*fairshare.Unit
			cut := d.Next(name, 1) > 0
			if sum < d.Level*0.99 {
				g.Expect(cut).To(BeFalse(), "%s asks for %v, the level is %v", name, sum, d.Level)
			}
			if cut {
				g.Expect(started[name]).To(BeNumerically(">=", 0.99*d.Level*offered[name]/sum), name)
			}
		}
	})
}

// entries is several ledgers that share one capacity, and exchange reports.
type entries struct {
	ledgers []*fairshare.Ledger
	reports []fairshare.Work // as the others know them
}

func (e *entries) peersOf(i int) fairshare.Work {
	var sum fairshare.Work
	for j, w := range e.reports {
		if i != j {
			sum.Add(w, 1)
		}
	}
	return sum
}

// One account floods through the first entry, or through all, and reports are lost at random. The
// account that asks for less than an even share is never cut at any entry once the flood has lasted
// for Memory, and the flooding one is.
func TestAFloodIsCutAtEveryEntryAlthoughReportsAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(1, 6).Draw(t, "entries")
		oneEntry := rapid.Bool().Draw(t, "one entry")
		e := entries{reports: make([]fairshare.Work, n)}
		for range n {
			e.ledgers = append(e.ledgers, fairshare.New())
		}
		const step = 100 * ms
		// A second has 10 slot-seconds at each entry; the small account asks for 2 of them.
		for now := time.Duration(0); now < 4*fairshare.Memory; now += step {
			for i, l := range e.ledgers {
				l.Offer(now, "small", 0.2)
				l.Start(now, "small", 0.2)
				if flood := 2.0; !oneEntry || i == 0 {
					if oneEntry {
						flood *= float64(n)
					}
					l.Offer(now, "flood", flood)
					l.Start(now, "flood", 0.4*flood)
				}
				if rapid.IntRange(0, 9).Draw(t, "lost") > 3 {
					e.reports[i] = l.Report(now, 64)
				}
			}
			if now < fairshare.Memory {
				continue
			}
			for i, l := range e.ledgers {
				d := l.Divide(now, e.peersOf(i))
				g.Expect(d.Next("small", 0.2)).To(Equal(0), "entry %d at %v", i, now)
				g.Expect(d.Level).NotTo(Equal(math.Inf(1)))
			}
			d := e.ledgers[0].Divide(now, e.peersOf(0))
			sum := 0.0
			for range 10_000 {
				if d.Next("flood", 0.1) > 0 {
					break
				}
				sum += 0.1
			}
			g.Expect(sum).To(BeNumerically("<", 4*fairshare.Queue.Seconds()*10*float64(n)+1), "work of the flood that may wait within its share")
		}
	})
}

// An account with few and large requests must get as much work as one with many small ones: each plan
// starts the first request of the lowest class, on one slot.
func TestLargeRequestsAreServedBesideManySmallOnes(t *testing.T) {
	g := NewWithT(t)
	l := fairshare.New()
	served := map[string]float64{}
	waiting := map[string][]float64{"small": nil, "large": nil}
	busyUntil := time.Duration(0)
	offeredLarge := 0.0
	for now := time.Duration(0); now < 60*time.Second; now += 20 * ms {
		if now%(40*ms) == 0 && len(waiting["small"]) < 100 { // 5 times the capacity
			l.Offer(now, "small", 0.2)
			waiting["small"] = append(waiting["small"], 0.2)
		}
		if now%(8*time.Second) == 0 { // half of the capacity, more than the whole share at once
			l.Offer(now, "large", 4)
			offeredLarge += 4
			waiting["large"] = append(waiting["large"], 4)
		}
		if now < busyUntil {
			continue
		}
		d := l.Divide(now, fairshare.Work{})
		best, lowest := "", math.MaxInt
		for _, name := range []string{"small", "large"} { // the small ones go first within a class
			if len(waiting[name]) == 0 {
				continue
			}
			if class := d.Next(name, waiting[name][0]); class < lowest {
				best, lowest = name, class
			}
		}
		if best == "" {
			continue
		}
		work := waiting[best][0]
		waiting[best] = waiting[best][1:]
		l.Start(now, best, work)
		served[best] += work
		busyUntil = now + time.Duration(work*float64(time.Second))
	}
	t.Logf("served %v, large asked %v", served, offeredLarge)
	g.Expect(served["large"]).To(BeNumerically(">", 0.7*offeredLarge), "large requests")
	g.Expect(served["small"]).To(BeNumerically(">", 20), "small requests")
}

// An account that returns after a pause has no more than one share, and one whose refused requests come
// again does not seem to ask for more each time.
func TestNeitherIdleTimeNorRefusalsAddUp(t *testing.T) {
	g := NewWithT(t)
	l := fairshare.New()
	for now := time.Duration(0); now < 100*time.Second; now += 100 * ms {
		l.Offer(now, "busy", 1)
		l.Start(now, "busy", 1)
		l.Offer(now, "refused", 1)
		l.Withdraw(now, now, "refused", 1)
	}
	now := 100 * time.Second
	l.Offer(now, "returning", 500)
	l.Offer(now, "busy", 500)
	d := l.Divide(now, fairshare.Work{})
	limit := 0.0
	for d.Next("returning", 0.5) == 0 {
		limit += 0.5
	}
	capacity := 10 * (fairshare.Memory + fairshare.Queue).Seconds()
	g.Expect(limit).To(BeNumerically("<=", capacity/2+1), "half of the work of Memory")
	g.Expect(l.Report(now, 64).Offered["refused"]).To(BeZero())
}
