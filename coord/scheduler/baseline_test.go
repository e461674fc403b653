package scheduler_test

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// baselineFront is the front that the scheduler is compared with. It counts only its own
// requests, uses an even share of each engine's slots, serves requests in order of
// arrival, and refuses them after half of their target time with a retry after a second.
// choose picks one of the engines with a free slot.
type baselineFront struct {
	choose     func(l *baselineFront, candidates []string) string
	rng        *rand.Rand
	lastChoice int
	share      int // slots of each engine that this front may use
	rows       []directory.Endpoint
	inFlight   map[string]int    // by engine
	endpointOf map[uint64]string // by call
	waiting    []*simCall
	queuedAt   map[uint64]time.Duration // by call
}

// newBaseline returns a constructor of baseline fronts that use the given choice.
func newBaseline(choose func(l *baselineFront, candidates []string) string) func(deployment, int, []directory.Endpoint) policy {
	return func(d deployment, i int, rows []directory.Endpoint) policy {
		return newBaselineFront(d, i, rows, choose)
	}
}

// leastInFlight chooses the engine with the fewest requests of this front.
func leastInFlight(l *baselineFront, candidates []string) string {
	best := candidates[0]
	for _, id := range candidates {
		if l.inFlight[id] < l.inFlight[best] {
			best = id
		}
	}
	return best
}

// roundRobin chooses the engines in turn.
func roundRobin(l *baselineFront, candidates []string) string {
	l.lastChoice++
	return candidates[l.lastChoice%len(candidates)]
}

// twoChoices draws two engines and takes the one with fewer requests of this front.
func twoChoices(l *baselineFront, candidates []string) string {
	return leastInFlight(l, []string{candidates[l.rng.Intn(len(candidates))], candidates[l.rng.Intn(len(candidates))]})
}

func newBaselineFront(d deployment, i int, rows []directory.Endpoint, choose func(l *baselineFront, candidates []string) string) policy {
	return &baselineFront{choose: choose, rng: rand.New(rand.NewSource(int64(i))), share: simSlots/d.fronts + 1, rows: rows, inFlight: map[string]int{}, endpointOf: map[uint64]string{}, queuedAt: map[uint64]time.Duration{}}
}

func (l *baselineFront) enqueue(now time.Duration, c *simCall) {
	l.waiting = append(l.waiting, c)
	l.queuedAt[c.id] = now
}

func (l *baselineFront) plan(now time.Duration) scheduler.Plan {
	var p scheduler.Plan
	var left []*simCall
	for _, c := range l.waiting {
		var candidates []string
		for _, row := range l.rows {
			if l.inFlight[row.ID] < l.share {
				candidates = append(candidates, row.ID)
			}
		}
		switch {
		case len(candidates) > 0:
			best := l.choose(l, candidates)
			l.inFlight[best]++
			l.endpointOf[c.id] = best
			p.Placements = append(p.Placements, scheduler.Placement{Request: c.id, Endpoint: best})
		case now > l.queuedAt[c.id]+c.kind.target/2:
			p.Refusals = append(p.Refusals, scheduler.Refusal{Request: c.id, RetryAfter: time.Second})
		default:
			left = append(left, c)
		}
	}
	l.waiting = left
	return p
}

func (l *baselineFront) firstEvent(time.Duration, uint64)              {}
func (l *baselineFront) progress(time.Duration, uint64, time.Duration) {}
func (l *baselineFront) done(_ time.Duration, id uint64) {
	if at, ok := l.endpointOf[id]; ok {
		l.inFlight[at]--
		delete(l.endpointOf, id)
	}
}

func (l *baselineFront) cancel(now time.Duration, id uint64) {
	l.done(now, id)
	for i, c := range l.waiting {
		if c.id == id {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

// TestSchedulerServesMoreThanBaselinePolicies logs what callers get from each policy on the
// simulated load; the table in docs/MEASUREMENTS.md is this output.
func TestSchedulerServesMoreThanBaselinePolicies(t *testing.T) {
	policies := []struct {
		name  string
		front func(deployment, int, []directory.Endpoint) policy
	}{
		{"round robin", newBaseline(roundRobin)},
		{"two choices", newBaseline(twoChoices)},
		{"least in flight", newBaseline(leastInFlight)},
		{"ours", newSchedulerPolicy},
	}
	g := NewWithT(t)
	var best outcome
	for _, p := range policies {
		out := newSimulation(1, smallDeployment, p.front).run()
		t.Logf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f |", p.name, out.servedShare(), out.servedShareOf("report"), out.servedShareOf("question"), out.servedShareOf("tag"), out.wastedShare())
		if p.name != "ours" {
			if best.sent == 0 || out.servedShare() > best.servedShare() {
				best = out
			}
			continue
		}
		g.Expect(out.servedShare()).To(BeNumerically(">=", best.servedShare()), "as many served as by the best other policy")
		g.Expect(out.wastedShare()).To(BeNumerically("<=", best.wastedShare()+0.01))
	}
}
