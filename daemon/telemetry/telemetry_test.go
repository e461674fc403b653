package telemetry_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/telemetry"
)

func TestLoggerWritesEachEventAsOneLineOfPairs(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "info")
	g.Expect(err).NotTo(HaveOccurred())
	log.Debug().Msg("hidden")
	log.Warn().Str("request_id", "r 1").Int("attempt", 2).Str("b", "x\ny").Str("a", "plain").Msg("dispatch_refused")
	g.Expect(out.String()).To(MatchRegexp(
		`^time=\S+ level=warn event=dispatch_refused request_id="r 1" attempt=2 a=plain b="x\\ny"\n$`))
}

func TestMetricsHandlerServesRecordedValues(t *testing.T) {
	g := NewWithT(t)
	m, err := telemetry.NewMetrics()
	g.Expect(err).NotTo(HaveOccurred())
	counter, err := m.Meter.Int64Counter("primrosespoke_refusals")
	g.Expect(err).NotTo(HaveOccurred())
	counter.Add(context.Background(), 3)
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	g.Expect(w.Body.String()).To(ContainSubstring("primrosespoke_refusals_total 3"))
}

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.out.Write(p)
}

func TestAsyncWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	g := NewWithT(t)
	slow := &blockedWriter{unblock: make(chan struct{})}
	w := telemetry.NewAsyncWriter(slow)
	line := bytes.Repeat([]byte("x"), 100)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 20_000 {
			_, err := w.Write(append(line, '\n'))
			g.Expect(err).NotTo(HaveOccurred())
		}
	}()
	g.Eventually(written, "5s").Should(BeClosed())
	close(slow.unblock)
	w.Close()
	g.Expect(slow.out.String()).To(ContainSubstring("event=log_lines_dropped count="))
	g.Expect(bytes.Count(slow.out.Bytes(), line)).To(BeNumerically("<", 20_000))
}

// Guards against a panic of a goroutine that logs while its process ends.
func TestAsyncWriterIgnoresLinesAfterClose(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := telemetry.NewAsyncWriter(&out)
	_, err := w.Write([]byte("before\n"))
	g.Expect(err).NotTo(HaveOccurred())
	w.Close()
	_, err = w.Write([]byte("after\n"))
	g.Expect(err).NotTo(HaveOccurred())
	w.Close()
	g.Expect(out.String()).To(Equal("before\n"))
}
