package bench

import (
	"fmt"
	"time"
)

// Limits that the targets are checked against.
const (
	overloadGoodputShare  = 0.95        // of the highest goodput possible
	steadyWasteLimit      = 0.02        // of all prefill
	burstWasteLimit       = 0.05        // of all prefill
	recoveryLimitRequests = 2           // times the longest request
	recoveryWindow        = time.Second // requests are grouped by window of arrival
	normalGoodShare       = 0.9         // of the requests in a window are good in normal operation
	unfairnessLimit       = 0.1         // of an account's fair share
	noiseFloor            = 0.02        // smaller differences of goodput or waste count as equal
)

// Check is one target, the measured figure and whether the figure meets the target.
type Check struct {
	Target string `json:"target"`
	Figure string `json:"figure"`
	Met    bool   `json:"met"`
	Run    bool   `json:"run"` // false = a case that the target needs was not run
}

// String returns the check as one line of text.
func (c Check) String() string {
	verdict := "NOT MET"
	switch {
	case !c.Run:
		verdict = "not run"
	case c.Met:
		verdict = "met"
	}
	return fmt.Sprintf("%-8s %s: %s", verdict, c.Target, c.Figure)
}

func checkTargets(r Report) []Check {
	checks := []Check{checkUrgentIsolation(r), checkOverload(r)}
	for _, name := range []string{"steady-0.7", "steady-0.95"} {
		checks = append(checks, checkWaste(r, name, steadyWasteLimit))
	}
	checks = append(checks, checkWaste(r, "burst-3x", burstWasteLimit), checkRecovery(r), checkFairness(r))
	return append(checks, checkOtherPolicies(r)...)
}

func checkUrgentIsolation(r Report) Check {
	c := Check{Target: "urgent tier in the burst as good as alone"}
	inBurst, ok := r.findRow("burst-3x", policyOurs)
	alone, aloneOK := r.findRow("urgent-alone", policyOurs)
	if !ok || !aloneOK {
		return c
	}
	a, b := inBurst.Tiers[tierUrgent], alone.Tiers[tierUrgent]
	c.Run = true
	c.Met = a.Max >= b.Min || a.Mean+noiseFloor >= b.Mean
	c.Figure = fmt.Sprintf("%v against %v alone", a, b)
	return c
}

func checkOverload(r Report) Check {
	c := Check{Target: "goodput at 1.3 at least 0.95 of the best"}
	row, ok := r.findRow("steady-1.3", policyOurs)
	if !ok {
		return c
	}
	best := 1 / 1.3
	c.Run = true
	c.Met = row.Goodput.Mean >= overloadGoodputShare*best
	c.Figure = fmt.Sprintf("%v of %.3f, that is %.3f", row.Goodput, best, row.Goodput.Mean/best)
	return c
}

func checkWaste(r Report, name string, limit float64) Check {
	c := Check{Target: fmt.Sprintf("wasted prefill under %.2f in %s", limit, name)}
	row, ok := r.findRow(name, policyOurs)
	if !ok {
		return c
	}
	c.Run = true
	c.Met = row.Wasted.Mean < limit
	c.Figure = row.Wasted.String()
	return c
}

func checkRecovery(r Report) Check {
	limit := recoveryLimitRequests * r.LongestS
	c := Check{Target: fmt.Sprintf("back to normal within %.1f s of the burst", limit)}
	row, ok := r.findRow("burst-3x", policyOurs)
	if !ok {
		return c
	}
	c.Run = true
	c.Met = row.Recovery.Max <= limit
	c.Figure = fmt.Sprintf("%.1f s", row.Recovery.Max)
	return c
}

func checkFairness(r Report) Check {
	c := Check{Target: fmt.Sprintf("no account below its share by more than %.2f in the flood", unfairnessLimit)}
	row, ok := r.findRow("flood", policyOurs)
	if !ok {
		return c
	}
	c.Run = true
	c.Met = row.Unfairness.Mean <= unfairnessLimit
	c.Figure = row.Unfairness.String()
	return c
}

// checkOtherPolicies returns a failed check for each case in which another policy has
// higher goodput or less wasted prefill than the full system. If there is none, it
// returns one check that is met.
func checkOtherPolicies(r Report) []Check {
	var checks []Check
	for _, row := range r.Rows {
		own, ok := r.findRow(row.Case, policyOurs)
		if !ok || row.Policy == policyOurs {
			continue
		}
		if row.Goodput.Mean > own.Goodput.Mean+noiseFloor {
			checks = append(checks, betterPolicyCheck(row, "goodput", row.Goodput, own.Goodput))
		}
		if row.Wasted.Mean+noiseFloor < own.Wasted.Mean {
			checks = append(checks, betterPolicyCheck(row, "wasted prefill", row.Wasted, own.Wasted))
		}
	}
	if len(checks) == 0 && len(r.Rows) > 0 {
		checks = append(checks, Check{Target: "no other policy better on either measure in any case run", Figure: "none", Met: true, Run: true})
	}
	return checks
}

// betterPolicyCheck returns the failed check for a policy that is better on a measure.
func betterPolicyCheck(row Row, measure string, theirs, own Spread) Check {
	return Check{
		Target: fmt.Sprintf("%s not better than ours in %s on %s", row.Policy, row.Case, measure),
		Figure: fmt.Sprintf("%v against our %v", theirs, own), Run: true,
	}
}
