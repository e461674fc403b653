package scheduler_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
)

// sharedGate is one token bucket for each restricted engine, as all fronts see it.
type sharedGate struct {
	rates  map[string]float64
	levels map[string]float64
	at     map[string]time.Duration
	taken  map[string]int
}

func newSharedGate(rates map[string]float64) *sharedGate {
	return &sharedGate{rates: rates, levels: map[string]float64{}, at: map[string]time.Duration{}, taken: map[string]int{}}
}

func (g *sharedGate) Rate(id string) (float64, bool) {
	rate, ok := g.rates[id]
	return rate, ok
}

func (g *sharedGate) Open(now time.Duration, id string) bool {
	rate, ok := g.rates[id]
	if !ok {
		return true
	}
	g.levels[id] = min(g.levels[id]+(now-g.at[id]).Seconds()*rate, 2)
	g.at[id] = now
	return g.levels[id] >= 1
}

func (g *sharedGate) RestsUntil(time.Duration, string) (time.Duration, bool) { return 0, false }

func (g *sharedGate) Due(time.Duration, string) bool { return false }

func (g *sharedGate) Take(now time.Duration, id string) time.Duration {
	if _, ok := g.rates[id]; !ok {
		return 0
	}
	g.levels[id]--
	g.taken[id]++
	return now + 500*ms
}

// Engines that take a limited rate are worth more than none in their place. What they can't
// take must not count among the slots that are shared among the fronts.
func TestRestrictedEnginesServeMoreThanNoneInTheirPlace(t *testing.T) {
	g := NewWithT(t)
	rates := map[string]float64{"e0": 1.7, "e3": 4.7}
	size := smallDeployment
	size.loadFactor = 1
	var restricted, gone outcomes
	for seed := int64(1); seed <= 3; seed++ {
		shared := newSharedGate(rates)
		restricted.add(newSimulation(seed, size, func(d deployment, i int, rows []directory.Endpoint) policy {
			p := newSchedulerPolicy(d, i, rows)
			p.(*adapter).s.SetGate(shared)
			return p
		}).run())
		gone.add(newSimulation(seed, size, func(d deployment, i int, rows []directory.Endpoint) policy {
			return newSchedulerPolicy(d, i, slices.DeleteFunc(slices.Clone(rows), func(r directory.Endpoint) bool { return rates[r.ID] > 0 }))
		}).run())
	}
	t.Logf("on time %.3f, served %.3f with restricted engines, %.3f and %.3f without them", restricted.onTime/3, restricted.served/3, gone.onTime/3, gone.served/3)
	g.Expect(restricted.onTime).To(BeNumerically(">=", gone.onTime))
	g.Expect(restricted.served).To(BeNumerically(">=", gone.served))
}

// outcomes sums the shares of several runs.
type outcomes struct{ onTime, served float64 }

func (o *outcomes) add(one outcome) {
	o.onTime += one.onTimeShare()
	o.served += one.servedShare()
}
