package bench

// setup holds what a policy is started with.
type setup struct {
	deployment Deployment
	pool       *pool
	scale      float64
	seed       int64
}

// runningPolicy is a started policy, which routes the requests of one trial.
type runningPolicy interface {
	// urls returns the base URLs that callers send requests to.
	urls() []string
	// killEntry kills the first entry, or the first server of a baseline.
	killEntry()
	// failDomain cuts off what the policy itself runs in a failure domain; the engines
	// there fail separately.
	failDomain(domain string)
	// close stops everything that the policy started.
	close()
}

// Policy is a way to route requests: the full system, an ablation of it, or a baseline.
type Policy struct {
	Name  string
	start func(setup) (runningPolicy, error)
}

// Baselines returns the simple policies that the full system is compared with.
func Baselines() []Policy {
	return []Policy{
		baseline("round-robin", roundRobin, false),
		baseline("random", randomChoice, false),
		baseline("least-loaded", leastLoaded, false),
		baseline("two-choices", twoChoices, false),
		baseline("fcfs-agent", twoChoices, true),
	}
}

func baseline(name string, choose chooser, queued bool) Policy {
	return Policy{Name: name, start: func(s setup) (runningPolicy, error) {
		return newBaselineSystem(s, choose, queued)
	}}
}

// baselineSystem runs one HTTP server for each entry of the deployment. They share
// one router and its request counts, which separate processes could not.
type baselineSystem struct {
	router  *router
	servers []*killableServer
}

func newBaselineSystem(s setup, choose chooser, queued bool) (runningPolicy, error) {
	b := &baselineSystem{router: newRouter(s.pool, choose, queued, s.seed)}
	for range s.deployment.Entries {
		server, err := newKillableServer(b.router)
		if err != nil {
			b.close()
			return nil, err
		}
		b.servers = append(b.servers, server)
	}
	return b, nil
}

func (b *baselineSystem) urls() []string {
	var urls []string
	for _, s := range b.servers {
		urls = append(urls, "http://"+s.address())
	}
	return urls
}

func (b *baselineSystem) killEntry() {
	b.servers[0].kill()
}

func (b *baselineSystem) failDomain(string) {}

func (b *baselineSystem) close() {
	for _, s := range b.servers {
		s.kill()
	}
	b.router.client.CloseIdleConnections()
}
