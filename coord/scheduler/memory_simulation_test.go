package scheduler_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/scheduler"
)

// crashOverfull ends all runs of an engine whose memory is exceeded.
func (w *simulation) crashOverfull(now time.Duration, e *simEngine) {
	if !e.overfull() {
		return
	}
	w.result.crashes++
	for _, r := range append(e.queue, e.running...) {
		w.fronts[r.front].(*adapter).s.Done(now, r.call.id, scheduler.Failed)
		delete(w.calls, r.call.id)
		delete(w.gaps, r.call.id)
		w.result.unserved++
	}
	e.queue, e.running = nil, nil
}

// crowdKinds are the usual requests, and a crowd of large prompts of the same rank as the reports.
var crowdKinds = append([]requestKind{
	{"crowd", 50, 50_000, 200, 800 * ms, 10 * time.Second, 0, 0.1, 1.0, 0.5, 2000, 54_600},
}, kinds...)

// crowd is a part of the users' deployment B: engines of 13 slots and memory for 444,000 tokens, which is
// that of eight large prompts.
var crowd = deployment{
	fronts: 11, engines: 20, loadFactor: 0.6, reportInterval: 110 * ms, length: 8 * time.Second, slots: 13,
	kinds: crowdKinds, memory: 444_000, engineMemory: scheduler.On,
}

// runSeeds returns the sum of the results of a deployment over some seeds.
func runSeeds(t *testing.T, name string, d deployment) outcome {
	results := make([]outcome, 4)
	var runs sync.WaitGroup
	for i := range results {
		runs.Go(func() { results[i] = newSimulation(int64(i+1), d, newSchedulerPolicy).run() })
	}
	runs.Wait()
	sum := outcome{byKind: map[string][3]int{}}
	for _, o := range results {
		sum.crashes += o.crashes
		sum.sent, sum.onTime, sum.late, sum.calls = sum.sent+o.sent, sum.onTime+o.onTime, sum.late+o.late, append(sum.calls, o.calls...)
		for kind, n := range o.byKind {
			sum.byKind[kind] = [3]int{sum.byKind[kind][0] + n[0], sum.byKind[kind][1] + n[1], sum.byKind[kind][2] + n[2]}
		}
	}
	t.Logf("%s: %d crashes, on time %.3f served %.3f %v", name, sum.crashes, sum.onTimeShare(), sum.servedShare(), sum.byKind)
	return sum
}

// Guards against engines crashing, with all their runs, since a crowd of large prompts exceeds their memory;
// against large requests being starved by smaller ones, and against these waiting for them.
func TestACrowdOfLargePromptsCrashesNoEngine(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := crowd
	with := runSeeds(t, "with", d)
	d.engineMemory = scheduler.Off
	without := runSeeds(t, "without", d)
	g.Expect(without.crashes).To(BeNumerically(">", 10), "the load exceeds the memory")
	g.Expect(with.crashes).To(BeZero())
	g.Expect(with.servedShare()).To(BeNumerically(">", without.servedShare()))
	for _, k := range crowdKinds {
		g.Expect(with.servedShareOf(k.name)).To(BeNumerically(">", 0.25*with.servedShare()), "%s is not starved", k.name)
	}
}

// Guards against engines crashing where entries hear of each other late, where some of them end, and where
// homes give out the places and endpoints state their load.
func TestACrowdOfLargePromptsCrashesNoEngineInTrouble(t *testing.T) {
	late := crowd
	late.fronts, late.engines, late.loadFactor, late.reportInterval, late.length = 22, 41, 1.2, 350*ms, 5*time.Second
	ending := crowd
	ending.trouble = func(w *simulation, now time.Duration) {
		if now == 2*time.Second {
			w.killFronts(1.0 / 4)
		}
	}
	stating := crowd
	stating.states, stating.trouble = truth, slowBursts
	stating.engineMemory = scheduler.Auto
	for name, d := range map[string]deployment{"late reports": late, "fronts end": ending, "stated load, bursts of slowness": stating} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(runSeeds(t, name, d).crashes).To(BeZero())
		})
	}
	t.Run("homes", func(t *testing.T) {
		NewWithT(t).Expect(newSimulation(1, crowd, newHomesPolicy).run().crashes).To(BeZero())
	})
}

// Guards against the memory that fronts of an older version use not being counted.
func TestMemoryOfFrontsThatDoNotReportItIsEstimated(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := crowd
	d.unsized = true
	g.Expect(runSeeds(t, "every other front reports no memory", d).crashes).To(BeNumerically("<=", 2))
}

// Guards against requests being held back or refused for memory while there is enough.
func TestAmpleMemoryChangesLittle(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := statingDeployment
	d.length, d.memory, d.engineMemory = 8*time.Second, 444_000, scheduler.Off
	without := runSeeds(t, "without", d)
	d.engineMemory = scheduler.On
	with := runSeeds(t, "with", d)
	g.Expect(with.crashes).To(BeZero())
	g.Expect(with.servedShare()).To(BeNumerically(">=", without.servedShare()-0.01))
	g.Expect(with.onTimeShare()).To(BeNumerically(">=", without.onTimeShare()-0.02))
}
