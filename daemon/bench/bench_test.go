package bench

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/load"
)

// TestTrialsUnderLightLoadWasteNothingAndFillTheReport runs the full system and a
// baseline: every caller gets the whole answer to its own request, each request runs
// once, and the report shows the rows and targets.
func TestTrialsUnderLightLoadWasteNothingAndFillTheReport(t *testing.T) {
	g := NewWithT(t)
	o := Options{
		Deployment: Deployments()[0], Seeds: []int64{1}, Duration: time.Second, Scale: 1,
		Cases:    []Case{{Name: "steady-0.7", Load: steady(0.1)}},
		Policies: []Policy{FullSystem(), Baselines()[3]},
	}
	g.Expect(newPlan(o, o.Cases[0], 1)).To(Equal(newPlan(o, o.Cases[0], 1)))
	trials, err := Run(context.Background(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(trials).To(HaveLen(2))
	for _, trial := range trials {
		g.Expect(trial.Report.All.Whole).To(Equal(trial.Report.All.Asked), trial.Policy)
		g.Expect(trial.Report.Foreign).To(BeZero())
		g.Expect(trial.Prefill.Executions).To(Equal(trial.Report.All.Asked))
		g.Expect(trial.Prefill.Wasted).To(BeZero())
	}
	report := NewReport(o, trials)
	var table, page strings.Builder
	g.Expect(report.WriteTable(&table)).To(Succeed())
	g.Expect(table.String()).To(MatchRegexp(`met +wasted prefill under 0.02 in steady-0.7: 0.000`))
	g.Expect(table.String()).To(ContainSubstring("not run  goodput at 1.3"))
	g.Expect(report.WriteHTML(&page)).To(Succeed())
	g.Expect(page.String()).To(ContainSubstring("two-choices"))
}

func TestPrefillIsWastedWhenTheAnswerIsNotReadWhole(t *testing.T) {
	g := NewWithT(t)
	plan := load.Plan{Requests: []load.Request{{Digest: "a"}, {Digest: "b"}, {Digest: "c"}}}
	results := []load.Result{{Whole: true}, {}, {Whole: true}}
	sum := sumPrefill(plan, results, []engine.Record{
		{Digest: "a", State: "ended", Computed: 10, HeldElsewhere: 4},
		{Digest: "a", State: "cancelled", Computed: 3},
		{Digest: "b", State: "ended", Computed: 20},
		{Digest: "c", State: "ended", Computed: 5, HeldElsewhere: 9},
	})
	g.Expect(sum).To(Equal(Prefill{Computed: 38, Wasted: 23, HeldElsewhere: 9, Executions: 4, Requests: 3}))
}

func TestTargetIsNotMetWhenABaselineHasHigherGoodput(t *testing.T) {
	g := NewWithT(t)
	row := func(policy string, goodput float64) Row {
		s := Spread{}
		s.add(goodput)
		return Row{Case: "steady-1.3", Policy: policy, Goodput: s}
	}
	checks := checkTargets(Report{Rows: []Row{row(policyOurs, 0.6), row("random", 0.7)}})
	g.Expect(checks[1].Run).To(BeTrue())
	g.Expect(checks[1].Met).To(BeFalse())
	last := checks[len(checks)-1]
	g.Expect(last.Target).To(ContainSubstring("random not better than ours in steady-1.3 on goodput"))
	g.Expect(last.Met).To(BeFalse())
}

func TestUnfairnessCapsTheFairShareAtTheTokensAsked(t *testing.T) {
	g := NewWithT(t)
	d := Deployments()[0] // account-0 has 0.4 of the weight, account-4 has 0.05
	trial := Trial{Report: load.Report{Accounts: []load.AccountReport{
		{Account: "account-0", Asked: 10, Good: 9, AskedTokens: 100, GoodTokens: 90},
		{Account: "account-4", Asked: 90, Good: 50, AskedTokens: 2000, GoodTokens: 910},
	}}}
	g.Expect(unfairness(d, trial)).To(BeNumerically("~", 0.1, 1e-9), "100 tokens are due, not 400")
	trial.Report.Accounts[0].AskedTokens = 1000
	g.Expect(unfairness(d, trial)).To(BeNumerically("~", 1-90.0/400, 1e-9))
}
