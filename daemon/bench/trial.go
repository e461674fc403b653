package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/load"
)

// Options selects what one invocation measures.
type Options struct {
	Deployment Deployment
	Cases      []Case
	Policies   []Policy
	Seeds      []int64
	// Duration is how long requests are sent in each trial, before Scale divides it.
	Duration time.Duration
	// Scale divides all times alike: those of engines, deadlines, promises and leases.
	Scale float64
	// Parallel is how many trials run at a time; 0 counts as 1.
	Parallel int
	// Progress is called after each trial, never concurrently; may be nil.
	Progress func(Trial)
}

// Prefill sums up prompt tokens and runs over all engines of a trial.
type Prefill struct {
	// Computed counts all tokens that engines prefilled.
	Computed int `json:"computed"`
	// Wasted counts tokens computed for runs that did not complete (cancelled, lost or
	// begun again elsewhere) or whose answer was not read whole.
	Wasted int `json:"wasted"`
	// HeldElsewhere counts tokens computed although another engine's cache held them.
	HeldElsewhere int `json:"held_elsewhere"`
	// Cached counts tokens taken from the engine's own cache.
	Cached int `json:"cached"`
	// Suspensions counts runs suspended by exporting their KV cache.
	Suspensions int `json:"suspensions"`
	// Executions counts the runs that engines accepted, and Requests the distinct requests among them.
	Executions int `json:"executions"`
	Requests   int `json:"requests"`
}

// WastedShare returns the wasted share of all computed tokens.
func (p Prefill) WastedShare() float64 {
	return share(p.Wasted, p.Computed)
}

// ElsewhereShare returns the share of all computed tokens that another engine's cache held.
func (p Prefill) ElsewhereShare() float64 {
	return share(p.HeldElsewhere, p.Computed)
}

func share(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// Trial is the result of one policy in one case with one seed.
type Trial struct {
	Deployment string      `json:"deployment"`
	Case       string      `json:"case"`
	Policy     string      `json:"policy"`
	Seed       int64       `json:"seed"`
	Offered    float64     `json:"offered_per_second"`
	Report     load.Report `json:"report"`
	Prefill    Prefill     `json:"prefill"`
	// Recovery is the time from the end of a burst to normal operation, 0 where the
	// case does not measure it. See recoveryTime.
	Recovery time.Duration `json:"recovery_ns"`
}

// runningTrial is what a fault can act on while a trial runs.
type runningTrial struct {
	deployment Deployment
	pool       *pool
	policy     runningPolicy
}

// Run runs a trial for every combination of case, seed and policy, and returns the
// results in that order. Trials that did not finish are left out.
func Run(ctx context.Context, o Options) ([]Trial, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(o.Parallel, 1))
	trials := make([]Trial, len(o.Cases)*len(o.Seeds)*len(o.Policies))
	var mu sync.Mutex
	next := 0
	for _, c := range o.Cases {
		for _, seed := range o.Seeds {
			for _, p := range o.Policies {
				index := next
				next++
				group.Go(func() error {
					t, err := runTrial(ctx, o, c, p, seed)
					if err != nil || ctx.Err() != nil {
						return err
					}
					mu.Lock()
					defer mu.Unlock()
					trials[index] = t
					if o.Progress != nil {
						o.Progress(t)
					}
					return nil
				})
			}
		}
	}
	err := group.Wait()
	return slices.DeleteFunc(trials, func(t Trial) bool { return t.Policy == "" }), err
}

func runTrial(ctx context.Context, o Options, c Case, p Policy, seed int64) (Trial, error) {
	lag := c.LoadLag
	if lag == 0 {
		lag = loadLag
	}
	engines, err := newPool(o.Deployment, o.Scale, lag, seed)
	if err != nil {
		return Trial{}, err
	}
	defer engines.close()
	running, err := p.start(setup{deployment: o.Deployment, pool: engines, scale: o.Scale, seed: seed})
	if err != nil {
		return Trial{}, err
	}
	defer running.close()
	t := &runningTrial{deployment: o.Deployment, pool: engines, policy: running}
	plan := newPlan(o, c, seed)
	if c.Fault != nil {
		at := time.Duration(c.FaultAt * float64(c.duration(o.Duration)) / o.Scale)
		timer := time.AfterFunc(at, func() { c.Fault(t) })
		defer timer.Stop()
	}
	results := load.Run(ctx, plan, load.Target{URLs: running.urls(), Scale: o.Scale})
	return measure(o, c, p, seed, plan, results, engines.records()), nil
}

func newPlan(o Options, c Case, seed int64) load.Plan {
	mix := o.Deployment.Mix
	if c.Mix != nil {
		c.Mix(&mix)
	}
	capacity := o.Deployment.Capacity()
	duration := c.duration(o.Duration)
	rate := func(at time.Duration) float64 { return capacity * c.Load(at, duration) }
	plan := load.NewPlan(mix, rate, duration, seed)
	if c.OnlyTier == "" {
		return plan
	}
	kept := plan.Requests[:0]
	for _, r := range plan.Requests {
		if r.Class.Tier == c.OnlyTier {
			kept = append(kept, r)
		}
	}
	plan.Requests = kept
	return plan
}

func measure(o Options, c Case, p Policy, seed int64, plan load.Plan, results []load.Result, records []engine.Record) Trial {
	promises := o.Deployment.Promises()
	t := Trial{
		Deployment: o.Deployment.Name, Case: c.Name, Policy: p.Name, Seed: seed,
		Offered: float64(len(plan.Requests)) / c.duration(o.Duration).Seconds(),
		Report:  load.Summarise(plan, results, promises),
		Prefill: sumPrefill(plan, results, records),
	}
	if c.MeasureRecovery {
		t.Recovery = recoveryTime(plan, results, promises, c.duration(o.Duration)/burstDivisor)
	}
	return t
}

// recoveryTime returns the time from the end of the burst to the end of the last window
// in which fewer of the arriving requests were good than in normal operation.
func recoveryTime(plan load.Plan, results []load.Result, promises map[string]load.Promise, burstEnd time.Duration) time.Duration {
	asked, good := map[int]int{}, map[int]int{}
	for i, r := range plan.Requests {
		if r.At < burstEnd {
			continue
		}
		window := int((r.At - burstEnd) / recoveryWindow)
		asked[window]++
		if load.Good(r, results[i], promises[r.Class.Tier]) {
			good[window]++
		}
	}
	last := 0
	for window, n := range asked {
		if float64(good[window]) < normalGoodShare*float64(n) {
			last = max(last, window+1)
		}
	}
	return time.Duration(last) * recoveryWindow
}

// sumPrefill sums up the engines' records and matches them with requests by the digest
// of the prompt. The prefill of a run is wasted if the run did not end by itself, or if
// the caller did not get the whole answer.
func sumPrefill(plan load.Plan, results []load.Result, records []engine.Record) Prefill {
	whole := map[string]bool{}
	for i, r := range plan.Requests {
		whole[r.Digest] = results[i].Whole
	}
	var sum Prefill
	seen := map[string]bool{}
	for _, r := range records {
		sum.Executions++
		sum.Computed += r.Computed
		sum.Cached += r.Cached
		sum.HeldElsewhere += min(r.HeldElsewhere, r.Computed)
		sum.Suspensions += r.Suspensions
		if !seen[r.Digest] {
			sum.Requests++
		}
		seen[r.Digest] = true
		if r.State != "ended" || !whole[r.Digest] {
			sum.Wasted += r.Computed
		}
	}
	return sum
}

// String returns the trial's figures as one line of text.
func (t Trial) String() string {
	line := fmt.Sprintf("%-10s %-13s %-18s seed %d  goodput %.3f", t.Deployment, t.Case, t.Policy, t.Seed, t.Report.All.Goodput)
	for _, tier := range t.Report.Tiers {
		line += fmt.Sprintf("  %s %.3f", tier.Tier, tier.Goodput)
		if n := tier.LateFirst + tier.LateTokens; n > 0 {
			line += fmt.Sprintf(" (late first %d, tokens %d)", tier.LateFirst, tier.LateTokens)
		}
	}
	line += fmt.Sprintf("  wasted %.3f elsewhere %.3f cached %d computed %d suspended %d", t.Prefill.WastedShare(), t.Prefill.ElsewhereShare(), t.Prefill.Cached, t.Prefill.Computed, t.Prefill.Suspensions)
	if t.Recovery > 0 {
		line += fmt.Sprintf("  recovery %.1fs", t.Recovery.Seconds())
	}
	return line
}
