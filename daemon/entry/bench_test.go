package entry_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"primrosespoke.dev/daemon/fake/engine"
)

// BenchmarkAnswer measures the time of a short streamed answer through an entry and an
// agent.
func BenchmarkAnswer(b *testing.B) {
	s := startSystem(b, testTable(), 1, engine.Options{}, engine.Options{})
	var took []time.Duration
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		if a := chat(s.entries[0], "", fmt.Sprint("prompt ", i), 4, time.Minute); !a.whole {
			b.Fatalf("answer %+v", a)
		}
		took = append(took, time.Since(start))
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*95/100].Microseconds()), "p95-us")
}
