package bench

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/agent"
	"primrosespoke.dev/daemon/entry"
	"primrosespoke.dev/daemon/internal/relay"
)

const (
	policyOurs    = "ours"
	loopback      = "127.0.0.1:0"
	grantLease    = time.Second
	callerGrace   = 2 * time.Second
	retryAfter    = 2 * time.Second
	defaultPlaces = 0 // the agent learns how many runs the engine takes
)

// variant changes the configuration of the system, to switch one mechanism off or
// to fix one number. A nil function changes nothing.
type variant struct {
	entry func(*entry.Config)
	agent func(*agent.Config)
	table func(*table.Endpoint, []table.Account)
}

// FullSystem returns the policy that runs this system unchanged, with real entries
// and agents in this process.
func FullSystem() Policy {
	return variantPolicy(policyOurs, variant{})
}

// Ablations returns variants of the system. Each has one mechanism switched off or
// one number changed.
func Ablations() []Policy {
	return []Policy{
		withReservations(1),
		withReservations(2),
		variantPolicy("no-affinity", variant{entry: func(c *entry.Config) { c.NoAffinity = true }}),
		variantPolicy("no-preemption", variant{agent: func(c *agent.Config) { c.MaxSuspended = -1 }}),
		variantPolicy("even-weights", variant{table: evenWeights}),
		withPlaces(4),
		withPlaces(8),
		withPlaces(maxBatch),
	}
}

// AllPolicies returns every policy that the command can choose by name.
func AllPolicies() []Policy {
	all := append([]Policy{FullSystem()}, Ablations()...)
	return append(all, Baselines()...)
}

func withReservations(n int) Policy {
	name := map[int]string{1: "reservations-1", 2: "reservations-2"}[n]
	return variantPolicy(name, variant{entry: func(c *entry.Config) { c.Reservations = n }})
}

// withPlaces fixes how many runs an engine gets at a time instead of learning it.
func withPlaces(n int) Policy {
	name := map[int]string{4: "places-4", 8: "places-8", maxBatch: "places-16"}[n]
	return variantPolicy(name, variant{table: func(e *table.Endpoint, _ []table.Account) { e.Concurrency = n }})
}

func evenWeights(_ *table.Endpoint, accounts []table.Account) {
	for i := range accounts {
		accounts[i].Weight = 1
	}
}

func variantPolicy(name string, v variant) Policy {
	return Policy{Name: name, start: func(s setup) (runningPolicy, error) { return newCluster(s, v) }}
}

// killableAgent holds what is needed to stop an agent, or to cut its connections as
// the failure of its domain does.
type killableAgent struct {
	domain   string
	listener *trackingListener
	stop     context.CancelFunc
}

// cluster runs the entries and agents of one trial in this process.
type cluster struct {
	setup       setup
	table       *table.Table
	mu          sync.Mutex
	view        membership.View
	agents      []*killableAgent
	entries     []*entry.Entry
	relays      []*relay.Relay
	stopEntries []context.CancelFunc
	running     sync.WaitGroup
}

func newCluster(s setup, v variant) (runningPolicy, error) {
	c := &cluster{setup: s, table: s.table(v)}
	for _, e := range s.pool.engines {
		if err := c.addAgent(e, v); err != nil {
			c.close()
			return nil, err
		}
	}
	for i := range s.deployment.Entries {
		if err := c.addEntry(i, v); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (s setup) table(v variant) *table.Table {
	t := s.deployment.Table(s.scale)
	endpoint := t.Endpoints[s.deployment.Mix.Model]
	endpoint.Concurrency = defaultPlaces
	var accounts []table.Account
	for _, name := range sortedKeys(t.Accounts) {
		accounts = append(accounts, t.Accounts[name])
	}
	if v.table != nil {
		v.table(&endpoint, accounts)
	}
	var tiers []table.Tier
	for _, name := range sortedKeys(t.Tiers) {
		tiers = append(tiers, t.Tiers[name])
	}
	return table.New(t.Version, tiers, accounts, []table.Endpoint{endpoint})
}

func (s setup) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.scale)
}

func (c *cluster) members() membership.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *cluster) addMember(i membership.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = membership.NewView(append(append([]membership.Instance(nil), c.view.All()...), i))
}

func (c *cluster) addAgent(e *poolEngine, v variant) error {
	l, err := newTrackingListener()
	if err != nil {
		return err
	}
	cfg := agent.Config{
		ID:            e.spec.ID,
		Address:       l.Addr().String(),
		Listener:      l,
		FailureDomain: e.spec.FailureDomain,
		Pool:          c.setup.deployment.Mix.Model,
		Kind:          table.EndpointEngine,
		EndpointURL:   e.url(),
		Table:         func() *table.Table { return c.table },
		Members:       c.members,
		Log:           zerolog.Nop(),
		GrantLease:    c.setup.scaled(grantLease),
		CallerGrace:   c.setup.scaled(callerGrace),
	}
	if v.agent != nil {
		v.agent(&cfg)
	}
	a, err := agent.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	c.agents = append(c.agents, &killableAgent{domain: e.spec.FailureDomain, listener: l, stop: stop})
	c.start(func() { _ = a.Run(ctx) })
	c.addMember(membership.Instance{
		ID: cfg.ID, Role: membership.RoleAgent, Pool: cfg.Pool, Address: cfg.Address,
		FailureDomain: cfg.FailureDomain, State: membership.StateLive,
	})
	return nil
}

func (c *cluster) addEntry(i int, v variant) error {
	domains := c.setup.deployment.Domains
	cfg := entry.Config{
		ID:              "entry-" + string(rune('a'+i)),
		CallerAddress:   loopback,
		InternalAddress: loopback,
		FailureDomain:   domains[i%len(domains)],
		Table:           func() *table.Table { return c.table },
		Members:         c.members,
		Log:             zerolog.Nop(),
		Seed:            c.setup.seed + int64(i),
		RetryAfter:      c.setup.scaled(retryAfter),
		DrainTimeout:    time.Second,
	}
	if v.entry != nil {
		v.entry(&cfg)
	}
	e, err := entry.New(cfg)
	if err != nil {
		return err
	}
	callerRelay, err := relay.New(e.CallerAddress())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	c.entries = append(c.entries, e)
	c.relays = append(c.relays, callerRelay)
	c.stopEntries = append(c.stopEntries, stop)
	c.start(func() { _ = e.Run(ctx) })
	c.addMember(membership.Instance{
		ID: cfg.ID, Role: membership.RoleEntry, Address: e.InternalAddress(),
		FailureDomain: cfg.FailureDomain, State: membership.StateLive,
	})
	return nil
}

// start runs a function in a goroutine that close waits for.
func (c *cluster) start(run func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		run()
	}()
}

func (c *cluster) urls() []string {
	var urls []string
	for _, r := range c.relays {
		urls = append(urls, "http://"+r.Address())
	}
	return urls
}

// killEntry closes all connections between the first entry and its callers. This ends
// its requests as a crash of its process would.
func (c *cluster) killEntry() {
	c.relays[0].Refuse()
	c.stopEntries[0]()
}

func (c *cluster) failDomain(domain string) {
	for _, a := range c.agents {
		if a.domain == domain {
			a.listener.kill()
		}
	}
}

func (c *cluster) close() {
	for _, r := range c.relays {
		r.Close()
	}
	for _, stop := range c.stopEntries {
		stop()
	}
	for _, a := range c.agents {
		a.stop()
		a.listener.kill()
	}
	c.running.Wait()
}
