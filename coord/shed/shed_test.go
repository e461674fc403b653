package shed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosespoke.dev/coord/shed"
)

const (
	lease    = 1000 * time.Millisecond
	timeout  = 200 * time.Millisecond
	perRole  = 3
	poolName = "model"
)

var tiers = []string{"notary", "crew", "backlog"}

// process is an entry or an agent.
type process struct {
	name        string
	entry       bool
	incarnation int
	version     int
	frozen      bool
	lacks       string // a member that its view of the list lacks
	witness     *shed.Witness
	requester   *shed.Requester
}

// work is a request between an entry's decision to start it and its end at the engine.
type work struct {
	tier                string
	entry, agent        *process
	entryInc, agentInc  int
	arrived, agentKnows bool
}

// message is a question on its way, or the reply to it.
type message struct {
	from  *process // the requester
	inc   int
	ask   shed.Query
	reply *shed.Reply
}

type world struct {
	t        *rapid.T
	now      time.Duration
	fresh    time.Duration
	tables   []shed.Ranks
	all      []*process
	works    []*work
	messages []message
	cut      map[string]bool // pairs of names
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Hour, cut: map[string]bool{}}
	w.tables = []shed.Ranks{{"notary": 0, "crew": 1, "backlog": 2}}
	for i := range 2 * perRole {
		p := &process{name: fmt.Sprint("e", i), entry: true}
		if i >= perRole {
			p = &process{name: fmt.Sprint("a", i-perRole)}
		}
		w.all = append(w.all, p)
		w.restart(p)
	}
	w.now += lease
	w.fresh = time.Hour // what a killed agent left running has no end in this test
	return w
}

func (w *world) restart(p *process) {
	p.incarnation++
	p.frozen = false
	p.version = len(w.tables) - 1
	p.witness = shed.NewWitness(shed.WitnessConfig{MaxLease: lease, Hold: lease, RestartWindow: w.fresh}, w.now)
	p.requester = shed.NewRequester(shed.Config{Lease: lease, Timeout: timeout, Pause: timeout})
}

func (w *world) names(entries bool) []string {
	var names []string
	for _, p := range w.all {
		if p.entry == entries {
			names = append(names, p.name)
		}
	}
	return names
}

func (w *world) find(name string) *process {
	i := slices.IndexFunc(w.all, func(p *process) bool { return p.name == name })
	return w.all[i]
}

func (w *world) send(p *process, asks []shed.Query) {
	for _, ask := range asks {
		w.messages = append(w.messages, message{from: p, inc: p.incarnation, ask: ask})
	}
}

// knows tells whether a process sees a work as in service.
func (p *process) knows(k *work) bool {
	if p.entry {
		return k.entry == p && k.entryInc == p.incarnation
	}
	return k.agentKnows && k.agent == p && k.agentInc == p.incarnation
}

func identity(name string, incarnation int) string { return fmt.Sprint(name, "#", incarnation) }

// answer lets a witness answer a question.
func (w *world) answer(p *process, q shed.Question) shed.Reply {
	s := shed.LocalState{Version: int64(p.version), Ranks: w.tables[p.version]}
	s.Agents, s.Entries = w.names(false), w.names(true)
	for _, k := range w.works {
		relies := p.entry && slices.Contains(q.Reached, identity(k.agent.name, k.agentInc))
		if p.knows(k) && !relies {
			s.Serving = append(s.Serving, k.tier)
		}
	}
	if p.entry {
		return p.witness.AnswerAsEntry(w.now, q, s)
	}
	reply := p.witness.AnswerAsAgent(w.now, q, s)
	reply.Incarnation = identity(p.name, p.incarnation)
	return reply
}

// deliver moves one message on.
func (w *world) deliver(i int, lost bool) {
	m := w.messages[i]
	to := w.find(m.ask.Member)
	carrier := to
	if m.reply != nil {
		carrier = m.from
	}
	if carrier.frozen {
		return
	}
	w.messages = slices.Delete(w.messages, i, i+1)
	if m.from.incarnation != m.inc {
		return
	}
	lost = lost || w.cut[m.from.name+to.name]
	switch {
	case lost && m.from.frozen: // nobody to tell
	case lost:
		w.send(m.from, m.from.requester.Failed(w.now, poolName, m.ask))
	case m.reply == nil:
		reply := w.answer(to, m.ask.Question)
		w.messages = append(w.messages, message{from: m.from, inc: m.inc, ask: m.ask, reply: &reply})
	default:
		w.send(m.from, m.from.requester.Replied(w.now, poolName, m.ask, *m.reply))
	}
}

func (w *world) tick(p *process) {
	lacks := func(name string) bool { return name == p.lacks }
	members := func(string) shed.Members {
		return shed.Members{Agents: slices.DeleteFunc(w.names(false), lacks), Entries: slices.DeleteFunc(w.names(true), lacks)}
	}
	w.send(p, p.requester.Tick(w.now, int64(p.version), members))
}

// shed lets an entry shed a tier if it may, and checks that nothing lower is in service.
func (w *world) shed(p *process, tier string) bool {
	ranks := w.tables[p.version]
	if !p.requester.MayShed(w.now, poolName, tier, int64(p.version), ranks) {
		return false
	}
	for _, k := range w.works {
		if k.arrived && ranks[k.tier] > ranks[tier] {
			w.t.Fatalf("%s sheds %s while %s runs at %s for %s", p.name, tier, k.tier, k.agent.name, k.entry.name)
		}
	}
	return true
}

// start lets an entry dispatch work to an agent.
func (w *world) start(e, a *process, tier string) {
	if e.witness.MayStart(w.now, poolName, identity(a.name, a.incarnation), tier, w.tables[e.version]) {
		w.works = append(w.works, &work{tier: tier, entry: e, agent: a, entryInc: e.incarnation, agentInc: a.incarnation})
	}
}

// arrive brings a dispatch to its agent.
func (w *world) arrive(i int) {
	k := w.works[i]
	switch {
	case k.arrived || k.agent.frozen || w.cut[k.entry.name+k.agent.name]:
	case k.agentInc != k.agent.incarnation,
		!k.agent.witness.MayStart(w.now, poolName, "", k.tier, w.tables[k.agent.version]):
		w.works = slices.Delete(w.works, i, i+1)
	default:
		k.arrived, k.agentKnows = true, true
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, entry bool) *process {
		p := w.all[rapid.IntRange(0, perRole-1).Draw(t, "process")]
		if !entry {
			p = w.find("a" + p.name[1:])
		}
		if p.frozen {
			t.Skip("frozen")
		}
		return p
	}
	anyone := func(t *rapid.T) *process { return w.all[rapid.IntRange(0, len(w.all)-1).Draw(t, "process")] }
	tier := rapid.SampledFrom(tiers)
	exchange := func(t *rapid.T) {
		for range 12 {
			if len(w.messages) > 0 {
				w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"), rapid.IntRange(0, 29).Draw(t, "lost") == 0)
			}
		}
	}
	start := func(t *rapid.T) { w.start(pick(t, true), pick(t, false), tier.Draw(t, "tier")) }
	arrive := func(t *rapid.T) {
		if len(w.works) > 0 {
			w.arrive(rapid.IntRange(0, len(w.works)-1).Draw(t, "work"))
		}
	}
	ask := func(t *rapid.T) {
		p := pick(t, true)
		w.shed(p, tier.Draw(t, "tier"))
		w.tick(p)
	}
	return map[string]func(*rapid.T){
		"exchange": exchange, "exchange 2": exchange, "exchange 3": exchange, "exchange 4": exchange,
		"start": start, "start 2": start, "arrive": arrive, "arrive 2": arrive, "ask": ask, "ask 2": ask, "ask 3": ask,
		"end all": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "keep one") && len(w.works) > 1 {
				w.works = w.works[:1]
				return
			}
			w.works = nil
		},
		"end one": func(*rapid.T) { w.works = w.works[min(1, len(w.works)):] },
		"restart": func(t *rapid.T) { w.restart(anyone(t)) },
		"freeze":  func(t *rapid.T) { anyone(t).frozen = true },
		"thaw":    func(t *rapid.T) { anyone(t).frozen = false },
		"cut": func(t *rapid.T) {
			w.cut[fmt.Sprint("e", rapid.IntRange(0, perRole-1).Draw(t, "entry"))+anyone(t).name] = true
		},
		"view": func(t *rapid.T) { anyone(t).lacks = anyone(t).name },
		"mend": func(*rapid.T) { clear(w.cut) },
		"edit": func(t *rapid.T) {
			ranks := shed.Ranks{}
			for rank, name := range rapid.Permutation(tiers).Draw(t, "order") {
				ranks[name] = rank
			}
			w.tables = append(w.tables, ranks)
		},
		"table": func(t *rapid.T) { anyone(t).version = len(w.tables) - 1 },
		"tables": func(*rapid.T) {
			for _, p := range w.all {
				p.version = len(w.tables) - 1
			}
		},
		"time": func(t *rapid.T) {
			w.now += time.Duration(rapid.SampledFrom([]int{20, 50, 200, 400, 900, 1100}).Draw(t, "ms")) * time.Millisecond
		},
	}
}

func TestNothingLowerIsServedWhileShedding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.heal()
	})
}

// heal ends all faults and work; once what killed processes may have left running
// has ended, every tier can be shed.
func (w *world) heal() {
	clear(w.cut)
	w.works, w.messages = nil, nil
	for _, p := range w.all {
		p.frozen, p.version = false, len(w.tables)-1
	}
	w.now += w.fresh + 2*lease
	e := w.all[0]
	for range 20 {
		w.shed(e, tiers[0])
		w.tick(e)
		for len(w.messages) > 0 {
			w.deliver(0, false)
		}
		if w.shed(e, tiers[0]) && w.shed(e, tiers[2]) {
			return
		}
		w.now += timeout
	}
	w.t.Fatalf("no permit though nothing runs")
}

func ExampleRequester() {
	r, first := shed.NewRequester(shed.Config{}), shed.WitnessConfig{MaxLease: lease}
	agent, entry := shed.NewWitness(first, 0), shed.NewWitness(first, 0)
	now, ranks := 2*lease, shed.Ranks{"notary": 0, "backlog": 1}
	fmt.Println(r.MayShed(now, "model", "notary", 1, ranks))
	asks := r.Tick(now, 1, func(string) shed.Members {
		return shed.Members{Agents: []string{"a1"}, Entries: []string{"e1"}}
	})
	asks = r.Replied(now, "model", asks[0], agent.AnswerAsAgent(now, asks[0].Question, shed.LocalState{Version: 1, Ranks: ranks}))
	r.Replied(now, "model", asks[0], entry.AnswerAsEntry(now, asks[0].Question, shed.LocalState{Version: 1, Ranks: ranks}))
	fmt.Println(r.MayShed(now, "model", "notary", 1, ranks), agent.MayStart(now, "model", "", "backlog", ranks))
	// Output:
	// false
	// true false
}
