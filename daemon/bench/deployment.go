// Package bench compares request routing policies under load and faults. It runs
// this system, ablations of it and simple baselines against the same emulated
// engines with the same requests, and reports goodput by tier and wasted prefill.
package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/load"
)

// Latency promised to the urgent and interactive tiers, and the parameters of the
// emulated engines.
const (
	firstTokenPromise    = 480 * time.Millisecond
	tokenIntervalPromise = 26 * time.Millisecond
	loadLag              = time.Second
	staleLoadLag         = 10 * time.Second
	cacheEventLag        = 500 * time.Millisecond
	cacheEventLoss       = 0.05 // share of events
	prefillChunk         = 64   // tokens
	maxBatch             = 16   // runs
	kvTokens             = 48_000
	cacheTokens          = 24_000
)

// The tiers of both deployments, most urgent first.
const (
	tierUrgent      = "urgent"
	tierInteractive = "interactive"
	tierStandard    = "standard"
	tierBatch       = "batch"
)

// EngineSpec describes one emulated engine of a deployment and its speed.
type EngineSpec struct {
	ID               string
	FailureDomain    string
	PrefillPerSecond float64
	StepBase         time.Duration
	StepPerRun       time.Duration
}

// Deployment describes a pool of engines, the entries in front of it, its tiers,
// and the mix of accounts and requests that callers send.
type Deployment struct {
	Name    string
	Domains []string
	Engines []EngineSpec
	Entries int
	Mix     load.Mix
	Tiers   []table.Tier
}

// engineClasses are three classes of engine, fastest first. The first is three
// times as fast as the last.
var engineClasses = []EngineSpec{
	{PrefillPerSecond: 12000, StepBase: 5 * time.Millisecond, StepPerRun: 150 * time.Microsecond},
	{PrefillPerSecond: 7000, StepBase: 9 * time.Millisecond, StepPerRun: 250 * time.Microsecond},
	{PrefillPerSecond: 4000, StepBase: 15 * time.Millisecond, StepPerRun: 350 * time.Microsecond},
}

// Deployments returns the deployments that the command can choose by name.
func Deployments() []Deployment {
	return []Deployment{
		newDeployment("norte-es", []string{"santander-a", "oviedo-b", "bilbao-c"}, 12, 2048),
		newDeployment("lagos", []string{"ikorodu", "epe", "badagry", "lekki"}, 20, 4096),
	}
}

func newDeployment(name string, domains []string, engines, sharedPrefix int) Deployment {
	d := Deployment{Name: name, Domains: domains, Entries: 3, Tiers: tiers(), Mix: newMix(sharedPrefix)}
	for i := range engines {
		spec := engineClasses[(i+i/len(domains))%len(engineClasses)]
		spec.ID = fmt.Sprintf("runner-%02d", i)
		spec.FailureDomain = domains[i%len(domains)]
		d.Engines = append(d.Engines, spec)
	}
	return d
}

func tiers() []table.Tier {
	return []table.Tier{
		{Name: tierUrgent, Rank: 0, FirstToken: firstTokenPromise, TokenInterval: tokenIntervalPromise},
		{Name: tierInteractive, Rank: 1, FirstToken: firstTokenPromise, TokenInterval: tokenIntervalPromise},
		{Name: tierStandard, Rank: 2, Preemptible: true},
		{Name: tierBatch, Rank: 3, Preemptible: true},
	}
}

// newMix returns a mix whose shortest and longest answers differ a hundredfold, and
// whose standard and batch requests have long prompts with shared prefixes.
func newMix(sharedPrefix int) load.Mix {
	return load.Mix{
		Model: "model",
		Classes: []load.Class{
			{
				Tier: tierUrgent, Share: 0.15, Deadline: 10 * time.Second,
				Prompt: load.Range{Min: 64, Max: 512}, Tokens: load.Range{Min: 16, Max: 200},
			},
			{
				Tier: tierInteractive, Share: 0.45, Deadline: 8 * time.Second,
				Prompt: load.Range{Min: 16, Max: 256}, Tokens: load.Range{Min: 4, Max: 128},
			},
			{
				Tier: tierStandard, Share: 0.25, Deadline: 20 * time.Second,
				Prompt: load.Range{Min: 64, Max: 1024}, Tokens: load.Range{Min: 32, Max: 256},
				Prefixes: 8, PrefixTokens: 512,
			},
			{
				Tier: tierBatch, Share: 0.15, Deadline: 24 * time.Second,
				Prompt: load.Range{Min: 128, Max: 1024}, Tokens: load.Range{Min: 64, Max: 400},
				Prefixes: 3, PrefixTokens: sharedPrefix,
			},
		},
		Accounts:         accounts(),
		Retries:          1,
		HonourRetryAfter: true,
	}
}

// accounts returns five accounts, two of which send most of the load.
func accounts() []load.Account {
	shares := []float64{0.4, 0.3, 0.15, 0.1, 0.05}
	var list []load.Account
	for i, share := range shares {
		name := fmt.Sprintf("account-%d", i)
		list = append(list, load.Account{Name: name, Key: "key-" + name, Share: share})
	}
	return list
}

// Table returns the operators' table, with all promised times divided by scale.
func (d Deployment) Table(scale float64) *table.Table {
	var tiers []table.Tier
	var names []string
	for _, t := range d.Tiers {
		t.FirstToken = time.Duration(float64(t.FirstToken) / scale)
		t.TokenInterval = time.Duration(float64(t.TokenInterval) / scale)
		tiers = append(tiers, t)
		names = append(names, t.Name)
	}
	var rows []table.Account
	for _, a := range d.Mix.Accounts {
		sum := sha256.Sum256([]byte(a.Key))
		rows = append(rows, table.Account{
			Name: a.Name, KeyDigest: hex.EncodeToString(sum[:]), Tiers: names, Weight: 20 * a.Share,
		})
	}
	endpoint := table.Endpoint{Name: d.Mix.Model, Kind: table.EndpointEngine, Weight: 1}
	return table.New(1, tiers, rows, []table.Endpoint{endpoint})
}

// Promises returns the latency promised to each tier, unscaled like the times of a
// load plan.
func (d Deployment) Promises() map[string]load.Promise {
	promises := map[string]load.Promise{}
	for _, t := range d.Tiers {
		promises[t.Name] = load.Promise{FirstToken: t.FirstToken, TokenInterval: t.TokenInterval}
	}
	return promises
}

// Capacity returns the highest rate that the pool can serve, in requests a second.
// It assumes that each engine runs the batch size with the highest throughput within
// the promised token interval, and that all shared prefixes of prompts are cached.
func (d Deployment) Capacity() float64 {
	prompt, _, answer := d.Mix.Means()
	total := 0.0
	for _, e := range d.Engines {
		best := 0.0
		for batch := 1; batch <= maxBatch; batch++ {
			interval := (e.StepBase + time.Duration(batch)*e.StepPerRun).Seconds()
			interval += float64(batch) / answer * prompt / e.PrefillPerSecond
			if batch > 1 && interval > tokenIntervalPromise.Seconds() {
				break
			}
			best = max(best, float64(batch)/(answer*interval))
		}
		total += best
	}
	return total
}

// LongestRequest returns how long the longest request takes on the slowest engine
// when nothing else runs there.
func (d Deployment) LongestRequest() time.Duration {
	var longest time.Duration
	for _, c := range d.Mix.Classes {
		for _, e := range d.Engines {
			prefill := float64(c.Prompt.Max+c.PrefixTokens) / e.PrefillPerSecond
			decode := time.Duration(c.Tokens.Max) * (e.StepBase + e.StepPerRun)
			longest = max(longest, decode+time.Duration(prefill*float64(time.Second)))
		}
	}
	return longest
}

// options returns the options of the emulated engine, with all times divided by
// scale. directory tracks the true contents of all prefix caches in the pool.
func (s EngineSpec) options(scale float64, lag time.Duration, directory *engine.Directory, seed int64) engine.Options {
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) / scale) }
	return engine.Options{
		Model:            "model",
		PrefillPerSecond: s.PrefillPerSecond * scale,
		PrefillChunk:     prefillChunk,
		StepBase:         scaled(s.StepBase),
		StepPerRun:       scaled(s.StepPerRun),
		MaxBatch:         maxBatch,
		KVTokens:         kvTokens,
		CacheTokens:      cacheTokens,
		LoadLag:          scaled(lag),
		CacheEventLag:    scaled(cacheEventLag),
		CacheEventLoss:   cacheEventLoss,
		Directory:        directory,
		Seed:             seed,
	}
}
