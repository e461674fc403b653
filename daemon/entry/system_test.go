package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/agent"
	"primrosespoke.dev/daemon/entry"
	"primrosespoke.dev/daemon/fake/engine"
)

// system is a set of entries and agents in this process, with simulated engines.
type system struct {
	entries []*entry.Entry
	engines []*engine.Engine

	mu        sync.Mutex
	instances []membership.Instance
}

func (s *system) members() membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return membership.NewView(s.instances)
}

// addInstance adds a live instance to the instance list.
func (s *system) addInstance(i membership.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.State = membership.StateLive
	s.instances = append(s.instances, i)
}

// startSystem starts one agent per engine, and the entries.
func startSystem(t testing.TB, rows *table.Table, entries int, engines ...engine.Options) *system {
	t.Helper()
	s := &system{}
	readTable := func() *table.Table { return rows }
	for i, options := range engines {
		options.Model = "norte"
		fake := engine.New(options)
		server := httptest.NewServer(fake)
		t.Cleanup(server.Close)
		s.engines = append(s.engines, fake)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		a, err := agent.New(agent.Config{
			ID: fmt.Sprint("agent-", i), Address: listener.Addr().String(), Listener: listener, Pool: "norte",
			Kind: table.EndpointEngine, EndpointURL: server.URL, Table: readTable, Members: s.members, Log: zerolog.Nop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		s.addInstance(membership.Instance{ID: fmt.Sprint("agent-", i), Role: membership.RoleAgent, Pool: "norte", Address: listener.Addr().String()})
		serveUntilCleanup(t, a.Run)
	}
	for i := range entries {
		e := startEntry(t, func(c *entry.Config) {
			c.ID, c.Seed, c.Table, c.Members = fmt.Sprint("entry-", i), int64(i), readTable, s.members
		})
		s.entries = append(s.entries, e)
		s.addInstance(membership.Instance{ID: fmt.Sprint("entry-", i), Role: membership.RoleEntry, Address: e.InternalAddress()})
	}
	return s
}

// executions returns the runs of a request in all engines, ordered by start.
func (s *system) executions(id string) []engine.Record {
	var runs []engine.Record
	for _, e := range s.engines {
		for _, r := range e.Records() {
			if r.RequestID == id {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b engine.Record) int { return a.Start.Compare(b.Start) })
	return runs
}

// callerResult is the answer that a caller received.
type callerResult struct {
	id      string
	status  int
	outcome string
	text    string
	whole   bool // the answer ended cleanly with its last event
}

// chat sends a request for a streamed answer and reads it.
func chat(e *entry.Entry, id, prompt string, tokens int, deadline time.Duration) callerResult {
	body, _ := json.Marshal(map[string]any{
		"model": "norte", "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	req, _ := http.NewRequest("POST", "http://"+e.CallerAddress()+chatPath, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+validKey)
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResult{id: id}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	answer := callerResult{id: id, status: resp.StatusCode, outcome: resp.Header.Get("X-Outcome")}
	var text strings.Builder
	for line := range strings.Lines(string(data)) {
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &event) == nil && len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	answer.text = text.String()
	answer.whole = err == nil && strings.HasSuffix(string(data), "data: [DONE]\n\n")
	return answer
}

// expectedText returns the text that the engines generate for a request.
func expectedText(id, prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(engine.Content(id, prompt, n+1))
	}
	return text.String()
}

// Requests go through two entries, about two thirds of them concurrently through both
// with the same ID, to engines that interrupt, overlap, skip and lose streams. The engines'
// records and the callers' answers must agree: no request runs twice at once or after a
// whole run, every answer is whole or a prefix, and the outcomes reported to callers
// match the runs.
func TestFaultyEnginesYieldNoDuplicateRunsOrWrongAnswers(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testMixedLoad(t, seed) })
	}
}

func testMixedLoad(t *testing.T, seed int64) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	rng := rand.New(rand.NewSource(seed))
	s := startSystem(t, testTable(), 2,
		engine.Options{StepBase: time.Millisecond, Seed: seed}, engine.Options{StepBase: 3 * time.Millisecond, Seed: seed})
	s.engines[0].SetFaults(engine.Faults{CutAfter: 1 + rng.Intn(9), ResumeShift: rng.Intn(5) - 2, Times: 40})
	s.engines[1].SetFaults(engine.Faults{EndEarly: 1 + rng.Intn(9), Times: 15})
	const requests = 90
	answers := make(chan callerResult, 2*requests)
	var callers sync.WaitGroup
	expect := map[string]string{}
	for i := range requests {
		id, prompt, tokens := fmt.Sprint("mixed-", seed, "-", i), fmt.Sprint("log of session ", i), 1+rng.Intn(30)
		expect[id] = expectedText(id, prompt, tokens)
		deadline := 20 * time.Second
		if rng.Intn(10) == 0 {
			deadline = time.Duration(1+rng.Intn(30)) * time.Millisecond
		}
		through := s.entries[rng.Intn(2) : 1+rng.Intn(2)]
		if len(through) == 0 || rng.Intn(3) == 0 {
			through = s.entries
		}
		for _, e := range through {
			callers.Go(func() { answers <- chat(e, id, prompt, tokens, deadline) })
		}
	}
	callers.Wait()
	close(answers)
	counts := map[string]int{}
	reported := map[string][]string{}
	for a := range answers {
		switch {
		case a.whole:
			counts["whole"]++
			g.Expect(a.text).To(Equal(expect[a.id]), a.id)
			reported[a.id] = append(reported[a.id], "whole")
		case a.status == 200:
			counts["partial"]++
			g.Expect(strings.HasPrefix(expect[a.id], a.text)).To(BeTrue(), "%s: %q is no prefix of %q", a.id, a.text, expect[a.id])
			reported[a.id] = append(reported[a.id], "partial")
		default:
			counts[fmt.Sprint(a.status, " ", a.outcome)]++
			reported[a.id] = append(reported[a.id], a.outcome)
		}
	}
	t.Logf("seed %d: %v", seed, counts)
	for id, outcomes := range reported {
		runs := s.executions(id)
		n := len(runs)
		for i := 1; i < n; i++ {
			ended := !runs[i-1].End.IsZero() && !runs[i-1].End.After(runs[i].Start)
			g.Expect(ended).To(BeTrue(), "%s: run %d starts before the previous one has ended", id, i+1)
			g.Expect(runs[i-1].State).NotTo(Equal("ended"), "%s: runs again after a complete run", id)
		}
		if len(outcomes) == 1 && outcomes[0] == "not_run" {
			g.Expect(n).To(BeZero(), "%s was told not_run", id)
		}
		for _, outcome := range outcomes {
			if outcome == "ran" || outcome == "whole" || outcome == "partial" {
				g.Expect(n).To(BeNumerically(">", 0), "%s was told %s", id, outcome)
			}
		}
	}
	g.Expect(counts["whole"]).To(BeNumerically(">", requests/2))
}

// The test also logs the rate that two entries admit together, to compare it with the
// limit.
func TestTwoEntriesKeepAccountWithinLimit(t *testing.T) {
	checkGoroutineLeaks(t)
	g := NewWithT(t)
	rows := testTable()
	limited := rows.Accounts["geodesia"]
	limited.RequestsPerSecond = 50
	rows.Accounts["geodesia"] = limited
	s := startSystem(t, rows, 2, engine.Options{})
	start := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
	defer stop()
	var callers sync.WaitGroup
	var mu sync.Mutex
	admitted := 0
	for i := range 8 {
		callers.Go(func() {
			for ctx.Err() == nil {
				e := s.entries[min(i, 1)] // one caller at the first entry, seven at the second
				if a := chat(e, "", "x", 1, time.Minute); a.status == 200 {
					mu.Lock()
					admitted++
					mu.Unlock()
				} else {
					time.Sleep(5 * time.Millisecond) // the caller ignores Retry-After
				}
			}
		})
	}
	callers.Wait()
	took := time.Since(start).Seconds()
	t.Logf("limit 50/s through 2 entries, 1:7 callers: %d admitted in %.1f s = %.1f/s", admitted, took, float64(admitted)/took)
	g.Expect(float64(admitted)).To(BeNumerically("<=", 50*(took+1)+2))
}
