package shed

import (
	"slices"
	"time"
)

// Config holds the settings of a Requester.
type Config struct {
	// Lease is how long a permit lasts, and the witnesses' promises that it rests on.
	Lease time.Duration
	// Timeout is how long a round waits for the replies of the agents, and then
	// as long again for those of the entries.
	Timeout time.Duration
	// RetryDelay is the time between a failed round and the next.
	RetryDelay time.Duration
}

// Defaults of Config.
const (
	DefaultLease      = time.Second
	DefaultTimeout    = 200 * time.Millisecond
	DefaultRetryDelay = 200 * time.Millisecond
)

// Members lists the addresses of the agents and entries of a pool.
type Members struct{ Agents, Entries []string }

// Query is a question and the member that it is to be sent to.
type Query struct {
	// Round is the number of the round; the reply is reported with it.
	Round uint64
	// Member is the address of an agent, or of an entry if Entry is set.
	Member   string
	Entry    bool
	Question Question
}

// Requester obtains permits to shed for one entry. It is not safe for concurrent use.
type Requester struct {
	cfg    Config
	rounds uint64 // number of rounds started
	pools  map[string]*pool
}

// pool holds the permit and the round in progress of one pool.
type pool struct {
	permit     permit
	round      *round        // nil when none is in progress
	wantedTier string        // tier for which a permit is wanted; empty = none
	retryAt    time.Duration // no round starts earlier
}

// permit allows the entry to shed requests of a tier and of all lower ones, under
// one version of the table.
type permit struct {
	tier    string
	version int64
	until   time.Duration
}

// round is one attempt to obtain a permit. It asks the agents first, then the entries.
type round struct {
	number         uint64
	tier           string
	version        int64
	started        time.Duration
	phaseEnd       time.Duration // when unanswered queries of the present phase time out
	agents         map[string]answerState
	entries        map[string]answerState
	reached        []string // incarnations of the agents that answered clear
	agentRestarted bool     // an agent may not know every request in service there
	entryRestarted bool     // an entry may not know every request of its callers in service
	askingEntries  bool     // the phase of the entries has begun
}

// answerState tells how a member answered in a round.
type answerState int

const (
	unanswered answerState = iota
	answeredClear
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
	if cfg.RetryDelay == 0 {
		cfg.RetryDelay = DefaultRetryDelay
	}
	return &Requester{cfg: cfg, pools: map[string]*pool{}}
}

// MayShed reports whether requests of a tier may be shed from a pool now, under
// the table in force. If not, the next Tick may start a round for a permit.
func (r *Requester) MayShed(now time.Duration, poolName, tier string, version int64, ranks Ranks) bool {
	p := r.pools[poolName]
	if p == nil {
		p = &pool{}
		r.pools[poolName] = p
	}
	held := p.permit
	if held.tier != "" && now < held.until && held.version == version && !ranks.mayBeLower(held.tier, tier) {
		return true
	}
	if p.wantedTier == "" || ranks.mayBeLower(p.wantedTier, tier) {
		p.wantedTier = tier // a permit for a more urgent tier covers the lower ones too
	}
	return false
}

// Tick starts a round in each pool for which a permit is wanted, and ends the
// phases that have timed out. It returns the queries to send.
func (r *Requester) Tick(now time.Duration, version int64, members func(pool string) Members) []Query {
	var queries []Query
	names := make([]string, 0, len(r.pools))
	for poolName := range r.pools {
		names = append(names, poolName)
	}
	slices.Sort(names)
	for _, poolName := range names {
		p := r.pools[poolName]
		switch {
		case p.round == nil && p.wantedTier != "" && now >= p.retryAt:
			queries = append(queries, r.begin(now, poolName, p, version, members(poolName))...)
		case p.round != nil && now >= p.round.phaseEnd:
			queries = append(queries, r.phaseTimedOut(now, poolName, p)...)
		}
	}
	return queries
}

// begin starts a round for the wanted tier.
func (r *Requester) begin(now time.Duration, poolName string, p *pool, version int64, m Members) []Query {
	r.rounds++
	p.round = &round{
		number: r.rounds, tier: p.wantedTier, version: version, started: now, phaseEnd: now + r.cfg.Timeout,
		agents: map[string]answerState{}, entries: map[string]answerState{},
	}
	p.wantedTier = ""
	for _, id := range m.Entries {
		p.round.entries[id] = unanswered
	}
	queries := r.askAgents(poolName, p.round, m.Agents)
	if len(queries) == 0 {
		return r.askEntries(now, poolName, p)
	}
	return queries
}

// askAgents adds agents to the round and returns the queries to the new ones.
func (r *Requester) askAgents(poolName string, rd *round, agents []string) []Query {
	var queries []Query
	for _, id := range agents {
		if _, known := rd.agents[id]; known {
			continue
		}
		rd.agents[id] = unanswered
		queries = append(queries, Query{Round: rd.number, Member: id})
	}
	for i := range queries {
		queries[i].Question = r.newQuestion(poolName, rd)
	}
	return queries
}

func (r *Requester) newQuestion(poolName string, rd *round) Question {
	return Question{
		Pool: poolName, Tier: rd.tier, Version: rd.version, Lease: r.cfg.Lease,
		Agents: sortedNames(rd.agents), Entries: sortedNames(rd.entries),
	}
}

func sortedNames(members map[string]answerState) []string {
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// askEntries opens the second phase, in which every agent has answered or counts
// as unreachable. It returns the queries to the entries that have not answered.
func (r *Requester) askEntries(now time.Duration, poolName string, p *pool) []Query {
	rd := p.round
	rd.askingEntries = true
	rd.phaseEnd = now + r.cfg.Timeout
	var queries []Query
	for _, id := range sortedNames(rd.entries) {
		if rd.entries[id] != unanswered {
			continue
		}
		q := r.newQuestion(poolName, rd)
		q.Reached = slices.Clone(rd.reached)
		queries = append(queries, Query{Round: rd.number, Member: id, Entry: true, Question: q})
	}
	if len(queries) == 0 {
		r.conclude(now, p)
	}
	return queries
}

// phaseTimedOut ends a phase; members that have not answered count as unreachable.
func (r *Requester) phaseTimedOut(now time.Duration, poolName string, p *pool) []Query {
	rd := p.round
	if rd.askingEntries {
		markUnreachable(rd.entries)
		r.conclude(now, p)
		return nil
	}
	markUnreachable(rd.agents)
	return r.askEntries(now, poolName, p)
}

func markUnreachable(members map[string]answerState) {
	for id, state := range members {
		if state == unanswered {
			members[id] = unreachable
		}
	}
}

// Replied handles a member's reply. It returns the queries to send next.
func (r *Requester) Replied(now time.Duration, poolName string, query Query, reply Reply) []Query {
	rd := r.waitingRound(poolName, query)
	if rd == nil {
		return nil
	}
	p := r.pools[poolName]
	if !reply.Clear || len(reply.UnknownAgents) > 0 && rd.askingEntries {
		r.failRound(now, p) // an agent that only an entry knows is asked in the next round
		return nil
	}
	r.answerStates(rd, query)[query.Member] = answeredClear
	if !query.Entry {
		rd.reached = append(rd.reached, reply.Incarnation)
		rd.agentRestarted = rd.agentRestarted || reply.RecentlyRestarted
	} else {
		rd.entryRestarted = rd.entryRestarted || reply.RecentlyRestarted
	}
	for _, id := range reply.UnknownEntries {
		if _, known := rd.entries[id]; !known {
			rd.entries[id] = unanswered
		}
	}
	queries := r.askAgents(poolName, rd, reply.UnknownAgents)
	if rd.askingEntries && len(reply.UnknownEntries) > 0 {
		return append(queries, r.askEntries(now, poolName, p)...)
	}
	return append(queries, r.advance(now, poolName, p)...)
}

// Failed records that a member can't be reached. It returns the queries to send next.
func (r *Requester) Failed(now time.Duration, poolName string, query Query) []Query {
	rd := r.waitingRound(poolName, query)
	if rd == nil {
		return nil
	}
	r.answerStates(rd, query)[query.Member] = unreachable
	return r.advance(now, poolName, r.pools[poolName])
}

// waitingRound returns the round that still waits for the answer to a query, or nil.
func (r *Requester) waitingRound(poolName string, query Query) *round {
	p := r.pools[poolName]
	if p == nil || p.round == nil || p.round.number != query.Round {
		return nil
	}
	if r.answerStates(p.round, query)[query.Member] != unanswered {
		return nil
	}
	return p.round
}

// answerStates returns the answers of the members of the queried kind.
func (r *Requester) answerStates(rd *round, query Query) map[string]answerState {
	if query.Entry {
		return rd.entries
	}
	return rd.agents
}

// advance ends a phase in which every member has answered or is unreachable.
func (r *Requester) advance(now time.Duration, poolName string, p *pool) []Query {
	rd := p.round
	switch {
	case !rd.askingEntries && !anyInState(rd.agents, unanswered):
		return r.askEntries(now, poolName, p)
	case rd.askingEntries && !anyInState(rd.entries, unanswered):
		r.conclude(now, p)
	}
	return nil
}

func anyInState(members map[string]answerState, state answerState) bool {
	for _, s := range members {
		if s == state {
			return true
		}
	}
	return false
}

// conclude grants the permit unless there may be a run that neither its agent nor
// its entry knows of.
func (r *Requester) conclude(now time.Duration, p *pool) {
	rd := p.round
	unsureEntry := rd.entryRestarted || anyInState(rd.entries, unreachable)
	unsureAgent := rd.agentRestarted || anyInState(rd.agents, unreachable)
	if unsureEntry && unsureAgent {
		r.failRound(now, p)
		return
	}
	p.permit = permit{tier: rd.tier, version: rd.version, until: rd.started + r.cfg.Lease}
	p.round = nil
}

// failRound ends a round without a permit and delays the next one.
func (r *Requester) failRound(now time.Duration, p *pool) {
	p.round = nil
	p.retryAt = now + r.cfg.RetryDelay
}
