package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Spread is the mean, lowest and highest value of a figure over seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
	N    int     `json:"n"`
}

func (s *Spread) add(v float64) {
	if s.N == 0 {
		s.Min, s.Max = v, v
	}
	s.Min, s.Max = math.Min(s.Min, v), math.Max(s.Max, v)
	s.Mean = (s.Mean*float64(s.N) + v) / float64(s.N+1)
	s.N++
}

// String returns the mean and, with two values or more, half the range between the
// lowest and the highest.
func (s Spread) String() string {
	if s.N < 2 {
		return fmt.Sprintf("%.3f", s.Mean)
	}
	return fmt.Sprintf("%.3f±%.3f", s.Mean, (s.Max-s.Min)/2)
}

// Row holds the figures of one policy in one case over all seeds.
type Row struct {
	Case       string            `json:"case"`
	Policy     string            `json:"policy"`
	Goodput    Spread            `json:"goodput"`
	Tiers      map[string]Spread `json:"tiers"`
	Wasted     Spread            `json:"wasted_prefill"`
	Elsewhere  Spread            `json:"prefill_held_elsewhere"`
	Recovery   Spread            `json:"recovery_s"`
	Unfairness Spread            `json:"unfairness"`
}

// Report holds the results of one invocation.
type Report struct {
	Deployment string  `json:"deployment"`
	Scale      float64 `json:"scale"`
	DurationS  float64 `json:"duration_s"`
	Seeds      []int64 `json:"seeds"`
	Capacity   float64 `json:"capacity_per_second"`
	LongestS   float64 `json:"longest_request_s"`
	Rows       []Row   `json:"rows"`
	Targets    []Check `json:"targets"`
	Trials     []Trial `json:"trials"`
}

// NewReport groups trials by case and policy and checks the targets.
func NewReport(o Options, trials []Trial) Report {
	r := Report{
		Deployment: o.Deployment.Name,
		Scale:      o.Scale,
		DurationS:  o.Duration.Seconds(),
		Seeds:      o.Seeds,
		Capacity:   o.Deployment.Capacity(),
		LongestS:   o.Deployment.LongestRequest().Seconds(),
		Trials:     trials,
	}
	index := map[[2]string]int{}
	for _, t := range trials {
		key := [2]string{t.Case, t.Policy}
		i, ok := index[key]
		if !ok {
			i = len(r.Rows)
			index[key] = i
			r.Rows = append(r.Rows, Row{Case: t.Case, Policy: t.Policy, Tiers: map[string]Spread{}})
		}
		r.Rows[i].add(o.Deployment, t)
	}
	r.Targets = checkTargets(r)
	return r
}

func (row *Row) add(d Deployment, t Trial) {
	row.Goodput.add(t.Report.All.Goodput)
	for _, tier := range t.Report.Tiers {
		s := row.Tiers[tier.Tier]
		s.add(tier.Goodput)
		row.Tiers[tier.Tier] = s
	}
	row.Wasted.add(t.Prefill.WastedShare())
	row.Elsewhere.add(t.Prefill.ElsewhereShare())
	row.Recovery.add(t.Recovery.Seconds())
	row.Unfairness.add(unfairness(d, t))
}

// unfairness returns the largest shortfall of an account, as a part of its fair share.
// The fair share is the account's weighted share of all good tokens, or the tokens it
// asked for if they are fewer. 0 = no account got less than its fair share.
func unfairness(d Deployment, t Trial) float64 {
	total := 0
	for _, a := range t.Report.Accounts {
		total += a.GoodTokens
	}
	worst := 0.0
	for _, a := range t.Report.Accounts {
		fairShare := math.Min(float64(total)*weightShare(d, a.Account), float64(a.AskedTokens))
		if a.Asked == a.Good || fairShare == 0 {
			continue
		}
		worst = math.Max(worst, 1-float64(a.GoodTokens)/fairShare)
	}
	return worst
}

func weightShare(d Deployment, name string) float64 {
	all, own := 0.0, 0.0
	for _, a := range d.Mix.Accounts {
		all += a.Share
		if a.Name == name {
			own = a.Share
		}
	}
	return own / all
}

func (r Report) findRow(name, policy string) (Row, bool) {
	for _, row := range r.Rows {
		if row.Case == name && row.Policy == policy {
			return row, true
		}
	}
	return Row{}, false
}

// WriteTable writes the rows and the targets as aligned text.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s: %.1f requests/s at best, longest request %.1f s, scale %g, %g s a trial, seeds %v\n",
		r.Deployment, r.Capacity, r.LongestS, r.Scale, r.DurationS, r.Seeds)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "case\tpolicy\tgoodput\turgent\tinteractive\tstandard\tbatch\twasted\telsewhere\tunfair\trecovery s")
	for _, row := range r.Rows {
		fmt.Fprintf(out, "%s\t%s\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%.1f\n", row.Case, row.Policy, row.Goodput,
			row.Tiers[tierUrgent], row.Tiers[tierInteractive], row.Tiers[tierStandard], row.Tiers[tierBatch],
			row.Wasted, row.Elsewhere, row.Unfairness, row.Recovery.Mean)
	}
	if err := out.Flush(); err != nil {
		return errors.Wrap(err, "bench: write table")
	}
	for _, c := range r.Targets {
		fmt.Fprintln(w, c)
	}
	return nil
}

// WriteJSON writes all figures.
func (r Report) WriteJSON(w io.Writer) error {
	out := json.NewEncoder(w)
	out.SetIndent("", " ")
	return errors.Wrap(out.Encode(r), "bench: encode report as JSON")
}

func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "bench: create report file")
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "bench: close report file")
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
