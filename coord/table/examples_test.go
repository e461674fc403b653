package table_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/table"
)

func TestExampleTablesAreAcceptedByAnEmptyTable(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("../../examples/*/table.csv")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(2))
	for _, file := range files {
		in, err := os.Open(file)
		g.Expect(err).NotTo(HaveOccurred())
		sheet, findings := table.ParseCSV(file, in)
		in.Close()
		g.Expect(findings).To(BeEmpty(), file)
		verdict := table.NewMachine().Preview(table.Edit{ID: "first", Rows: sheet.All()})
		g.Expect(verdict.Accepted).To(BeTrue(), "%+v", verdict)
	}
}
