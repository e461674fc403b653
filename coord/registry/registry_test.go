package registry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/registry"
)

const (
	horizon = 100 * time.Second
	lease   = 2 * time.Second
	agents  = 4
)

// submission is one entry's handling of one submission of the request ID.
type submission struct {
	entry    string
	view     []membership.Instance
	agent    int // where it will be dispatched
	grantEnd time.Duration
	unsureAt time.Duration
	state    string // new, unsure, located, granted, over
	fenced   []bool // agents that have answered that they hold no start
}

// agent is an agent of the pool and the engine beside it.
type agent struct {
	registrar *registry.Registrar
	ran       bool // this incarnation knows the run
	dead      bool
	engineRan bool // the engine knows the run, whichever incarnation started it
}

// TestARequestIDStartsAtMostOnce submits one request ID through several entries with
// views that lag, while agents restart, leave and come back, and expects at most one
// start.
func TestARequestIDStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		key := registry.Key{Account: "crew", RequestID: fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "request"))}
		all := make([]membership.Instance, agents)
		pool := make([]agent, agents)
		listed := make([]bool, agents)
		newIncarnation := func(i int) agent {
			cfg := registry.Config{Self: all[i].ID, Horizon: horizon, Lease: lease}
			return agent{registrar: registry.New(cfg, now), engineRan: pool[i].engineRan}
		}
		current := func() []membership.Instance {
			var view []membership.Instance
			for i, isListed := range listed {
				if isListed {
					view = append(view, all[i])
				}
			}
			return view
		}
		for i := range all {
			all[i] = membership.Instance{ID: fmt.Sprint("a", i)}
			listed[i] = i < 3
			pool[i] = newIncarnation(i)
		}
		oldView := current()
		for i := range pool {
			pool[i].registrar.SetView(now, current())
		}
		if rapid.Bool().Draw(t, "settled") {
			now += horizon + time.Second
		}
		var subs []*submission
		var started []int // agents
		index := func(in membership.Instance) int { return int(in.ID[1] - '0') }
		drawAgent := func(t *rapid.T) int { return rapid.IntRange(0, agents-1).Draw(t, "agent") }
		drawSub := func(t *rapid.T, states ...string) *submission {
			var fit []*submission
			for _, s := range subs {
				if slices.Contains(states, s.state) {
					fit = append(fit, s)
				}
			}
			if len(fit) == 0 {
				t.Skip("none")
			}
			return fit[rapid.IntRange(0, len(fit)-1).Draw(t, "submission")]
		}
		steps := map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				s := &submission{entry: fmt.Sprint("e", len(subs)), view: current(), state: "new", fenced: make([]bool, agents)}
				if rapid.Bool().Draw(t, "lagging view") && len(oldView) > 0 {
					s.view = oldView
				}
				if len(s.view) == 0 {
					t.Skip("empty pool")
				}
				s.agent = index(s.view[rapid.IntRange(0, len(s.view)-1).Draw(t, "agent")])
				s.grantEnd = now + lease
				subs = append(subs, s)
			},
			"register": func(t *rapid.T) {
				s := drawSub(t, "new", "located")
				if s.state == "located" {
					s.grantEnd = now + lease // a new grant
				}
				chosen := pool[index(registry.Choose(key, s.view))]
				if chosen.dead {
					s.state = "over"
					return
				}
				verdict, _ := chosen.registrar.Register(now, registry.Registration{
					Key: key, Located: s.state == "located",
					Holder: registry.Holder{Submission: s.entry, Agent: all[s.agent].ID, Attempt: 1},
				})
				switch verdict {
				case registry.Granted:
					s.state = "granted"
				case registry.Unsure:
					s.state, s.unsureAt, s.fenced = "unsure", now, make([]bool, agents)
				default:
					s.state = "over"
				}
			},
			"locate": func(t *rapid.T) {
				s := drawSub(t, "unsure")
				if now < s.unsureAt+lease {
					t.Skip("too early")
				}
				left := 0
				for _, in := range s.view {
					i := index(in)
					if s.fenced[i] {
						continue
					}
					if left++; left > 1 {
						continue // one agent a step
					}
					if pool[i].dead || pool[i].ran || pool[i].engineRan {
						s.state = "over"
						return
					}
					pool[i].registrar.Fence(now, key, s.entry)
					s.fenced[i] = true
				}
				if left <= 1 {
					s.state = "located"
				}
			},
			"dispatch": func(t *rapid.T) {
				s := drawSub(t, "granted")
				s.state = "over"
				a := &pool[s.agent]
				if a.dead || now >= s.grantEnd || !a.registrar.MayStart(now, key, s.entry) {
					return
				}
				// An instance that the entry's view does not hold counts as removed, and its runs as ended.
				for _, earlier := range started {
					if slices.Contains(s.view, all[earlier]) {
						t.Fatalf("started at %d and, by %s, at %d", earlier, s.entry, s.agent)
					}
				}
				started = append(started, s.agent)
				a.ran, a.engineRan = true, true
			},
			"restart": func(t *rapid.T) {
				// A restart voids the grants of the agent's previous incarnation.
				i := drawAgent(t)
				if pool[i].dead {
					t.Skip("dead")
				}
				pool[i] = newIncarnation(i)
				pool[i].registrar.SetView(now, current())
				for _, s := range subs {
					if s.agent == i {
						s.grantEnd = 0
					}
				}
			},
			"die": func(t *rapid.T) { pool[drawAgent(t)].dead = true },
			"list": func(t *rapid.T) {
				// The list drops a dead agent some time after its death, or gains a new instance.
				i := drawAgent(t)
				next := !listed[i] && !pool[i].dead && i >= 3 || listed[i] && !pool[i].dead
				if next == listed[i] {
					t.Skip("no change")
				}
				oldView = current()
				listed[i] = next
			},
			"agent sees list": func(t *rapid.T) {
				pool[drawAgent(t)].registrar.SetView(now, current())
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int{1, 1, 2, 2, 5}).Draw(t, "s")) * time.Second
			},
		}
		for _, often := range []string{"register", "locate", "dispatch", "submit", "agent sees list"} {
			steps[often+" again"] = steps[often]
			steps[often+" once more"] = steps[often]
		}
		t.Repeat(steps)
	})
}

func ExampleRegistrar() {
	self := []membership.Instance{{ID: "a1"}}
	r := registry.New(registry.Config{Self: "a1", Horizon: time.Minute, Lease: time.Second}, 0)
	r.SetView(0, self)
	ask := func(now time.Duration, entry string) {
		verdict, holder := r.Register(now, registry.Registration{
			Key: registry.Key{RequestID: "r"}, Holder: registry.Holder{Submission: entry, Attempt: 1},
		})
		fmt.Println(verdict == registry.Granted, holder.Submission)
	}
	ask(2*time.Minute, "e1")
	ask(2*time.Minute, "e2")
	// Output:
	// true e1
	// false e1
}
