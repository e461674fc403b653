package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"
)

// Promise holds the latencies that a tier promises; 0 = none promised.
type Promise struct {
	FirstToken    time.Duration
	TokenInterval time.Duration
}

// Good reports whether an answer was whole within its deadline and within the
// latencies that its tier promises. The token interval is its mean over the answer.
func Good(r Request, got Result, promise Promise) bool {
	if !got.Whole || got.Total > r.Class.Deadline {
		return false
	}
	if r.Class.Service != "" {
		return true
	}
	if promise.FirstToken > 0 && got.FirstToken > promise.FirstToken {
		return false
	}
	return promise.TokenInterval == 0 || got.MeanInterval <= promise.TokenInterval
}

// TierReport sums up the requests of one tier, or of all tiers.
type TierReport struct {
	Tier    string `json:"tier"`
	Asked   int    `json:"asked"`
	Good    int    `json:"good"`
	Whole   int    `json:"whole"`
	Refused int    `json:"refused"`
	// LateFirst and LateTokens count whole answers with a first token or a mean
	// token interval later than their tier promises.
	LateFirst   int           `json:"late_first_token"`
	LateTokens  int           `json:"late_tokens"`
	Goodput     float64       `json:"goodput"`
	Attempts    int           `json:"attempts"`
	FirstP50    time.Duration `json:"first_token_p50_ns"`
	FirstP99    time.Duration `json:"first_token_p99_ns"`
	IntervalP99 time.Duration `json:"interval_p99_ns"`
	TotalP99    time.Duration `json:"total_p99_ns"`
}

// AccountReport sums up the requests of one client account.
type AccountReport struct {
	Account     string `json:"account"`
	Asked       int    `json:"asked"`
	Good        int    `json:"good"`
	AskedTokens int    `json:"asked_tokens"`
	GoodTokens  int    `json:"good_tokens"`
}

// Report sums up the results of a plan.
type Report struct {
	All      TierReport      `json:"all"`
	Tiers    []TierReport    `json:"tiers"`
	Accounts []AccountReport `json:"accounts"`
	// Foreign counts answers that contained part of another answer; it must be 0.
	Foreign int `json:"foreign"`
	// NoFinal counts requests for which the caller received no HTTP status by its deadline.
	NoFinal int `json:"no_final"`
}

// Summarise sums up the results of a plan. Promises are by tier.
func Summarise(plan Plan, results []Result, promises map[string]Promise) Report {
	var report Report
	byTier := map[string][]int{}
	accounts := map[string]*AccountReport{}
	var all []int
	for i, r := range plan.Requests {
		byTier[r.Class.Tier] = append(byTier[r.Class.Tier], i)
		all = append(all, i)
		report.addToAccount(accounts, r, results[i], Good(r, results[i], promises[r.Class.Tier]))
	}
	report.All = summariseTier("all", all, plan, results, promises)
	for tier, indexes := range byTier {
		report.Tiers = append(report.Tiers, summariseTier(tier, indexes, plan, results, promises))
	}
	sort.Slice(report.Tiers, func(i, j int) bool { return report.Tiers[i].Tier < report.Tiers[j].Tier })
	for _, a := range accounts {
		report.Accounts = append(report.Accounts, *a)
	}
	sort.Slice(report.Accounts, func(i, j int) bool { return report.Accounts[i].Account < report.Accounts[j].Account })
	return report
}

// addToAccount adds a result to the report of its account and to the report's counts.
func (r *Report) addToAccount(accounts map[string]*AccountReport, asked Request, got Result, good bool) {
	a, ok := accounts[asked.Account]
	if !ok {
		a = &AccountReport{Account: asked.Account}
		accounts[asked.Account] = a
	}
	a.Asked++
	a.AskedTokens += asked.MaxTokens
	if good {
		a.Good++
		a.GoodTokens += got.Tokens
	}
	if got.Foreign {
		r.Foreign++
	}
	if got.Status == 0 {
		r.NoFinal++
	}
}

func summariseTier(tier string, indexes []int, plan Plan, results []Result, promises map[string]Promise) TierReport {
	t := TierReport{Tier: tier, Asked: len(indexes)}
	var first, interval, total []time.Duration
	for _, i := range indexes {
		got := results[i]
		t.Attempts += got.Attempts
		if Good(plan.Requests[i], got, promises[plan.Requests[i].Class.Tier]) {
			t.Good++
		}
		if got.Whole {
			t.Whole++
			t.countLate(got, promises[plan.Requests[i].Class.Tier])
			first = append(first, got.FirstToken)
			interval = append(interval, got.MeanInterval)
			total = append(total, got.Total)
		} else if got.Status >= 400 {
			t.Refused++
		}
	}
	if t.Asked > 0 {
		t.Goodput = float64(t.Good) / float64(t.Asked)
	}
	t.FirstP50, t.FirstP99 = Quantile(first, 0.5), Quantile(first, 0.99)
	t.IntervalP99, t.TotalP99 = Quantile(interval, 0.99), Quantile(total, 0.99)
	return t
}

// countLate counts the promises of its tier that a whole answer missed.
func (t *TierReport) countLate(got Result, promise Promise) {
	if promise.FirstToken > 0 && got.FirstToken > promise.FirstToken {
		t.LateFirst++
	}
	if promise.TokenInterval > 0 && got.MeanInterval > promise.TokenInterval {
		t.LateTokens++
	}
}

// Quantile returns the value below which a share q of the values lie; 0 without values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// WriteTable writes the report as aligned text.
func (r Report) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "tier\tasked\tgood\twhole\trefused\tgoodput\tattempts\tfirst p50\tfirst p99\tinterval p99\ttotal p99")
	for _, t := range append(r.Tiers, r.All) {
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%.3f\t%d\t%v\t%v\t%v\t%v\n", t.Tier, t.Asked, t.Good, t.Whole, t.Refused, t.Goodput,
			t.Attempts, roundForTable(t.FirstP50), roundForTable(t.FirstP99), roundForTable(t.IntervalP99), roundForTable(t.TotalP99))
	}
	for _, a := range r.Accounts {
		fmt.Fprintf(out, "account %s\t%d\t%d\t\t\t\t\t%d good tokens\n", a.Account, a.Asked, a.Good, a.GoodTokens)
	}
	fmt.Fprintf(out, "foreign answers %d, no answer by the deadline %d\n", r.Foreign, r.NoFinal)
	return out.Flush()
}

func roundForTable(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}
