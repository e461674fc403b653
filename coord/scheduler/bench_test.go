package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/scheduler"
)

// BenchmarkPlan measures a plan in a full deployment: the slots of all endpoints, or of every second
// one, are taken by other entries, and requests wait. With free slots each plan places what fits, so
// the requests are queued anew.
func BenchmarkPlan(b *testing.B) {
	benchmarkPlan(b, func(*scheduler.Scheduler, []directory.Endpoint) {})
}

// BenchmarkPlanStated measures the same with engines that state their load and pace.
func BenchmarkPlanStated(b *testing.B) {
	benchmarkPlan(b, func(s *scheduler.Scheduler, rows []directory.Endpoint) {
		for i, e := range rows {
			s.ObserveStatement(time.Millisecond, e.ID, e.Born, scheduler.Statement{Running: 1 + i%2, Slots: 2, Pace: 1 + float64(i%3), HasPace: true})
		}
	})
}

// BenchmarkPlanMemory measures the same with engines whose memory bounds what is sent there: ample, or so
// little that requests wait for it.
func BenchmarkPlanMemory(b *testing.B) {
	for name, tokens := range map[string]int{"ample": 444_000, "scarce": 4000} {
		b.Run(name, func(b *testing.B) {
			benchmarkPlan(b, func(s *scheduler.Scheduler, rows []directory.Endpoint) {
				s.SetServices(map[string]scheduler.ServiceInfo{"model": {Slots: 2, Engine: true, EventTokens: 6, MemoryTokens: tokens}})
				s.ObserveStatement(time.Millisecond, rows[0].ID, rows[0].Born, scheduler.Statement{Running: 1, Slots: 2, Pace: 1, HasPace: true})
			})
		})
	}
}

func benchmarkPlan(b *testing.B, prepare func(*scheduler.Scheduler, []directory.Endpoint)) {
	for _, size := range []struct {
		endpoints, peers, waiting int
		half                      bool
	}{
		{12, 4, 20, false},
		{51, 27, 40, false},
		{51, 27, 400, false},
		{400, 99, 40, false},
		{12, 4, 400, true},
		{51, 27, 400, true},
		{51, 99, 400, true},
		{400, 99, 400, true},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/peers=%d/waiting=%d/half_free=%t", size.endpoints, size.peers, size.waiting, size.half), func(b *testing.B) {
			rows := make([]directory.Endpoint, size.endpoints)
			report := scheduler.Report{Loads: map[string]scheduler.Load{}, Demand: map[string]int{"model": 2 * size.endpoints}}
			for i := range rows {
				rows[i] = engineEndpoint(fmt.Sprintf("i-%08x", i))
				rows[i].FailureDomain = fmt.Sprint("domain-", i%4)
				if !size.half || i%2 == 0 {
					report.Loads[rows[i].ID] = scheduler.Load{Running: 1, PromptTokens: 100}
				}
			}
			fill := func() *scheduler.Scheduler {
				s := newScheduler(rows...)
				for i := range size.peers {
					s.SetPeerReport(0, fmt.Sprint("front-", i), report)
				}
				for id := range uint64(size.waiting) {
					s.Enqueue(streamRequest(id, 0))
				}
				prepare(s, rows)
				return s
			}
			s := fill()
			b.ResetTimer()
			for b.Loop() {
				if size.half {
					b.StopTimer()
					s = fill()
					b.StartTimer()
				}
				s.Plan(10 * time.Millisecond)
			}
		})
	}
}
