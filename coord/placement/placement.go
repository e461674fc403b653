// Package placement chooses the agents at which a request reserves places.
// Filters drop agents that must not or cannot take it, scorers estimate in
// seconds how late its answer would begin and end there, and a picker takes the
// best few. What is known of an agent comes from the replies that it gives
// anyway, and fades with age.
package placement

import (
	"math/rand"
	"slices"
	"sort"
	"time"

	"primrosespoke.dev/coord/membership"
)

// Status is what an agent last said of itself.
type Status struct {
	// Incarnation is the agent's.
	Incarnation string
	// Draining agents grant nothing.
	Draining bool
	// Running and Places are the runs it carries and can carry; 0 places = not known.
	Running int
	Places  int
	// Backlog is the time until a new reservation is granted.
	Backlog time.Duration
	// TokensPerSecond and PrefillPerSecond are the learned speeds of one run; 0 = not known.
	TokensPerSecond  float64
	PrefillPerSecond float64
}

// Query is what a request wants.
type Query struct {
	// Pool is the endpoint's name.
	Pool string
	// Key routes requests with the same idempotency key to the same agent; empty = none.
	Key string
	// Prefixes are hashes of ever longer prefixes of the prompt.
	Prefixes []uint64
	// PromptTokens and MaxTokens are the expected work.
	PromptTokens int
	MaxTokens    int
	// Exclude lists addresses that must not be picked.
	Exclude []string
	// Count is how many agents are wanted.
	Count int
}

// Config of a Placement.
type Config struct {
	// Self is the entry's instance ID; each entry talks to its own subset of a large pool.
	Self string
	// FailureDomain is the entry's.
	FailureDomain string
	// SubsetSize bounds the agents of a pool that this entry talks to.
	SubsetSize int
	// StatusHalfLife is the time after which a status counts for half.
	StatusHalfLife time.Duration
	// DomainCost is the added cost of an agent in another failure domain.
	DomainCost time.Duration
	// DenialBackoff is how long an agent that denied without naming a time is left out.
	DenialBackoff time.Duration
	// MaxPrefixes bounds the prefix hashes remembered.
	MaxPrefixes int
	// PrefixAffinity turns prefix affinity on.
	PrefixAffinity bool
}

// agentState is what is known of one agent.
type agentState struct {
	status   Status
	learned  time.Duration
	known    bool
	leftOut  time.Duration // not picked before
	reserved int           // own reservations that wait there
}

// Placement is the picker of one entry. It is used by one goroutine.
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

// SetView takes a new view of the instance list, and forgets agents that left it.
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

// UpdateStatus takes an agent's word on itself.
func (p *Placement) UpdateStatus(now time.Duration, agent string, status Status) {
	a := p.agent(agent)
	a.status = status
	a.learned = now
	a.known = true
}

// BackOff leaves an agent out for a time; 0 = the configured time.
func (p *Placement) BackOff(now time.Duration, agent string, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = p.config.DenialBackoff
	}
	p.agent(agent).leftOut = now + retryAfter
}

// AddReserved counts a reservation placed at an agent (1) or ended (-1).
func (p *Placement) AddReserved(agent string, change int) {
	a := p.agent(agent)
	a.reserved = max(0, a.reserved+change)
}

// RecordPrefixes remembers which agent computed the prefixes of a prompt.
func (p *Placement) RecordPrefixes(agent string, prefixes []uint64) {
	if p.config.PrefixAffinity {
		p.prefixes.add(agent, prefixes)
	}
}

// Status returns what is known of an agent.
func (p *Placement) Status(agent string) (Status, bool) {
	a, ok := p.agents[agent]
	if !ok || !a.known {
		return Status{}, false
	}
	return a.status, true
}

func (p *Placement) agent(address string) *agentState {
	a, ok := p.agents[address]
	if !ok {
		a = &agentState{}
		p.agents[address] = a
	}
	return a
}

// Pick returns up to ask.N addresses, best first. Fewer are returned when the
// filters leave fewer.
func (p *Placement) Pick(now time.Duration, ask Query) []string {
	candidates := p.filter(now, ask)
	if ask.Key != "" {
		return addresses(membership.Rendezvous(ask.Key, candidates), 1)
	}
	scores := make(map[string]float64, len(candidates))
	for _, c := range candidates {
		scores[c.Address] = p.score(now, c, ask)
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		return scores[candidates[i].Address] < scores[candidates[j].Address]
	})
	return addresses(candidates, ask.Count)
}

func addresses(instances []membership.Instance, n int) []string {
	n = min(n, len(instances))
	out := make([]string, 0, n)
	for _, i := range instances[:n] {
		out = append(out, i.Address)
	}
	return out
}
