package scheduler_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/scheduler"
)

// deliverStatement passes what the engine of a run states to the run's front, with the head of the answer.
func (w *simulation) deliverStatement(now time.Duration, r *simRun) {
	a, ok := w.fronts[r.front].(*adapter)
	if w.states == nil || !ok {
		return
	}
	for _, e := range w.engines {
		for _, other := range e.running {
			if other == r {
				a.s.ObserveStatement(now, e.id, 1, w.states(w, e))
				return
			}
		}
	}
}

// truth is an engine's true statement.
func truth(_ *simulation, e *simEngine) scheduler.Statement {
	return scheduler.Statement{Running: len(e.running), Waiting: len(e.queue), Slots: e.slots, Pace: e.currentPace(), HasPace: true}
}

// statingDeployment is a part of the users' deployment B: fronts that report to each other every 110 ms,
// beside engines that are not overloaded.
var statingDeployment = deployment{fronts: 11, engines: 20, loadFactor: 1.7, reportInterval: 110 * ms, length: 12 * time.Second, slots: 13, kinds: kinds}

// slowBursts slows a quarter of the engines down for 800 ms at a time: within 100 ms their pace rises
// from 1 to 5.
func slowBursts(w *simulation, now time.Duration) {
	const period, rise, lasts = 1200 * ms, 100 * ms, 800 * ms
	burst, into := int(now/period), now%period
	for i := range w.deployment.engines {
		e := w.engines[fmt.Sprint("e", i)]
		e.pace = 1
		if (i+burst)%4 == 0 && into < lasts {
			e.pace = 1 + 4*min(float64(into)/float64(rise), 1)
		}
	}
}

// statedResults returns the sums of the results over some seeds, without statements and with them.
func statedResults(t *testing.T, d deployment) (without, with outcome) {
	const seeds = 10 // the result of one seed varies by more than statements change
	results := make([][2]outcome, seeds)
	var runs sync.WaitGroup
	for i := range results {
		runs.Go(func() {
			for j, mode := range []scheduler.Mode{scheduler.Off, scheduler.Auto} {
				d := d
				d.statedLoad = mode
				results[i][j] = newSimulation(int64(i+1), d, newSchedulerPolicy).run()
			}
		})
	}
	runs.Wait()
	for _, result := range results {
		for mode, o := range result {
			sum := &with
			if mode == 0 {
				sum = &without
			}
			for id, n := range o.placedAt {
				if sum.placedAt == nil {
					sum.placedAt = map[string]int{}
				}
				sum.placedAt[id] += n
			}
			sum.sent, sum.onTime, sum.late = sum.sent+o.sent, sum.onTime+o.onTime, sum.late+o.late
			sum.over, sum.overSamples = sum.over+o.over, sum.overSamples+o.overSamples
			sum.placed, sum.placedAtFull = sum.placed+o.placed, sum.placedAtFull+o.placedAtFull
		}
	}
	t.Logf("without: on time %.4f served %.4f at full %.4f over %.4f", without.onTimeShare(), without.servedShare(), without.fullShare(), without.overShare())
	t.Logf("with:    on time %.4f served %.4f at full %.4f over %.4f", with.onTimeShare(), with.servedShare(), with.fullShare(), with.overShare())
	return without, with
}

// Guards against requests going to machines that have become slow within 100 ms, which the learned speed
// shows only when the requests there have missed their time.
func TestStatedPaceMovesRequestsAwayFromABurstOfSlowness(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := statingDeployment
	d.states, d.trouble = truth, slowBursts
	without, with := statedResults(t, d)
	g.Expect(with.onTimeShare()).To(BeNumerically(">", without.onTimeShare()+0.01))
	g.Expect(with.fullShare()).To(BeNumerically("<", without.fullShare()-0.02), "placements at engines that are full")
	g.Expect(with.servedShare()).To(BeNumerically(">=", without.servedShare()-0.002))
}

// Guards against statements that are switched off, or absent, changing any decision.
func TestWithoutStatementsDecisionsAreUnchanged(t *testing.T) {
	g := NewWithT(t)
	d := statingDeployment
	d.length, d.trouble = 4*time.Second, slowBursts
	absent := newSimulation(1, d, newSchedulerPolicy).run()
	d.states, d.statedLoad = truth, scheduler.Off
	off := newSimulation(1, d, newSchedulerPolicy).run()
	d.states, d.statedLoad = func(w *simulation, e *simEngine) scheduler.Statement {
		return scheduler.Statement{Running: len(e.running), Waiting: len(e.queue), Slots: e.slots}
	}, scheduler.Auto
	withoutPace := newSimulation(1, d, newSchedulerPolicy).run()
	for _, o := range []outcome{off, withoutPace} {
		g.Expect(o.byKind).To(Equal(absent.byKind))
		g.Expect(o.placedAt).To(Equal(absent.placedAt))
		g.Expect(o.tokens).To(Equal(absent.tokens))
	}
}

// Guards against false statements costing callers answers.
func TestFalseStatementsDoNoHarm(t *testing.T) {
	for name, states := range map[string]func(w *simulation, e *simEngine) scheduler.Statement{
		"full and slow": func(_ *simulation, e *simEngine) scheduler.Statement {
			return scheduler.Statement{Running: e.slots, Waiting: 20 * e.slots, Slots: e.slots, Pace: 1e6, HasPace: true}
		},
		"empty and fast": func(_ *simulation, e *simEngine) scheduler.Statement {
			return scheduler.Statement{Slots: e.slots, Pace: 1e-6, HasPace: true}
		},
		"random": func(w *simulation, e *simEngine) scheduler.Statement {
			return scheduler.Statement{Running: w.rng.Intn(2 * e.slots), Waiting: w.rng.Intn(5), Slots: e.slots, Pace: 10 * w.rng.Float64(), HasPace: true}
		},
	} {
		for _, liars := range []int{1, 3} { // every engine, or every third
			t.Run(fmt.Sprintf("%s, every %d", name, liars), func(t *testing.T) {
				g := NewWithT(t)
				d := statingDeployment
				d.length = 6 * time.Second
				d.states = func(w *simulation, e *simEngine) scheduler.Statement {
					var i int
					if _, err := fmt.Sscanf(e.id, "e%d", &i); err == nil && i%liars == 0 {
						return states(w, e)
					}
					return truth(w, e)
				}
				without, with := statedResults(t, d)
				g.Expect(with.servedShare()).To(BeNumerically(">=", without.servedShare()-0.01))
				g.Expect(with.overShare()).To(BeNumerically("<=", without.overShare()+0.01), "no engine is flooded")
				g.Expect(with.onTimeShare()).To(BeNumerically(">=", without.onTimeShare()-0.03))
				for id, n := range without.placedAt {
					g.Expect(with.placedAt[id]).To(And(BeNumerically(">", 0.5*float64(n)), BeNumerically("<", 2*float64(n))), "%s is used as before", id)
				}
			})
		}
	}
}
