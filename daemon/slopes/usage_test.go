package slopes

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

func TestTrafficIsSummedByProcessAndUsageIsRead(t *testing.T) {
	g := NewWithT(t)
	text := "ESTAB 0 0 127.0.0.1:1 127.0.0.1:2 users:((\"a\",pid=7,fd=3))\n" +
		"\t cubic bytes_sent:10 bytes_acked:10 bytes_received:5 data_segs_out:2\n" +
		"ESTAB 0 0 127.0.0.1:3 127.0.0.1:4\n\t cubic bytes_sent:100\n" +
		"ESTAB 0 0 127.0.0.1:5 127.0.0.1:6 users:((\"a\",pid=7,fd=4))\n\t cubic bytes_sent:1\n"
	g.Expect(ParseSocketTraffic([]byte(text))[7]).To(Equal(Traffic{Bytes: 16, Segments: 2}))
	usage, err := ReadUsage(os.Getpid())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(usage.ResidentBytes).To(BeNumerically(">", 1<<20))
}
