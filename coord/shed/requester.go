package shed

import (
	"slices"
	"time"
)

// Config holds the settings of a Requester.
type Config struct {
	// Lease is how long a permit and the promises behind it last.
	Lease time.Duration
	// Timeout is how long a round waits for the agents, and then for the entries.
	Timeout time.Duration
	// Pause is the time between a round that failed and the next.
	Pause time.Duration
}

// Defaults of Config.
const (
	DefaultLease   = time.Second
	DefaultTimeout = 200 * time.Millisecond
	DefaultPause   = 200 * time.Millisecond
)

// Members are those of a pool.
type Members struct{ Agents, Entries []string }

// Query is a question to be sent to one member.
type Query struct {
	// Round names the round; it comes back with the reply.
	Round uint64
	// Member is the address of an agent or an entry, and Entry tells which.
	Member   string
	Entry    bool
	Question Question
}

// Requester obtains permits for one entry. It is not safe for concurrent use.
type Requester struct {
	cfg    Config
	rounds uint64
	pools  map[string]*pool
}

// pool is what a Requester knows of one pool.
type pool struct {
	permit permit
	round  *round
	wanted string // the tier that a permit is wanted for; empty = none
	pause  time.Duration
}

// permit allows to shed a tier and all lower ones.
type permit struct {
	tier    string
	version int64
	until   time.Duration
}

// round is a round in progress.
type round struct {
	number  uint64
	tier    string
	version int64
	started time.Duration
	limit   time.Duration // of the present phase
	agents  map[string]word
	entries map[string]word
	reached []string // incarnations of the agents that said clear
	fresh   bool     // an agent may not know all that is in service with it
	renewed bool     // an entry may not know all that its callers have in service
	asking  bool     // entries are being asked
}

// word is a member's answer.
type word int

const (
	unanswered word = iota
	saidClear
	unreachable
)

// NewRequester returns a requester without permits.
func NewRequester(cfg Config) *Requester {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Pause == 0 {
		cfg.Pause = DefaultPause
	}
	return &Requester{cfg: cfg, pools: map[string]*pool{}}
}

// MayShed tells whether a tier may be shed from a pool now, under the table in
// force. Where it may not, a permit is wanted from then on.
func (r *Requester) MayShed(now time.Duration, name, tier string, version int64, ranks Ranks) bool {
	p := r.pools[name]
	if p == nil {
		p = &pool{}
		r.pools[name] = p
	}
	held := p.permit
	if held.tier != "" && now < held.until && held.version == version && !ranks.lower(held.tier, tier) {
		return true
	}
	if p.wanted == "" || ranks.lower(p.wanted, tier) {
		p.wanted = tier // a permit for a more urgent tier serves the lower ones too
	}
	return false
}

// Tick starts a round in each pool that wants a permit, and moves rounds on
// whose time is up. It returns what to ask.
func (r *Requester) Tick(now time.Duration, version int64, members func(pool string) Members) []Query {
	var asks []Query
	names := make([]string, 0, len(r.pools))
	for name := range r.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p := r.pools[name]
		switch {
		case p.round == nil && p.wanted != "" && now >= p.pause:
			asks = append(asks, r.begin(now, name, p, version, members(name))...)
		case p.round != nil && now >= p.round.limit:
			asks = append(asks, r.timeUp(now, name, p)...)
		}
	}
	return asks
}

func (r *Requester) begin(now time.Duration, name string, p *pool, version int64, m Members) []Query {
	r.rounds++
	p.round = &round{
		number: r.rounds, tier: p.wanted, version: version, started: now, limit: now + r.cfg.Timeout,
		agents: map[string]word{}, entries: map[string]word{},
	}
	p.wanted = ""
	for _, id := range m.Entries {
		p.round.entries[id] = unanswered
	}
	asks := r.askAgents(name, p.round, m.Agents)
	if len(asks) == 0 {
		return r.askEntries(now, name, p)
	}
	return asks
}

// askAgents adds agents to the round.
func (r *Requester) askAgents(name string, d *round, agents []string) []Query {
	var asks []Query
	for _, id := range agents {
		if _, known := d.agents[id]; known {
			continue
		}
		d.agents[id] = unanswered
		asks = append(asks, Query{Round: d.number, Member: id})
	}
	for i := range asks {
		asks[i].Question = r.question(name, d)
	}
	return asks
}

func (r *Requester) question(name string, d *round) Question {
	return Question{
		Pool: name, Tier: d.tier, Version: d.version, Lease: r.cfg.Lease,
		Agents: sorted(d.agents), Entries: sorted(d.entries),
	}
}

func sorted(members map[string]word) []string {
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// askEntries opens the second phase: all agents have answered or are out of reach.
func (r *Requester) askEntries(now time.Duration, name string, p *pool) []Query {
	d := p.round
	d.asking = true
	d.limit = now + r.cfg.Timeout
	var asks []Query
	for _, id := range sorted(d.entries) {
		if d.entries[id] != unanswered {
			continue
		}
		q := r.question(name, d)
		q.Reached = slices.Clone(d.reached)
		asks = append(asks, Query{Round: d.number, Member: id, Entry: true, Question: q})
	}
	if len(asks) == 0 {
		r.conclude(now, p)
	}
	return asks
}

// timeUp counts those that have not answered as out of reach.
func (r *Requester) timeUp(now time.Duration, name string, p *pool) []Query {
	d := p.round
	if d.asking {
		giveUp(d.entries)
		r.conclude(now, p)
		return nil
	}
	giveUp(d.agents)
	return r.askEntries(now, name, p)
}

func giveUp(members map[string]word) {
	for id, said := range members {
		if said == unanswered {
			members[id] = unreachable
		}
	}
}

// Replied takes a member's reply. It returns what to ask next.
func (r *Requester) Replied(now time.Duration, name string, asked Query, reply Reply) []Query {
	d := r.current(name, asked)
	if d == nil {
		return nil
	}
	p := r.pools[name]
	if !reply.Clear || len(reply.UnknownAgents) > 0 && d.asking {
		r.fail(now, p) // an agent found so late is asked in the next round
		return nil
	}
	r.members(d, asked)[asked.Member] = saidClear
	if !asked.Entry {
		d.reached = append(d.reached, reply.Incarnation)
		d.fresh = d.fresh || reply.RecentlyRestarted
	} else {
		d.renewed = d.renewed || reply.RecentlyRestarted
	}
	for _, id := range reply.UnknownEntries {
		if _, known := d.entries[id]; !known {
			d.entries[id] = unanswered
		}
	}
	asks := r.askAgents(name, d, reply.UnknownAgents)
	if d.asking && len(reply.UnknownEntries) > 0 {
		return append(asks, r.askEntries(now, name, p)...)
	}
	return append(asks, r.advance(now, name, p)...)
}

// Failed notes that a member can't be reached.
func (r *Requester) Failed(now time.Duration, name string, asked Query) []Query {
	d := r.current(name, asked)
	if d == nil {
		return nil
	}
	r.members(d, asked)[asked.Member] = unreachable
	return r.advance(now, name, r.pools[name])
}

// current returns the round that an ask belongs to, if it still waits for it.
func (r *Requester) current(name string, asked Query) *round {
	p := r.pools[name]
	if p == nil || p.round == nil || p.round.number != asked.Round {
		return nil
	}
	if r.members(p.round, asked)[asked.Member] != unanswered {
		return nil
	}
	return p.round
}

func (r *Requester) members(d *round, asked Query) map[string]word {
	if asked.Entry {
		return d.entries
	}
	return d.agents
}

func (r *Requester) advance(now time.Duration, name string, p *pool) []Query {
	d := p.round
	switch {
	case !d.asking && !has(d.agents, unanswered):
		return r.askEntries(now, name, p)
	case d.asking && !has(d.entries, unanswered):
		r.conclude(now, p)
	}
	return nil
}

func has(members map[string]word, said word) bool {
	for _, w := range members {
		if w == said {
			return true
		}
	}
	return false
}

// conclude gives the permit unless a run may be known neither to its agent nor to its entry.
func (r *Requester) conclude(now time.Duration, p *pool) {
	d := p.round
	unsureEntry := d.renewed || has(d.entries, unreachable)
	unsureAgent := d.fresh || has(d.agents, unreachable)
	if unsureEntry && unsureAgent {
		r.fail(now, p)
		return
	}
	p.permit = permit{tier: d.tier, version: d.version, until: d.started + r.cfg.Lease}
	p.round = nil
}

func (r *Requester) fail(now time.Duration, p *pool) {
	p.round = nil
	p.pause = now + r.cfg.Pause
}
