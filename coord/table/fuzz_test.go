package table_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/table"
)

// FuzzCSV checks that findings have a message and a line, and that a file which parses
// without findings and is accepted as an edit leaves a table whose export parses without
// changed rows.
func FuzzCSV(f *testing.F) {
	f.Add([]byte(exportCSV(f, sampleMachine(f))))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		sheet, findings := table.ParseCSV("f", bytes.NewReader(data))
		for _, finding := range findings {
			g.Expect(finding.Message).NotTo(BeEmpty())
			g.Expect(finding.Line).To(BeNumerically(">", 0))
		}
		if len(findings) > 0 {
			return
		}
		m := sampleMachine(t)
		v := m.Preview(table.Edit{ID: "f", Seen: m.Version(), Rows: sheet.ChangedRows(m.Table())})
		if !v.Accepted || len(sheet.Rows) == 0 {
			return
		}
		data, err := table.EncodeEdit(table.Edit{ID: "f", Seen: m.Version(), Rows: sheet.Rows})
		g.Expect(err).NotTo(HaveOccurred())
		_, v, err = m.Apply(table.Record{Offset: m.Version(), Data: data})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue())
		again, findings := table.ParseCSV("f", bytes.NewReader([]byte(exportCSV(t, m))))
		g.Expect(findings).To(BeEmpty())
		g.Expect(again.Rows).To(BeEmpty())
	})
}

// FuzzRecord checks that a record of any bytes advances the version by one and leaves a
// table that obeys the rules and whose snapshot restores to the same digest.
func FuzzRecord(f *testing.F) {
	edit, err := table.EncodeEdit(table.Edit{ID: "x", Seen: 1, Rows: []table.RowEdit{
		{Row: table.Row{Kind: table.KindTier}, Name: "urgent", Base: 1, Delete: true},
		{Row: table.Row{Kind: table.KindTier, Tier: &table.Tier{Name: "n", Rank: 4}}, Name: "n"},
	}})
	NewWithT(f).Expect(err).NotTo(HaveOccurred())
	f.Add(edit)
	snapshot, err := table.EncodeSnapshot(sampleMachine(f).Snapshot())
	NewWithT(f).Expect(err).NotTo(HaveOccurred())
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		m := sampleMachine(t)
		_, _, err := m.Apply(table.Record{Offset: 1, Data: data})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(m.Version()).To(BeEquivalentTo(2))
		g.Expect(table.Validate(m.Table())).To(BeEmpty())
		expectSnapshotRestores(g, m)
	})
}

// FuzzSnapshot checks that a snapshot is either rejected without effect, or gives a table
// that obeys the rules and whose own snapshot restores to the same state.
func FuzzSnapshot(f *testing.F) {
	snapshot, err := table.EncodeSnapshot(sampleMachine(f).Snapshot())
	NewWithT(f).Expect(err).NotTo(HaveOccurred())
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		s, err := table.DecodeSnapshot(data)
		if err != nil {
			return
		}
		m := table.NewMachine()
		if m.Restore(s) != nil {
			g.Expect(m.Version()).To(BeZero())
			return
		}
		g.Expect(table.Validate(m.Table())).To(BeEmpty())
		expectSnapshotRestores(g, m)
	})
}

// expectSnapshotRestores checks that the machine's encoded snapshot restores to the same
// digest and rows.
func expectSnapshotRestores(g *WithT, m *table.Machine) {
	data, err := table.EncodeSnapshot(m.Snapshot())
	g.Expect(err).NotTo(HaveOccurred())
	s, err := table.DecodeSnapshot(data)
	g.Expect(err).NotTo(HaveOccurred())
	restored := table.NewMachine()
	g.Expect(restored.Restore(s)).To(Succeed())
	g.Expect(restored.Digest()).To(Equal(m.Digest()))
	g.Expect(restored.Table().Rows()).To(Equal(m.Table().Rows()))
}
