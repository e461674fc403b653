package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// BenchmarkPlan measures a plan in a full deployment: the slots of all endpoints are
// taken by other entries, and requests wait.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ endpoints, peers, waiting int }{{12, 4, 20}, {51, 27, 40}, {51, 27, 400}, {400, 99, 40}} {
		b.Run(fmt.Sprintf("endpoints=%d/peers=%d/waiting=%d", size.endpoints, size.peers, size.waiting), func(b *testing.B) {
			rows := make([]directory.Endpoint, size.endpoints)
			report := scheduler.Report{Loads: map[string]scheduler.Load{}, Demand: map[string]int{"model": 2 * size.endpoints}}
			for i := range rows {
				rows[i] = engineEndpoint(fmt.Sprintf("i-%08x", i))
				report.Loads[rows[i].ID] = scheduler.Load{Running: 1, PromptTokens: 100}
			}
			s := newScheduler(rows...)
			for i := range size.peers {
				s.SetPeerReport(0, fmt.Sprint("front-", i), report)
			}
			for id := range uint64(size.waiting) {
				s.Enqueue(streamRequest(id, 0))
			}
			b.ResetTimer()
			for b.Loop() {
				s.Plan(10 * time.Millisecond)
			}
		})
	}
}
