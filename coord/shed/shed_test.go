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
	lease            = 1000 * time.Millisecond
	timeout          = 200 * time.Millisecond
	processesPerRole = 3
	poolName         = "model"
)

var tiers = []string{"notary", "crew", "backlog"}

// process is a simulated entry or agent.
type process struct {
	name          string
	entry         bool
	incarnation   int
	version       int
	frozen        bool
	unknownMember string // the member missing from its list of members; empty = none
	witness       *shed.Witness
	requester     *shed.Requester
}

// startedRequest is a request between an entry's decision to start it and the end
// of its run in the engine.
type startedRequest struct {
	tier                               string
	entry, agent                       *process
	entryIncarnation, agentIncarnation int
	arrived, agentKnows                bool // whether the dispatch has reached the agent
}

// message is a query in transit, or the reply to it.
type message struct {
	from        *process // the process whose requester sent the query
	incarnation int
	query       shed.Query
	reply       *shed.Reply
}

// simulation holds the processes of one pool, the requests in service, the
// messages in transit and every version of the table.
type simulation struct {
	t             *rapid.T
	now           time.Duration
	restartWindow time.Duration
	tables        []shed.Ranks
	procs         []*process
	requests      []*startedRequest
	messages      []message
	cutLinks      map[string]bool // keys are the entry's name followed by the other member's
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: time.Hour, cutLinks: map[string]bool{}}
	sim.tables = []shed.Ranks{{"notary": 0, "crew": 1, "backlog": 2}}
	for i := range 2 * processesPerRole {
		p := &process{name: fmt.Sprint("e", i), entry: true}
		if i >= processesPerRole {
			p = &process{name: fmt.Sprint("a", i-processesPerRole)}
		}
		sim.procs = append(sim.procs, p)
		sim.restart(p)
	}
	sim.now += lease
	// Set after the first starts, which have no earlier incarnation. The requests
	// that a killed agent left running don't end before endFaults.
	sim.restartWindow = time.Hour
	return sim
}

func (sim *simulation) restart(p *process) {
	p.incarnation++
	p.frozen = false
	p.version = len(sim.tables) - 1
	p.witness = shed.NewWitness(shed.WitnessConfig{MaxLease: lease, Hold: lease, RestartWindow: sim.restartWindow}, sim.now)
	p.requester = shed.NewRequester(shed.Config{Lease: lease, Timeout: timeout, RetryDelay: timeout})
}

func (sim *simulation) names(entries bool) []string {
	var names []string
	for _, p := range sim.procs {
		if p.entry == entries {
			names = append(names, p.name)
		}
	}
	return names
}

func (sim *simulation) find(name string) *process {
	i := slices.IndexFunc(sim.procs, func(p *process) bool { return p.name == name })
	return sim.procs[i]
}

func (sim *simulation) send(p *process, queries []shed.Query) {
	for _, query := range queries {
		sim.messages = append(sim.messages, message{from: p, incarnation: p.incarnation, query: query})
	}
}

// knows reports whether a process counts a request as in service.
func (p *process) knows(k *startedRequest) bool {
	if p.entry {
		return k.entry == p && k.entryIncarnation == p.incarnation
	}
	return k.agentKnows && k.agent == p && k.agentIncarnation == p.incarnation
}

func identity(name string, incarnation int) string { return fmt.Sprint(name, "#", incarnation) }

// answer returns the reply of a process's witness to a question.
func (sim *simulation) answer(p *process, q shed.Question) shed.Reply {
	s := shed.LocalState{Version: int64(p.version), Ranks: sim.tables[p.version]}
	s.Agents, s.Entries = sim.names(false), sim.names(true)
	for _, k := range sim.requests {
		relies := p.entry && slices.Contains(q.Reached, identity(k.agent.name, k.agentIncarnation))
		if p.knows(k) && !relies {
			s.Serving = append(s.Serving, k.tier)
		}
	}
	if p.entry {
		return p.witness.AnswerAsEntry(sim.now, q, s)
	}
	reply := p.witness.AnswerAsAgent(sim.now, q, s)
	reply.Incarnation = identity(p.name, p.incarnation)
	return reply
}

// deliver hands a message to its recipient, or reports it to the requester as lost.
func (sim *simulation) deliver(i int, lost bool) {
	m := sim.messages[i]
	to := sim.find(m.query.Member)
	recipient := to
	if m.reply != nil {
		recipient = m.from
	}
	if recipient.frozen {
		return
	}
	sim.messages = slices.Delete(sim.messages, i, i+1)
	if m.from.incarnation != m.incarnation {
		return
	}
	lost = lost || sim.cutLinks[m.from.name+to.name]
	switch {
	case lost && m.from.frozen: // the requester is not told
	case lost:
		sim.send(m.from, m.from.requester.Failed(sim.now, poolName, m.query))
	case m.reply == nil:
		reply := sim.answer(to, m.query.Question)
		sim.messages = append(sim.messages, message{from: m.from, incarnation: m.incarnation, query: m.query, reply: &reply})
	default:
		sim.send(m.from, m.from.requester.Replied(sim.now, poolName, m.query, *m.reply))
	}
}

func (sim *simulation) tick(p *process) {
	unknown := func(name string) bool { return name == p.unknownMember }
	members := func(string) shed.Members {
		return shed.Members{Agents: slices.DeleteFunc(sim.names(false), unknown), Entries: slices.DeleteFunc(sim.names(true), unknown)}
	}
	sim.send(p, p.requester.Tick(sim.now, int64(p.version), members))
}

// shed reports whether an entry may shed a tier, and if so checks that nothing of
// a lower tier is in service.
func (sim *simulation) shed(p *process, tier string) bool {
	ranks := sim.tables[p.version]
	if !p.requester.MayShed(sim.now, poolName, tier, int64(p.version), ranks) {
		return false
	}
	for _, k := range sim.requests {
		if k.arrived && ranks[k.tier] > ranks[tier] {
			sim.t.Fatalf("%s sheds %s while %s runs at %s for %s", p.name, tier, k.tier, k.agent.name, k.entry.name)
		}
	}
	return true
}

// start lets an entry dispatch a request to an agent if its witness allows it.
func (sim *simulation) start(e, a *process, tier string) {
	if e.witness.MayStart(sim.now, poolName, identity(a.name, a.incarnation), tier, sim.tables[e.version]) {
		sim.requests = append(sim.requests, &startedRequest{tier: tier, entry: e, agent: a, entryIncarnation: e.incarnation, agentIncarnation: a.incarnation})
	}
}

// arrive delivers a dispatch to its agent, which may refuse it.
func (sim *simulation) arrive(i int) {
	k := sim.requests[i]
	switch {
	case k.arrived || k.agent.frozen || sim.cutLinks[k.entry.name+k.agent.name]:
	case k.agentIncarnation != k.agent.incarnation,
		!k.agent.witness.MayStart(sim.now, poolName, "", k.tier, sim.tables[k.agent.version]):
		sim.requests = slices.Delete(sim.requests, i, i+1)
	default:
		k.arrived, k.agentKnows = true, true
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, entry bool) *process {
		p := sim.procs[rapid.IntRange(0, processesPerRole-1).Draw(t, "process")]
		if !entry {
			p = sim.find("a" + p.name[1:])
		}
		if p.frozen {
			t.Skip("frozen")
		}
		return p
	}
	anyProc := func(t *rapid.T) *process { return sim.procs[rapid.IntRange(0, len(sim.procs)-1).Draw(t, "process")] }
	tier := rapid.SampledFrom(tiers)
	exchange := func(t *rapid.T) {
		for range 12 {
			if len(sim.messages) > 0 {
				sim.deliver(rapid.IntRange(0, len(sim.messages)-1).Draw(t, "message"), rapid.IntRange(0, 29).Draw(t, "lost") == 0)
			}
		}
	}
	start := func(t *rapid.T) { sim.start(pick(t, true), pick(t, false), tier.Draw(t, "tier")) }
	arrive := func(t *rapid.T) {
		if len(sim.requests) > 0 {
			sim.arrive(rapid.IntRange(0, len(sim.requests)-1).Draw(t, "request"))
		}
	}
	ask := func(t *rapid.T) {
		p := pick(t, true)
		sim.shed(p, tier.Draw(t, "tier"))
		sim.tick(p)
	}
	return map[string]func(*rapid.T){
		"exchange": exchange, "exchange 2": exchange, "exchange 3": exchange, "exchange 4": exchange,
		"start": start, "start 2": start, "arrive": arrive, "arrive 2": arrive, "ask": ask, "ask 2": ask, "ask 3": ask,
		"end all": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "keep one") && len(sim.requests) > 1 {
				sim.requests = sim.requests[:1]
				return
			}
			sim.requests = nil
		},
		"end one": func(*rapid.T) { sim.requests = sim.requests[min(1, len(sim.requests)):] },
		"restart": func(t *rapid.T) { sim.restart(anyProc(t)) },
		"freeze":  func(t *rapid.T) { anyProc(t).frozen = true },
		"thaw":    func(t *rapid.T) { anyProc(t).frozen = false },
		"cut": func(t *rapid.T) {
			sim.cutLinks[fmt.Sprint("e", rapid.IntRange(0, processesPerRole-1).Draw(t, "entry"))+anyProc(t).name] = true
		},
		"view loses a member": func(t *rapid.T) { anyProc(t).unknownMember = anyProc(t).name },
		"reconnect":           func(*rapid.T) { clear(sim.cutLinks) },
		"edit": func(t *rapid.T) {
			ranks := shed.Ranks{}
			for rank, name := range rapid.Permutation(tiers).Draw(t, "order") {
				ranks[name] = rank
			}
			sim.tables = append(sim.tables, ranks)
		},
		"table": func(t *rapid.T) { anyProc(t).version = len(sim.tables) - 1 },
		"tables": func(*rapid.T) {
			for _, p := range sim.procs {
				p.version = len(sim.tables) - 1
			}
		},
		"time": func(t *rapid.T) {
			sim.now += time.Duration(rapid.SampledFrom([]int{20, 50, 200, 400, 900, 1100}).Draw(t, "ms")) * time.Millisecond
		},
	}
}

func TestNoLowerTierRunsWhileATierIsShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.actions())
		sim.endFaults()
	})
}

// endFaults ends all faults and requests. Once the runs that killed processes may
// have left in the engine have ended, every tier can be shed.
func (sim *simulation) endFaults() {
	clear(sim.cutLinks)
	sim.requests, sim.messages = nil, nil
	for _, p := range sim.procs {
		p.frozen, p.version = false, len(sim.tables)-1
	}
	sim.now += sim.restartWindow + 2*lease
	e := sim.procs[0]
	for range 20 {
		sim.shed(e, tiers[0])
		sim.tick(e)
		for len(sim.messages) > 0 {
			sim.deliver(0, false)
		}
		if sim.shed(e, tiers[0]) && sim.shed(e, tiers[2]) {
			return
		}
		sim.now += timeout
	}
	sim.t.Fatalf("no permit after 20 rounds although nothing is in service")
}

func ExampleRequester() {
	r, first := shed.NewRequester(shed.Config{}), shed.WitnessConfig{MaxLease: lease}
	agent, entry := shed.NewWitness(first, 0), shed.NewWitness(first, 0)
	now, ranks := 2*lease, shed.Ranks{"notary": 0, "backlog": 1}
	fmt.Println(r.MayShed(now, "model", "notary", 1, ranks))
	queries := r.Tick(now, 1, func(string) shed.Members {
		return shed.Members{Agents: []string{"a1"}, Entries: []string{"e1"}}
	})
	queries = r.Replied(now, "model", queries[0], agent.AnswerAsAgent(now, queries[0].Question, shed.LocalState{Version: 1, Ranks: ranks}))
	r.Replied(now, "model", queries[0], entry.AnswerAsEntry(now, queries[0].Question, shed.LocalState{Version: 1, Ranks: ranks}))
	fmt.Println(r.MayShed(now, "model", "notary", 1, ranks), agent.MayStart(now, "model", "", "backlog", ranks))
	// Output:
	// false
	// true false
}
