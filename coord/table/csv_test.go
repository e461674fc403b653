package table_test

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/table"
)

// sampleMachine returns a machine whose table has two tiers, an engine, a service and an account.
func sampleMachine(t testing.TB) *table.Machine {
	g := NewWithT(t)
	m := table.NewMachine()
	rows := []table.Row{
		{Kind: table.KindTier, Tier: &table.Tier{Name: "urgent", FirstToken: 480 * time.Millisecond}},
		{Kind: table.KindTier, Tier: &table.Tier{Name: "bulk", Rank: 1, Preemptible: true}},
		{Kind: table.KindEndpoint, Endpoint: &table.Endpoint{Name: "rota/v2", Kind: table.EndpointEngine, Weight: 1.5}},
		{Kind: table.KindEndpoint, Endpoint: &table.Endpoint{
			Name: "desk", Kind: table.EndpointService, Weight: 1, NonIdempotent: []string{"POST"},
		}},
		{Kind: table.KindAccount, Account: &table.Account{
			Name: "crews", KeyDigest: digestOf(1), Tiers: []string{"bulk", "urgent"}, Weight: 2, Concurrency: 8,
		}},
	}
	e := table.Edit{ID: "sample", Editor: "ana"}
	for _, row := range rows {
		name := "crews"
		switch {
		case row.Tier != nil:
			name = row.Tier.Name
		case row.Endpoint != nil:
			name = row.Endpoint.Name
		}
		e.Rows = append(e.Rows, table.RowEdit{Row: row, Name: name})
	}
	data, err := table.EncodeEdit(e)
	g.Expect(err).NotTo(HaveOccurred())
	_, v, err := m.Apply(table.Record{Data: data})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Findings).To(BeEmpty())
	return m
}

func exportCSV(t testing.TB, m *table.Machine) string {
	var b bytes.Buffer
	NewWithT(t).Expect(table.WriteCSV(&b, m.Table().Rows())).To(Succeed())
	return b.String()
}

func TestParseCSVReturnsOnlyRowsChangedAfterExport(t *testing.T) {
	g := NewWithT(t)
	m := sampleMachine(t)
	text := exportCSV(t, m)
	sheet, findings := table.ParseCSV("t.csv", strings.NewReader("\uFEFF"+strings.ReplaceAll(text, ",", ";")))
	g.Expect(findings).To(BeEmpty())
	g.Expect(sheet.Rows).To(BeEmpty())

	edited := strings.Replace(text, ",2,0,0,8", ",2.5,0,0,8", 1)
	g.Expect(edited).NotTo(Equal(text))
	sheet, findings = table.ParseCSV("t.csv", strings.NewReader(edited))
	g.Expect(findings).To(BeEmpty())
	v := m.Preview(table.Edit{ID: "x", Seen: m.Version(), Rows: sheet.ChangedRows(m.Table())})
	g.Expect(v.Accepted).To(BeTrue())
	g.Expect(v.Changes).To(HaveLen(1))
	g.Expect(v.Changes[0].String()).To(Equal(`account crews: weight: "2" -> "2.5"`))
}

// TestFindingsCarryLineAndColumnOfTheCell parses a file that breaks many rules and checks
// the position of each finding.
func TestFindingsCarryLineAndColumnOfTheCell(t *testing.T) {
	g := NewWithT(t)
	m := sampleMachine(t)
	text := "kind,name,rank,key_digest,tiers,weight,requests_per_second,tokens_per_second,endpoint_kind\n" +
		"tier,slow,1,,,,,,\n" +
		"account,a,,,gold,-1,9,3,\n" +
		"account,b,," + digestOf(1) + ",bulk,NaN,,,\n" +
		"endpoint,e e,,,,,,,rocket\n"
	sheet, findings := table.ParseCSV("t.csv", strings.NewReader(text))
	g.Expect(findings).To(BeEmpty())
	v := m.Preview(table.Edit{ID: "x", Seen: m.Version(), Rows: sheet.ChangedRows(m.Table())})
	g.Expect(v.Accepted).To(BeFalse())
	var got []string
	for _, f := range sheet.Locate(v.Findings) {
		got = append(got, fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Field))
	}
	g.Expect(got).To(ConsistOf("2:11 rank", "0:0 rank", "3:12 key_digest", "3:13 tiers", "3:18 weight", "3:23 tokens_per_second",
		"4:12 key_digest", "0:0 key_digest", "4:82 weight", "5:10 name", "5:20 endpoint_kind"))

	_, findings = table.ParseCSV("t.csv", strings.NewReader("kind,name,rank,delete\ntier,x,one,maybe\nboat,y\ntier,x,2\n"))
	got = nil
	for _, f := range findings {
		got = append(got, f.Error())
	}
	g.Expect(got).To(HaveLen(4))
	g.Expect(got).To(ContainElement("t.csv:2:8: tier x: rank: must be a whole number: invalid syntax"))
}

// TestRebuiltSnapshotRestoresTheExportedRows rebuilds a snapshot from an exported CSV file
// only, without any records of the log.
func TestRebuiltSnapshotRestoresTheExportedRows(t *testing.T) {
	g := NewWithT(t)
	m := sampleMachine(t)
	sheet, findings := table.ParseCSV("t.csv", strings.NewReader(exportCSV(t, m)))
	g.Expect(findings).To(BeEmpty())
	snapshot, findings := table.Rebuild(40, sheet.All())
	g.Expect(findings).To(BeEmpty())
	restored := table.NewMachine()
	g.Expect(restored.Restore(snapshot)).To(Succeed())
	g.Expect(restored.Table().Accounts).To(Equal(m.Table().Accounts))
	g.Expect(restored.Table().RowVersion(table.Key{Kind: table.KindTier, Name: "bulk"})).To(BeEquivalentTo(40))
}

func TestInvalidValueGivesOneFindingForItsField(t *testing.T) {
	for name, corrupt := range map[string]func(*table.Table){
		"max_wait":       func(t *table.Table) { t.Tiers["urgent"] = table.Tier{Name: "urgent", MaxWait: -1} },
		"first_token":    func(t *table.Table) { t.Tiers["urgent"] = table.Tier{Name: "urgent", TokenInterval: 1} },
		"name":           func(t *table.Table) { t.Tiers["-"] = table.Tier{Name: "-", Rank: 9} },
		"max_tokens":     func(t *table.Table) { alterEndpoint(t, func(e *table.Endpoint) { e.MaxTokens = 1 }) },
		"non_idempotent": func(t *table.Table) { alterEndpoint(t, func(e *table.Endpoint) { e.NonIdempotent = []string{"post"} }) },
		"weight":         func(t *table.Table) { alterEndpoint(t, func(e *table.Endpoint) { e.Weight = math.Inf(1) }) },
		"endpoints":      func(t *table.Table) { alterAccount(t, func(a *table.Account) { a.Endpoints = []string{"x"} }) },
		"tiers":          func(t *table.Table) { alterAccount(t, func(a *table.Account) { a.Tiers = nil }) },
		"concurrency":    func(t *table.Table) { alterAccount(t, func(a *table.Account) { a.Concurrency = -1 }) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tab := sampleMachine(t).Table()
			corrupt(tab)
			findings := table.Validate(tab)
			g.Expect(findings).To(HaveLen(1))
			g.Expect(findings[0].Field).To(Equal(name))
		})
	}
}

func alterEndpoint(t *table.Table, alter func(*table.Endpoint)) {
	e := t.Endpoints["desk"]
	alter(&e)
	t.Endpoints["desk"] = e
}

func alterAccount(t *table.Table, alter func(*table.Account)) {
	a := t.Accounts["crews"]
	alter(&a)
	t.Accounts["crews"] = a
}
