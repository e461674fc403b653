package bench

import (
	"time"

	"primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/load"
)

const (
	slowFactor          = 5   // times slower
	burstFactor         = 3.0 // times the pool's capacity
	burstDivisor        = 6   // the burst lasts duration/burstDivisor
	burstDurationFactor = 2   // times the duration of the other cases
	afterBurstFactor    = 0.5 // times the pool's capacity
	stormPatience       = time.Second
	stormRetries        = 4  // of each request
	failoverRetries     = 2  // of each request
	floodShareFactor    = 20 // times the account's share
)

// Case is one load pattern, with or without a fault, that all policies are measured under.
type Case struct {
	Name string
	// Load returns the request rate as a part of the pool's capacity.
	Load func(at, duration time.Duration) float64
	// Mix changes the mix of requests and the callers' behaviour; may be nil.
	Mix func(*load.Mix)
	// LoadLag replaces the lag of load reports; 0 = loadLag.
	LoadLag time.Duration
	// FaultAt is when the fault is injected, as a part of the duration.
	FaultAt float64
	// Fault injects a fault, once; may be nil.
	Fault func(*runningTrial)
	// OnlyTier drops the requests of all other tiers; empty = keep all.
	OnlyTier string
	// DurationFactor multiplies the duration; 0 counts as 1.
	DurationFactor int
	// MeasureRecovery tells that the load drops after the first burstDivisor-th of the
	// duration, and that the time to recover from then on is measured.
	MeasureRecovery bool
}

func (c Case) duration(d time.Duration) time.Duration {
	return d * time.Duration(max(c.DurationFactor, 1))
}

func steady(factor float64) func(at, duration time.Duration) float64 {
	return func(time.Duration, time.Duration) float64 { return factor }
}

func burst(at, duration time.Duration) float64 {
	if at < duration/burstDivisor {
		return burstFactor
	}
	return afterBurstFactor
}

// Cases returns all cases in the order of the report.
func Cases() []Case {
	return []Case{
		{Name: "steady-0.7", Load: steady(0.7)},
		{Name: "steady-0.95", Load: steady(0.95)},
		{Name: "steady-1.3", Load: steady(1.3)},
		{Name: "burst-3x", Load: burst, MeasureRecovery: true, DurationFactor: burstDurationFactor},
		{Name: "urgent-alone", Load: burst, OnlyTier: tierUrgent, DurationFactor: burstDurationFactor},
		{Name: "slow-engine", Load: steady(0.7), FaultAt: 0.3, Fault: slowFirstEngine},
		{Name: "domain-lost", Load: steady(0.6), FaultAt: 0.4, Fault: failFirstDomain, Mix: withFailoverRetries},
		{Name: "entry-killed", Load: steady(1.3), FaultAt: 0.5, Fault: killFirstEntry, Mix: withFailoverRetries},
		{Name: "retry-storm", Load: steady(1.5), Mix: withRetryStorm},
		{Name: "flood", Load: steady(1.3), Mix: withFlood},
		{Name: "stale-load", Load: steady(0.95), LoadLag: staleLoadLag},
	}
}

// slowFirstEngine slows the first engine down by slowFactor.
func slowFirstEngine(t *runningTrial) {
	t.pool.engines[0].engine.SetFaults(engine.Faults{Slow: slowFactor})
}

func failFirstDomain(t *runningTrial) {
	domain := t.deployment.Domains[0]
	t.pool.failDomain(domain)
	t.policy.failDomain(domain)
}

func killFirstEntry(t *runningTrial) {
	t.policy.killEntry()
}

func withFailoverRetries(m *load.Mix) {
	m.Retries = failoverRetries
}

func withRetryStorm(m *load.Mix) {
	m.Patience = stormPatience
	m.Retries = stormRetries
	m.HonourRetryAfter = false
}

// withFlood makes the account with the smallest share send most of the load.
func withFlood(m *load.Mix) {
	m.Accounts = append([]load.Account(nil), m.Accounts...)
	m.Accounts[len(m.Accounts)-1].Share *= floodShareFactor
}
