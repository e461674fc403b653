package scheduler_test

import (
	"math/rand"
	"testing"
	"time"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// plainFront is what ours is compared with: alone with its own counts, an even share
// of each engine's slots, requests in order of arrival, refused after half of their
// target with a second to come back. Choose picks one of the engines with room.
type plainFront struct {
	choose  func(l *plainFront, room []string) string
	rng     *rand.Rand
	last    int
	share   int // of an engine's slots
	rows    []directory.Endpoint
	held    map[string]int
	at      map[uint64]string
	waiting []*simCall
	since   map[uint64]time.Duration
}

// newPlain returns the maker of plain fronts with a rule of choice.
func newPlain(choose func(l *plainFront, room []string) string) func(deployment, int, []directory.Endpoint) policy {
	return func(d deployment, i int, rows []directory.Endpoint) policy {
		return newPlainFront(d, i, rows, choose)
	}
}

// leastInFlight chooses the engine at which the front holds the fewest requests.
func leastInFlight(l *plainFront, room []string) string {
	best := room[0]
	for _, id := range room {
		if l.held[id] < l.held[best] {
			best = id
		}
	}
	return best
}

// roundRobin goes through the engines in turn.
func roundRobin(l *plainFront, room []string) string {
	l.last++
	return room[l.last%len(room)]
}

// twoChoices draws two engines and takes that at which the front holds fewer requests.
func twoChoices(l *plainFront, room []string) string {
	return leastInFlight(l, []string{room[l.rng.Intn(len(room))], room[l.rng.Intn(len(room))]})
}

func newPlainFront(d deployment, i int, rows []directory.Endpoint, choose func(l *plainFront, room []string) string) policy {
	return &plainFront{choose: choose, rng: rand.New(rand.NewSource(int64(i))), share: simSlots/d.fronts + 1, rows: rows, held: map[string]int{}, at: map[uint64]string{}, since: map[uint64]time.Duration{}}
}

func (l *plainFront) enqueue(now time.Duration, c *simCall) {
	l.waiting = append(l.waiting, c)
	l.since[c.id] = now
}

func (l *plainFront) plan(now time.Duration) scheduler.Plan {
	var p scheduler.Plan
	var left []*simCall
	for _, c := range l.waiting {
		var room []string
		for _, row := range l.rows {
			if l.held[row.ID] < l.share {
				room = append(room, row.ID)
			}
		}
		switch {
		case len(room) > 0:
			best := l.choose(l, room)
			l.held[best]++
			l.at[c.id] = best
			p.Placements = append(p.Placements, scheduler.Placement{Request: c.id, Endpoint: best})
		case now > l.since[c.id]+c.kind.target/2:
			p.Refusals = append(p.Refusals, scheduler.Refusal{Request: c.id, RetryAfter: time.Second})
		default:
			left = append(left, c)
		}
	}
	l.waiting = left
	return p
}

func (l *plainFront) firstEvent(time.Duration, uint64)              {}
func (l *plainFront) progress(time.Duration, uint64, time.Duration) {}
func (l *plainFront) done(_ time.Duration, id uint64) {
	if at, ok := l.at[id]; ok {
		l.held[at]--
		delete(l.at, id)
	}
}

func (l *plainFront) cancel(now time.Duration, id uint64) {
	l.done(now, id)
	for i, c := range l.waiting {
		if c.id == id {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

// TestPoliciesSideBySide prints what each policy earns on the replayed load; the table
// in docs/MEASUREMENTS.md is its output.
func TestPoliciesSideBySide(t *testing.T) {
	policies := []struct {
		name  string
		front func(deployment, int, []directory.Endpoint) policy
	}{
		{"round robin", newPlain(roundRobin)},
		{"two choices", newPlain(twoChoices)},
		{"least in flight", newPlain(leastInFlight)},
		{"ours", newOurs},
	}
	best, own := 0.0, 0.0
	for _, p := range policies {
		out := newWorld(1, smallDeployment, p.front).run()
		t.Logf("| %s | %.3f | %.3f | %v |", p.name, out.share(), out.served(), out.byKind)
		if own = out.share(); p.name != "ours" {
			best = max(best, own)
		}
	}
	if own < 1.1*best {
		t.Errorf("ours earns %.3f, the best of the others %.3f", own, best)
	}
}
