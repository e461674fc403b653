package progress_test

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/peer/progress"
)

const ms = time.Millisecond

// A call that reports at a steady pace lives for as long as Total; one that does not ends after
// First or Stall.
func TestContextEndsWithoutProgress(t *testing.T) {
	limits := progress.Limits{First: 150 * ms, Stall: 150 * ms, Total: 600 * ms}
	for name, c := range map[string]struct {
		reports  int // 30 ms apart
		from, to time.Duration
	}{
		"never":    {reports: 0, from: 140 * ms, to: 400 * ms},
		"for some": {reports: 10, from: 400 * ms, to: 590 * ms},
		"for ever": {reports: 100, from: 590 * ms, to: 900 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			begun := time.Now()
			ctx, cancel := progress.WithLimits(context.Background(), limits)
			defer cancel()
			r, w := io.Pipe()
			go func() {
				for range c.reports {
					time.Sleep(30 * ms)
					if _, err := w.Write([]byte("x")); err != nil {
						return
					}
				}
			}()
			go func() { _, _ = io.Copy(io.Discard, progress.Reader(ctx, r)) }()
			<-ctx.Done()
			r.Close()
			g.Expect(time.Since(begun)).To(And(BeNumerically(">=", c.from), BeNumerically("<=", c.to)))
			g.Expect(context.Cause(ctx)).To(Equal(progress.ErrStalled))
		})
	}
}

func TestStartedIsClosedAtTheFirstReport(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := progress.WithLimits(context.Background(), progress.Limits{First: time.Minute, Stall: time.Minute, Total: time.Minute})
	defer cancel()
	g.Expect(progress.Started(ctx)).NotTo(BeClosed())
	progress.Report(ctx)
	g.Expect(progress.Started(ctx)).To(BeClosed())
	g.Expect(progress.Started(context.Background())).To(BeNil())
	progress.Report(context.Background()) // without effect
}
