package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/load"
)

const (
	settleTime  = 3 * time.Second
	measureTime = 10 * time.Second
)

// BenchmarkIdle measures processes that get no requests, by the number of entries and agents.
func BenchmarkIdle(b *testing.B) {
	for _, size := range [][2]int{{1, 2}, {1, 4}, {1, 8}, {1, 16}, {1, 32}, {2, 16}, {4, 16}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size[0], size[1]), func(b *testing.B) {
			c := newCluster(b, size[0], size[1], 10, engine.Options{})
			c.measureIdle()
		})
	}
}

func (c *cluster) measureIdle() {
	time.Sleep(settleTime)
	_, readsBefore := c.logServer.Counts()
	from := c.sample()
	time.Sleep(measureTime)
	to := c.sample()
	_, reads := c.logServer.Counts()
	c.report("entry", c.entries, from, to)
	c.report("agent", c.agents, from, to)
	c.bench.ReportMetric(float64(reads-readsBefore)/measureTime.Seconds(), "log-reads/s")
}

// BenchmarkAccounts measures the memory of idle processes by the number of client
// accounts, and the longest time until a table edit has reached every process.
func BenchmarkAccounts(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000, 2600} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			c := newCluster(b, 2, 16, accounts, engine.Options{})
			c.measureIdle()
			var slowest time.Duration
			for n := range 20 {
				slowest = max(slowest, c.timePropagation(n))
			}
			b.ReportMetric(float64(slowest.Milliseconds()), "slowest-change-ms")
		})
	}
}

// timePropagation edits the table and returns the time until every process has the edit.
func (c *cluster) timePropagation(n int) time.Duration {
	edit := table.Edit{ID: fmt.Sprint("edit-", n), Editor: "slopes"}
	tier := table.Tier{Name: fmt.Sprint("tier-", n), Rank: n + 1}
	edit.Rows = []table.RowEdit{{Row: table.Row{Kind: table.KindTier, Tier: &tier}, Name: tier.Name}}
	start := time.Now()
	version := c.append(edit) + 1
	for _, p := range append(c.entries, c.agents...) {
		for c.tableVersion(p) < version {
			time.Sleep(2 * time.Millisecond)
			if time.Since(start) > time.Minute {
				c.bench.Fatal(p.ID, "does not get the table edit")
			}
		}
	}
	return time.Since(start)
}

func (c *cluster) tableVersion(p *process) int64 {
	resp, err := http.Get("http://" + p.operatorAddress + "/v1/dump")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	var dump struct {
		Version int64 `json:"table_version"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&dump)
	return dump.Version
}

func newMix(tokens int) load.Mix {
	return load.Mix{
		Model:    "model",
		Accounts: []load.Account{{Name: "account-0", Key: keyPrefix + "0", Share: 1}},
		Classes: []load.Class{{
			Tier: "standard", Share: 1, Deadline: time.Minute,
			Prompt: load.Range{Min: 100, Max: 100}, Tokens: load.Range{Min: tokens, Max: tokens},
		}},
	}
}

// BenchmarkStreams measures one entry and one agent by the number of concurrent streams,
// each with a token every 200 ms.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			const length = 75 // tokens, which take 15 s
			c := newCluster(b, 1, 1, 10, engine.Options{StepBase: 200 * time.Millisecond, PrefillChunk: 1 << 20, MaxBatch: 4096, KVTokens: 1 << 30})
			plan := load.NewPlan(newMix(length), load.Constant(float64(streams)), time.Second, 1)
			ctx := context.Background()
			var results []load.Result
			done := make(chan struct{})
			go func() {
				defer close(done)
				results = load.Run(ctx, plan, load.Target{URLs: []string{"http://" + c.entries[0].callerAddress}})
			}()
			time.Sleep(settleTime)
			from := c.sample()
			time.Sleep(measureTime / 2)
			to := c.sample()
			tokens := float64(to.tokens-from.tokens) / to.at.Sub(from.at).Seconds()
			<-done
			b.ReportMetric(tokens, "tokens/s")
			c.report("entry", c.entries, from, to)
			c.report("agent", c.agents, from, to)
			whole := 0
			for _, r := range results {
				if r.Whole {
					whole++
				}
			}
			b.ReportMetric(float64(whole), "whole")
			b.ReportMetric(float64(len(results)), "asked")
		})
	}
}

// BenchmarkLatency compares the latency of one-token requests sent directly to the engine
// with that of the same requests sent through an entry and an agent.
func BenchmarkLatency(b *testing.B) {
	for _, rate := range []float64{100, 1000} {
		for _, path := range []string{"direct", "through"} {
			b.Run(fmt.Sprintf("%s/%g", path, rate), func(b *testing.B) {
				c := newCluster(b, 1, 2, 10, engine.Options{MaxBatch: 4096, KVTokens: 1 << 30})
				target := load.Target{URLs: []string{"http://" + c.entries[0].callerAddress}}
				if path == "direct" {
					target = load.Target{URLs: []string{c.engineURL}, ChooseIDs: true}
				}
				load.Run(context.Background(), load.NewPlan(newMix(1), load.Constant(rate), time.Second, 2), target)
				plan := load.NewPlan(newMix(1), load.Constant(rate), measureTime, 1)
				from := c.sample()
				results := load.Run(context.Background(), plan, target)
				to := c.sample()
				var totals []time.Duration
				for _, r := range results {
					if r.Whole {
						totals = append(totals, r.Total)
					}
				}
				for _, q := range []float64{0.5, 0.95, 0.99} {
					b.ReportMetric(float64(load.Quantile(totals, q).Microseconds()), fmt.Sprintf("p%g-us", 100*q))
				}
				b.ReportMetric(float64(len(totals))/float64(len(results)), "whole-share")
				c.report("entry", c.entries, from, to)
				c.report("agent", c.agents, from, to)
			})
		}
	}
}

// BenchmarkList measures the cost of polling the instance list by its number of rows.
// The added rows are leaving agents of another pool, which no process connects to.
func BenchmarkList(b *testing.B) {
	for _, rows := range []int{0, 100, 1000, 3080} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			c := newCluster(b, 1, 2, 10, engine.Options{})
			for i := range rows {
				c.instanceList.Set(membership.Instance{
					ID: fmt.Sprint("runner-", i), Role: membership.RoleAgent, Pool: "other",
					Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), FailureDomain: "oviedo-b", State: membership.StateLeaving,
				})
			}
			c.measureIdle()
		})
	}
}

// BenchmarkClaims measures the appends to and reads of the log at 100 non-idempotent
// requests a second, by the number of agents of a service.
func BenchmarkClaims(b *testing.B) {
	for _, agents := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			c := newPoolCluster(b, "desk", 1, agents, 10, engine.Options{})
			bookings := newMix(1)
			bookings.Classes[0].Service = "desk"
			plan := load.NewPlan(bookings, load.Constant(100), measureTime, 1)
			appends, reads := c.logServer.Counts()
			from := c.sample()
			results := load.Run(context.Background(), plan, load.Target{URLs: []string{"http://" + c.entries[0].callerAddress}})
			to := c.sample()
			appendsAfter, readsAfter := c.logServer.Counts()
			seconds := to.at.Sub(from.at).Seconds()
			c.report("agent", c.agents, from, to)
			b.ReportMetric(float64(appendsAfter-appends)/seconds, "appends/s")
			b.ReportMetric(float64(readsAfter-reads)/seconds, "log-reads/s")
			report := load.Summarise(plan, results, nil)
			b.ReportMetric(report.All.Goodput, "whole-share")
			b.ReportMetric(float64(report.All.TotalP99.Milliseconds()), "p99-ms")
		})
	}
}

// BenchmarkReservations measures the cost by the number of reservations of a request, at
// 100 one-token requests a second.
func BenchmarkReservations(b *testing.B) {
	for n := 1; n <= 3; n++ {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			opts := engine.Options{MaxBatch: 4096, KVTokens: 1 << 30}
			c := newPoolCluster(b, "model", 1, 4, 10, opts, "--set", fmt.Sprint("entry.reservations=", n))
			plan := load.NewPlan(newMix(1), load.Constant(100), measureTime, 1)
			from := c.sample()
			results := load.Run(context.Background(), plan, load.Target{URLs: []string{"http://" + c.entries[0].callerAddress}})
			to := c.sample()
			c.report("entry", c.entries, from, to)
			c.report("agent", c.agents, from, to)
			b.ReportMetric(load.Summarise(plan, results, nil).All.Goodput, "whole-share")
		})
	}
}
