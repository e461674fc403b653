package table_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/table"
)

// BenchmarkApply measures how long it takes to apply an edit of one row to a table of
// many accounts. It also reports the memory that the table takes and the size of a snapshot.
func BenchmarkApply(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000, 2600} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			g := NewWithT(b)
			before := heapBytes()
			m := table.NewMachine()
			apply := func(e table.Edit) {
				data, err := table.EncodeEdit(e)
				g.Expect(err).NotTo(HaveOccurred())
				_, v, err := m.Apply(table.Record{Offset: m.Version(), Data: data})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(v.Findings).To(BeEmpty())
				g.Expect(v.Accepted).To(BeTrue())
			}
			fill := table.Edit{ID: "fill", Rows: []table.RowEdit{{
				Row: table.Row{Kind: table.KindTier, Tier: &table.Tier{Name: "t"}}, Name: "t",
			}}}
			for i := range accounts {
				fill.Rows = append(fill.Rows, accountEdit(i, 1, 0))
			}
			apply(fill)
			fill = table.Edit{}
			held := heapBytes() - before
			for i := 0; b.Loop(); i++ {
				row := accountEdit(i%accounts, float64(2+i), 0)
				row.Base = m.Table().RowVersion(row.Key())
				apply(table.Edit{ID: fmt.Sprint(i), Seen: m.Version(), Rows: []table.RowEdit{row}})
			}
			b.ReportMetric(float64(held)/1024, "KB-held")
			data, err := table.EncodeSnapshot(m.Snapshot())
			g.Expect(err).NotTo(HaveOccurred())
			b.ReportMetric(float64(len(data))/1024, "KB-snapshot")
		})
	}
}

func accountEdit(i int, weight float64, base int64) table.RowEdit {
	name := fmt.Sprint("account-", i)
	return table.RowEdit{Name: name, Base: base, Row: table.Row{Kind: table.KindAccount, Account: &table.Account{
		Name: name, KeyDigest: fmt.Sprintf("%064x", i), Tiers: []string{"t"}, Weight: weight,
	}}}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
