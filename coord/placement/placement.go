// Package placement chooses the agents at which an entry reserves places for a request.
// Filters drop agents that must not or cannot take the request. A score estimates, in
// seconds, how late the answer would begin and end at each remaining agent, and the
// agents with the lowest scores are picked. The state of an agent is known from the
// replies that it sends anyway, and a reported backlog counts less with its age.
package placement

import (
	"math/rand"
	"slices"
	"sort"
	"time"

	"primrosespoke.dev/coord/membership"
)

// Status is what an agent last reported about itself.
type Status struct {
	// Incarnation is the incarnation of the agent.
	Incarnation string
	// Draining agents grant nothing.
	Draining bool
	// Running is the number of runs in progress, and Places how many the agent can carry;
	// 0 places = unknown.
	Running int
	Places  int
	// Backlog is the time until a new reservation is granted.
	Backlog time.Duration
	// TokensPerSecond and PrefillPerSecond are the speeds of one run, in tokens, that the
	// agent has learned; 0 = unknown.
	TokensPerSecond  float64
	PrefillPerSecond float64
}

// Query describes which agents are wanted for a request.
type Query struct {
	// Pool names the model or service behind the agents.
	Pool string
	// Key routes requests with the same idempotency key to the same agent; empty = none.
	Key string
	// Prefixes are hashes of prefixes of the prompt, the shortest first.
	Prefixes []uint64
	// PromptTokens and MaxTokens are the expected work, in tokens.
	PromptTokens int
	MaxTokens    int
	// Exclude lists addresses that must not be picked.
	Exclude []string
	// Count is how many agents are wanted.
	Count int
}

// Config holds the settings of a Placement.
type Config struct {
	// Self is the instance ID of the entry, which determines its subset of a large pool.
	Self string
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// SubsetSize bounds how many agents of a pool the entry considers at a time for a
	// request without a key.
	SubsetSize int
	// StatusHalfLife is the age at which a reported backlog counts half.
	StatusHalfLife time.Duration
	// DomainCost is added to the score of an agent in another failure domain.
	DomainCost time.Duration
	// DenialBackoff is how long an agent is not picked after a denial that named no time.
	DenialBackoff time.Duration
	// MaxPrefixes bounds how many prefix hashes are remembered.
	MaxPrefixes int
	// PrefixAffinity turns on the preference for agents that computed a prefix of the
	// prompt.
	PrefixAffinity bool
}

// agentState is what is known of one agent.
type agentState struct {
	status       Status
	reportedAt   time.Duration // time of status
	hasStatus    bool
	backoffUntil time.Duration // not picked before
	reserved     int           // waiting reservations of this entry
}

// Placement picks agents for one entry. It is used by one goroutine.
type Placement struct {
	config   Config
	rng      *rand.Rand
	view     membership.View
	pools    map[string][]membership.Instance // the agents of each pool in order, cached for the view
	agents   map[string]*agentState           // by address
	prefixes *prefixIndex
}

// New returns a placement that knows no agents yet.
func New(config Config, rng *rand.Rand) *Placement {
	return &Placement{
		config:   config,
		rng:      rng,
		pools:    map[string][]membership.Instance{},
		agents:   map[string]*agentState{},
		prefixes: newPrefixIndex(config.MaxPrefixes),
	}
}

// SetView replaces the view of the instance list and forgets the agents that are no
// longer listed.
func (p *Placement) SetView(view membership.View) {
	if p.view.Same(view) {
		return
	}
	if slices.Equal(view.All(), p.view.All()) {
		return
	}
	p.view = view
	p.pools = map[string][]membership.Instance{}
	listed := map[string]bool{}
	for _, i := range view.All() {
		listed[i.Address] = true
	}
	for address := range p.agents {
		if !listed[address] {
			delete(p.agents, address)
		}
	}
}

// UpdateStatus stores what an agent reported about itself.
func (p *Placement) UpdateStatus(now time.Duration, agent string, status Status) {
	a := p.agent(agent)
	a.status = status
	a.reportedAt = now
	a.hasStatus = true
}

// BackOff excludes an agent from picks for a time; 0 = Config.DenialBackoff.
func (p *Placement) BackOff(now time.Duration, agent string, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = p.config.DenialBackoff
	}
	p.agent(agent).backoffUntil = now + retryAfter
}

// AddReserved counts a reservation that was placed (1) or ended (-1) at an agent.
func (p *Placement) AddReserved(agent string, change int) {
	a := p.agent(agent)
	a.reserved = max(0, a.reserved+change)
}

// RecordPrefixes remembers that an agent computed the prefixes of a prompt.
func (p *Placement) RecordPrefixes(agent string, prefixes []uint64) {
	if p.config.PrefixAffinity {
		p.prefixes.add(agent, prefixes)
	}
}

// Status returns the last report of an agent, and false if there is none.
func (p *Placement) Status(agent string) (Status, bool) {
	a, ok := p.agents[agent]
	if !ok || !a.hasStatus {
		return Status{}, false
	}
	return a.status, true
}

// agent returns the state of an agent, creating it if it is unknown.
func (p *Placement) agent(address string) *agentState {
	a, ok := p.agents[address]
	if !ok {
		a = &agentState{}
		p.agents[address] = a
	}
	return a
}

// Pick returns up to query.Count addresses, best first, or fewer when fewer agents are
// eligible. With a key it returns only the first agent in the order of that key.
func (p *Placement) Pick(now time.Duration, query Query) []string {
	candidates := p.filter(now, query)
	if query.Key != "" {
		return addresses(membership.Rendezvous(query.Key, candidates), 1)
	}
	scores := make(map[string]float64, len(candidates))
	for _, c := range candidates {
		scores[c.Address] = p.score(now, c, query)
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		return scores[candidates[i].Address] < scores[candidates[j].Address]
	})
	return addresses(candidates, query.Count)
}

// addresses returns the addresses of the first n instances.
func addresses(instances []membership.Instance, n int) []string {
	n = min(n, len(instances))
	out := make([]string, 0, n)
	for _, i := range instances[:n] {
		out = append(out, i.Address)
	}
	return out
}
