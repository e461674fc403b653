package emulate

import (
	"testing"

	"github.com/alecthomas/kong"
	. "github.com/onsi/gomega"
)

func TestFlagsOfEmulateAndLoadAreParsed(t *testing.T) {
	g := NewWithT(t)
	var root struct {
		Emulate Command     `cmd:""`
		Load    LoadCommand `cmd:""`
	}
	parser, err := kong.New(&root)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = parser.Parse([]string{"emulate", "engine", "--step-base=3ms", "--max-batch=4", "--listen=127.0.0.1:0"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(root.Emulate.Engine.MaxBatch).To(Equal(4))
	_, err = parser.Parse([]string{"load", "http://127.0.0.1:1", "--tier=urgent,batch", "--key=a=secret"})
	g.Expect(err).NotTo(HaveOccurred())
	mix, err := root.Load.mix()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(mix.Classes).To(HaveLen(2))
	g.Expect(mix.Accounts[0].Key).To(Equal("secret"))
}
