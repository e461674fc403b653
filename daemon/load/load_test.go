package load

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/fake/engine"
)

func TestReportMatchesAnswersWhenTheyAreWholeCutOrRefused(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Options{StepBase: 100 * time.Microsecond})
	server := httptest.NewServer(e)
	defer server.Close()
	mix := Mix{
		Model: "model",
		Classes: []Class{
			{Tier: "urgent", Share: 1, Prompt: Range{8, 64}, Tokens: Range{2, 20}, Deadline: time.Minute},
			{Tier: "batch", Share: 2, Prompt: Range{8, 64}, Tokens: Range{2, 20}, Prefixes: 2, PrefixTokens: 256, Deadline: time.Minute},
		},
		Accounts: []Account{{"a", "ka", 3}, {"b", "kb", 1}},
	}
	plan := NewPlan(mix, Constant(400), 400*time.Millisecond, 7)
	g.Expect(NewPlan(mix, Constant(400), 400*time.Millisecond, 7)).To(Equal(plan))
	g.Expect(len(plan.Requests)).To(BeNumerically("~", 160, 60))
	promises := map[string]Promise{"urgent": {FirstToken: time.Nanosecond}}
	report := Summarise(plan, Run(context.Background(), plan, Target{ChooseIDs: true, URLs: []string{server.URL}, Scale: 2}), promises)
	g.Expect(report.All.Whole).To(Equal(len(plan.Requests)))
	g.Expect(report.Foreign + report.NoFinal).To(BeZero())
	g.Expect(report.Tiers[0].Goodput).To(Equal(1.0))
	g.Expect(report.Tiers[1].Goodput).To(Equal(0.0), "no answer can be as fast as promised")
	g.Expect(report.Accounts[0].Asked).To(BeNumerically(">", report.Accounts[1].Asked))
	var table strings.Builder
	g.Expect(report.WriteTable(&table)).To(Succeed())
	g.Expect(table.String()).To(ContainSubstring("urgent"))
	digests := map[string]bool{}
	for _, rec := range e.Records() {
		digests[rec.Digest] = true
	}
	g.Expect(digests).To(HaveLen(len(plan.Requests)), "each prompt is unique")
	g.Expect(digests).To(HaveKey(plan.Requests[0].Digest))
	e.SetFaults(engine.Faults{CutAfter: 3})
	short := NewPlan(mix, Constant(100), 100*time.Millisecond, 8)
	report = Summarise(short, Run(context.Background(), short, Target{ChooseIDs: true, URLs: []string{server.URL}}), promises)
	g.Expect(report.All.Whole).To(BeZero(), "an answer that was cut short is not whole")
	e.SetFaults(engine.Faults{Refuse: 503})
	short.Mix.Retries = 2
	report = Summarise(short, Run(context.Background(), short, Target{ChooseIDs: true, URLs: []string{server.URL}}), promises)
	g.Expect(report.All.Refused).To(Equal(len(short.Requests)))
	g.Expect(report.All.Attempts).To(Equal(3 * len(short.Requests)))
}
