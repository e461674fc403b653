package systemtest

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/fake/engine"
)

// seeds returns the random seeds to run: those that the environment variable
// SYSTEMTEST_SEEDS=FROM-TO gives, or a few for a short run in CI.
func seeds() []int64 {
	from, to, ok := strings.Cut(os.Getenv("SYSTEMTEST_SEEDS"), "-")
	if !ok {
		return []int64{1, 2, 3}
	}
	first, err := strconv.ParseInt(from, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	last, err := strconv.ParseInt(to, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	var all []int64
	for s := first; s <= last; s++ {
		all = append(all, s)
	}
	return all
}

// Size of one randomised run, and how long the engines may take to end all
// executions after it.
const (
	runLength      = 8 * time.Second
	runRequests    = 120
	runFailures    = 7
	runDeadlineMS  = 15000
	quiesceTimeout = 90 * time.Second
)

// outcome returns the machine-readable outcome in an error response.
func (c *chat) outcome() string {
	var problem struct{ Outcome string }
	_ = json.Unmarshal([]byte(c.body), &problem)
	return problem.Outcome
}

// detail returns the reason in an error response.
func (c *chat) detail() string {
	var problem struct{ Detail string }
	_ = json.Unmarshal([]byte(c.body), &problem)
	return problem.Detail
}

// executions returns what all engines executed, by request ID.
func executions(agents []*member) map[string][]engine.Record {
	byID := map[string][]engine.Record{}
	for _, a := range agents {
		for _, r := range records[engine.Record](a.endpointURL) {
			byID[r.RequestID] = append(byID[r.RequestID], r)
		}
	}
	return byID
}

// checkResponses compares the responses that callers received with what the engines
// executed. The outcome in an error response is about one call: if several calls have
// the same ID, some may get "not_run" although another one ran, but not all of them.
func checkResponses(sent []*chat, executed map[string][]engine.Record) {
	notRun := map[string]bool{}
	for _, c := range sent {
		reportedNotRun := c.err == nil && c.status != http.StatusOK && c.outcome() == "not_run"
		earlier, repeated := notRun[c.id]
		notRun[c.id] = reportedNotRun && (earlier || !repeated)
	}
	for _, c := range sent {
		runs := executed[c.id]
		about := fmt.Sprintf("%s: status %d err %v outcome %q runs %+v body %.200q", c.id, c.status, c.err, c.outcome(), runs, c.body)
		expectNoOverlap(runs, about)
		if c.err != nil {
			continue // the entry died or cut the answer, and the caller noticed
		}
		if c.status == http.StatusOK {
			text, complete := c.text()
			if complete {
				Expect(text).To(Equal(c.expected(c.id)), about)
				Expect(runs).NotTo(BeEmpty(), about)
			} else {
				Expect(c.body).To(ContainSubstring("error"), about)
			}
			continue
		}
		Expect(c.outcome()).To(BeElementOf("not_run", "may_have_run", "ran"), about)
		if notRun[c.id] {
			Expect(runs).To(BeEmpty(), about)
		}
	}
}

// expectNoOverlap checks that the executions of one request ID do not overlap in time.
func expectNoOverlap(runs []engine.Record, about string) {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			disjoint := !a.End.IsZero() && !a.End.After(b.Start) || !b.End.IsZero() && !b.End.After(a.Start)
			Expect(disjoint).To(BeTrue(), about)
		}
	}
}

// unfinished returns the executions that are running or suspended.
func unfinished(agents []*member) []engine.Record {
	var open []engine.Record
	for _, a := range agents {
		for _, r := range records[engine.Record](a.endpointURL) {
			if r.State == "running" || r.State == "suspended" {
				open = append(open, r)
			}
		}
	}
	return open
}

var _ = Describe("randomised runs of real processes", func() {
	It("bring callers of models correct answers or errors with correct outcomes", func() {
		for _, seed := range seeds() {
			fmt.Fprintf(GinkgoWriter, "seed %d\n", seed)
			runRandomFailures(seed)
		}
	})
})

// runRandomFailures sends random requests while random failures occur, waits until all
// executions have ended, and checks the responses.
func runRandomFailures(seed int64) {
	rng := rand.New(rand.NewSource(seed))
	m := newMesh(2, func(c *cluster) []*member {
		var agents []*member
		for i := range 3 {
			agents = append(agents, c.agent(fmt.Sprintf("runner-%d", i+1), "domain-1", model, "engine",
				"engine", "--model", model, "--step-base", fmt.Sprintf("%dms", 2+4*i), "--max-batch", "8"))
		}
		return agents
	})
	var sent []*chat
	var wg sync.WaitGroup
	send := func(c *chat, entry *member, at time.Duration) {
		sent = append(sent, c)
		wg.Go(func() {
			time.Sleep(at)
			c.send(entry)
		})
	}
	for i := range runRequests {
		c := &chat{
			id: fmt.Sprintf("s%d-%d", seed, i), prompt: fmt.Sprintf("log %d", rng.Intn(9)), tokens: 1 + rng.Intn(300),
			tier: []string{"notary", "crew", "report", "backlog"}[rng.Intn(4)], stream: rng.Intn(3) != 0,
			account: fmt.Sprintf("crew-%d", 1+rng.Intn(5)), deadlineMS: runDeadlineMS,
		}
		if i%2 == 0 {
			c.id = "" // the entry chooses an ID
		}
		first := rng.Intn(len(m.entries))
		at := time.Duration(rng.Int63n(int64(runLength)))
		send(c, m.entries[first], at)
		if i%8 == 1 { // the caller repeats the request through the other entry, at once or later
			again := *c
			other := m.entries[(first+1)%len(m.entries)]
			send(&again, other, at+time.Duration(rng.Int63n(int64(2*time.Second))))
		}
	}
	injectFailures(m.randomFailures(rng, runFailures, runLength))
	m.heal()
	wg.Wait()
	Eventually(func() []engine.Record { return unfinished(m.agents) }).WithTimeout(quiesceTimeout).
		WithPolling(100*time.Millisecond).Should(BeEmpty(), "executions that have not ended, seed %d", seed)
	checkResponses(sent, executions(m.agents))
	reportRun(seed, sent)
	m.killAll()
}

// reportRun prints how many callers of a run got which result.
func reportRun(seed int64, sent []*chat) {
	counts := map[string]int{}
	for _, c := range sent {
		switch {
		case c.err != nil:
			counts["connection lost"]++
		case c.status == http.StatusOK:
			counts["answered"]++
		default:
			counts[fmt.Sprint(c.status, " ", c.outcome(), " ", c.detail())]++
		}
	}
	fmt.Fprintf(GinkgoWriter, "seed %d: %v\n", seed, counts)
}
