package rollout_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/rollout"
)

const (
	ms       = time.Millisecond
	step     = 20 * ms
	share    = 0.1
	slack    = 50.0
	duration = 12 * time.Second
	rollback = 5 * time.Second
	service  = "svc"
)

// badness says how a version is bad.
type badness struct {
	from   time.Duration // after the order
	route  string        // empty = all
	rate   float64       // part of the answers; 0 = the version is good
	hangs  bool          // it does not answer for a minute
	denies bool          // it turns the requests away as not run
	slow   bool          // five times slower; otherwise failures
	loaded int           // only while an endpoint runs more requests than that
	busy   bool          // endpoints run several requests at a time
}

// entry is one front of the simulation.
type entry struct {
	name      string
	life      int
	set       *rollout.Set
	dead      bool
	begun     time.Duration
	returnsAt time.Duration
	heard     map[string]time.Duration
	writeAt   time.Duration
	read      bool // the order
}

// answer is one that is under way.
type answer struct {
	entry    *entry
	life     int
	id       uint64
	endpoint string
	at       time.Duration
	failed   bool
	bad      bool
	denied   bool
}

type delayed struct {
	to, from string
	life     int
	reports  []rollout.Report
	at       time.Duration
}

// row is a record of the store's topic of statuses.
type row struct {
	target string
	phase  rollout.Phase
}

// world is fronts, the store and the endpoints of two versions.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	bad     badness
	entries []*entry
	mail    []delayed
	answers []answer
	running map[string]int
	lastID  uint64
	orders  []rollout.Order
	log     []row
	era     int64

	downFrom, downTo time.Duration
	loseReplies      float64
	loseReports      float64
	rate             float64 // requests of each entry and step

	total, atNew, badAnswers int
	badAt                    []time.Duration
	lastNew                  time.Duration
	oldRunning               int // runs that can't be repeated
	completedWith            int // those that ran when the row "completed" was written
	written                  []row
}

func newWorld(seed int64, entries int, bad badness) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), bad: bad, running: map[string]int{}, era: 1, rate: 0.5, completedWith: -1}
	for i := range entries {
		e := &entry{name: fmt.Sprint("front-", i)}
		w.begin(e)
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *world) begin(e *entry) {
	e.life, e.dead, e.read, e.heard = e.life+1, false, false, map[string]time.Duration{}
	e.begun = w.now
	e.set = rollout.NewSet(rollout.Config{Self: e.name, ExposureShare: share, ExposureSlack: slack})
	listed := map[string]string{}
	for i := range 4 {
		listed[fmt.Sprint("old-", i)], listed[fmt.Sprint("new-", i)] = "v1", "v2"
	}
	e.set.SetListed(map[string]map[string]string{service: listed})
}

func (w *world) down() bool { return w.now >= w.downFrom && w.now < w.downTo }

func (w *world) order(target string) {
	w.orders = append(w.orders, rollout.Order{ID: rollout.ID{Era: w.era, Offset: int64(len(w.orders))}, Service: service, Target: target, Duration: duration})
	for _, e := range w.entries {
		e.read = false
	}
}

// readStatus passes on what the store has.
func (w *world) readStatus(e *entry) {
	if n := len(w.log); n > 0 {
		e.set.Status(service, w.log[n-1].target, w.log[n-1].phase, rollout.ID{Era: w.era, Offset: int64(n)})
	}
	e.set.Informed()
}

// write is one round of the writer: read, append under the condition, read again.
func (w *world) write(e *entry, heard []string) {
	w.readStatus(e)
	for _, s := range e.set.Wanted(w.now, heard) {
		want := row{target: s.Target, phase: s.Phase}
		if n := len(w.log); n > 0 && w.log[n-1] == want {
			continue
		}
		if w.rng.Float64() < 0.2 {
			return // the call was lost on its way
		}
		w.log, w.written = append(w.log, want), append(w.written, want)
		if s.Phase == rollout.Completed && w.completedWith < 0 {
			w.completedWith = w.oldRunning
		}
		if w.rng.Float64() >= w.loseReplies {
			w.readStatus(e)
		}
	}
}

// send places one request of an entry.
func (w *world) send(e *entry) {
	route := []string{"look", "book", "rare"}[min(w.rng.Intn(11)/5, 2)]
	r := rollout.Request{Route: route}
	var chosen, version string
	lowest := 1 << 30
	for _, v := range []string{"v2", "v1"} {
		for i := range 4 {
			id := fmt.Sprint(map[string]string{"v1": "old-", "v2": "new-"}[v], i)
			if !e.set.Admits(service, r, id, v) {
				continue
			}
			if e.set.Closed(service, v) {
				panic("a closed version admits a request")
			}
			if load := w.running[id] * 4; load < lowest || load == lowest && w.rng.Intn(2) == 0 {
				chosen, version, lowest = id, v, load
			}
		}
		if chosen != "" && e.set.Prefers(service, v) {
			break
		}
	}
	w.total++
	if chosen == "" {
		return
	}
	w.lastID++
	w.running[chosen]++
	e.set.Placed(w.now, rollout.Placement{ID: w.lastID, Service: service, Route: route, Version: version, Repeatable: route != "book"})
	if version == "v1" && route == "book" {
		w.oldRunning++
	}
	took := time.Duration((30 + 30*w.rng.Float64()) * (1 + 0.1*float64(w.running[chosen])) * float64(ms))
	if w.rng.Float64() < 0.02 {
		took *= 4 // of both versions
	}
	a := answer{entry: e, life: e.life, id: w.lastID, endpoint: chosen, failed: w.rng.Float64() < 0.005}
	if version == "v2" {
		w.atNew, w.lastNew = w.atNew+1, w.now
		b := w.bad
		if (b.route == "" || b.route == route) && w.now >= b.from && w.running[chosen] > b.loaded && w.rng.Float64() < b.rate {
			a.bad, a.denied, a.failed = !b.denies, b.denies, !b.denies && !b.slow && !b.hangs
			switch {
			case b.slow:
				took *= 5
			case b.hangs:
				took = time.Minute
			}
		}
	}
	a.at = w.now + took
	w.answers = append(w.answers, a)
}

func (w *world) step() {
	w.now += step
	w.answers = slices.DeleteFunc(w.answers, func(a answer) bool {
		if w.now < a.at {
			return false
		}
		w.running[a.endpoint]--
		if a.bad {
			w.badAnswers++
			w.badAt = append(w.badAt, w.now)
		}
		if a.entry.life == a.life && !a.entry.dead {
			result := rollout.Answered
			if a.failed {
				result = rollout.Failed
			}
			if a.denied {
				result = rollout.Unjudged
			}
			a.entry.set.Ended(w.now, a.id, result)
		}
		return true
	})
	w.oldRunning = 0
	w.mail = slices.DeleteFunc(w.mail, func(m delayed) bool {
		if w.now < m.at {
			return false
		}
		for _, e := range w.entries {
			if e.name == m.to && !e.dead {
				e.heard[m.from] = w.now
				e.set.Receive(w.now, m.from, fmt.Sprint(m.life), m.reports)
			}
		}
		return true
	})
	for i, e := range w.entries {
		if e.dead {
			if w.now >= e.returnsAt {
				w.begin(e)
			}
			continue
		}
		w.stepEntry(i, e)
	}
}

func (w *world) stepEntry(i int, e *entry) {
	if !w.down() && !e.read && w.rng.Intn(3) == 0 {
		for _, o := range w.orders {
			e.set.Observe(w.now, o, e.life > 1)
		}
		e.read = true
	}
	if !w.down() && w.rng.Intn(50) == 0 {
		w.readStatus(e)
	}
	var heard []string
	for name, at := range e.heard {
		if w.now < at+600*ms {
			heard = append(heard, name)
		}
	}
	writer := e.name
	for _, name := range heard {
		writer = min(writer, name)
	}
	if int(w.now/step)%3 == i%3 {
		e.set.Step(w.now, rollout.Situation{Entries: len(w.entries), Heard: heard, Current: true, Stored: !w.down()}, func(string) bool { return writer == e.name })
	}
	if writer == e.name && e.read && !w.down() && w.now >= e.writeAt {
		e.writeAt = w.now + 100*ms
		w.write(e, heard)
	}
	if int(w.now/step)%5 == i%5 {
		for _, other := range w.entries {
			if other != e && w.rng.Float64() >= w.loseReports {
				w.mail = append(w.mail, delayed{to: other.name, from: e.name, life: e.life, reports: e.set.Reports(w.now, true), at: w.now + time.Duration(w.rng.Intn(200))*ms})
			}
		}
	}
	for n := w.rate; n > 0 && (e.read || e.life == 1); n-- { // a front serves only once it has read the configuration
		if w.rng.Float64() < n {
			w.send(e)
		}
	}
}

func (w *world) run(until time.Duration, each func()) {
	for w.now < until {
		w.step()
		if each != nil {
			each()
		}
	}
}

// verdict returns the first verdict that was written, and whether it stands to the end.
func (w *world) verdict() (rollout.Phase, bool) {
	first := rollout.Running
	for _, r := range w.written {
		switch {
		case first == rollout.Running && r.phase.Decided():
			first = r.phase
		case first.Decided() && r.phase != first:
			return first, false
		}
	}
	return first, true
}

// othersLive reports whether all fronts but one live, and have for some time.
func (w *world) othersLive(but *entry) bool {
	return len(w.entries) > 1 && !slices.ContainsFunc(w.entries, func(e *entry) bool {
		return e != but && (e.dead || e.life > 1 && w.now < e.begun+2*time.Second)
	})
}

// agreed reports whether all entries that live have the phase.
func (w *world) agreed(phase rollout.Phase) bool {
	return !slices.ContainsFunc(w.entries, func(e *entry) bool {
		d := e.set.Describe(w.now)
		return !e.dead && (len(d) != 1 || d[0].Phase != phase.String())
	})
}

// lateRequests reports whether a request reached the target later than the bound allows.
func (w *world) lateRequests() bool {
	return len(w.badAt) >= 50 && w.lastNew > w.badAt[49]+rollback
}

// Random histories: fronts end and come back between order and verdict, reports are lost or late,
// writes of the status are lost or their answers are, the store is down for a time, orders are
// repeated. They guard against a version that gets more requests than the bounds allow, a verdict
// that is taken back or comes late, a good version that is rolled back, and fronts that disagree.
func TestVerdictsAndExposureInRandomHistories(t *testing.T) {
	kinds := map[string]badness{
		"good": {}, "fails at once": {rate: 0.3}, "slow at once": {rate: 0.4, slow: true}, "fails always": {rate: 1}, "slow always": {rate: 1, slow: true},
		"hangs": {rate: 1, hangs: true}, "turns all away": {rate: 1, denies: true},
		"fails later": {rate: 0.4, from: 3 * time.Second}, "fails under load": {rate: 0.6, loaded: 1, busy: true}, "one route": {rate: 0.6, route: "look"}, "one route slow": {rate: 0.7, route: "book", slow: true},
	}
	names := slices.Sorted(func(yield func(string) bool) {
		for name := range kinds {
			if !yield(name) {
				return
			}
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		name := rapid.SampledFrom(names).Draw(rt, "version")
		w := newWorld(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(1, 5).Draw(rt, "fronts"), kinds[name])
		// From 40 requests a second on: fewer show too little of a version within the bounds.
		least := 0.8
		if w.bad.busy {
			least = 4
		}
		w.rate = rapid.Float64Range(least, 6).Draw(rt, "rate") / float64(len(w.entries))
		w.loseReplies, w.loseReports = rapid.Float64Range(0, 0.5).Draw(rt, "lost answers"), rapid.Float64Range(0, 0.4).Draw(rt, "lost reports")
		w.run(time.Second, nil)
		if w.bad.from += w.now; w.bad.rate == 0 {
			w.bad.from = 0
		}
		w.total, w.atNew, w.badAnswers, w.badAt = 0, 0, 0, nil
		w.order("v2")
		w.downFrom = time.Second + time.Duration(rapid.IntRange(1000, 9000).Draw(rt, "down from"))*ms
		w.downTo = w.downFrom + time.Duration(rapid.IntRange(0, 2000).Draw(rt, "down for"))*ms
		repeatAt := time.Second + time.Duration(rapid.IntRange(500, 15000).Draw(rt, "repeated at"))*ms
		var kills []time.Duration
		for range rapid.IntRange(0, 2).Draw(rt, "kills") {
			kills = append(kills, time.Second+time.Duration(rapid.IntRange(100, 11000).Draw(rt, "kill"))*ms)
		}
		w.run(14*time.Second, func() {
			for i, at := range kills {
				// Nobody knows since when an order stands if all fronts end at the same time.
				if w.now-step < at && w.now >= at && w.othersLive(w.entries[i%len(w.entries)]) {
					e := w.entries[i%len(w.entries)]
					e.dead, e.returnsAt = true, w.now+time.Second
				}
			}
			if w.now-step < repeatAt && w.now >= repeatAt {
				w.order("v2")
			}
		})
		verdict, stands := w.verdict()
		g.Expect(stands).To(BeTrue(), "%s: the verdict stands: %v", name, w.written)
		wanted := rollout.RolledBack
		if w.bad.rate == 0 {
			wanted = rollout.Completed
			g.Expect(w.completedWith).To(BeNumerically("<=", 0), "runs of the old version that can't be repeated")
		} else {
			g.Expect(w.atNew).To(BeNumerically("<=", share*float64(w.total)+slack), "%s: %d bad answers", name, w.badAnswers)
			g.Expect(w.lateRequests()).To(BeFalse(), "%s: requests at the target after its 50th bad answer: %+v", name, w.entries[0].set.Describe(w.now))
		}
		g.Expect(verdict).To(Equal(wanted), "%s: %d of %d requests, %d bad answers: %+v", name, w.atNew, w.total, w.badAnswers, w.entries[0].set.Describe(w.now))
		w.run(16*time.Second, nil)
		g.Expect(w.agreed(wanted)).To(BeTrue(), "all fronts know the verdict")
	})
}
