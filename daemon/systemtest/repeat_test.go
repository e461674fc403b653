package systemtest

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/fake/engine"
)

var _ = Describe("a request ID repeated through two entries", func() {
	It("never has two executions at a time, also when entries and agents are killed", func() {
		c := newCluster()
		c.appendTable(standardTable()...)
		entries := []*member{c.entry("entry-1", "ikorodu"), c.entry("entry-2", "epe")}
		var agents []*member
		for i := range 3 {
			agents = append(agents, c.agent(fmt.Sprint("runner-", i+1), "epe", model, "engine", "engine", "--model", model, "--step-base", "3ms"))
		}
		c.awaitReady()
		random := rand.New(rand.NewSource(*bookingSeed))
		const ids = 60
		chats := make([]*chat, 0, 2*ids)
		var wg sync.WaitGroup
		for i := range ids {
			for n := range 2 {
				sent := &chat{
					id: fmt.Sprint("repeat-", i), prompt: fmt.Sprint("log ", i), tokens: 20, tier: "crew",
					stream: i%2 == 0, account: account,
				}
				chats = append(chats, sent)
				delay := time.Duration(random.Intn(2)*random.Intn(3000)) * time.Millisecond
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(delay)
					sent.send(entries[(i+n)%2])
				}()
			}
			if random.Intn(15) == 0 {
				m := append(entries, agents...)[random.Intn(5)]
				m.kill()
				m.restart()
			}
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		executed := map[string][]engine.Record{}
		for _, a := range agents {
			for _, r := range records[engine.Record](a.endpointURL) {
				executed[r.RequestID] = append(executed[r.RequestID], r)
			}
		}
		for id, runs := range executed {
			expectSequentialRuns(id, runs)
		}
		statuses := map[int]int{}
		for _, sent := range chats {
			statuses[sent.status]++
			if sent.err != nil || sent.status != http.StatusOK {
				continue
			}
			// A stream that is cut ends with an error event or a broken connection.
			text, complete := sent.text()
			Expect(complete && text != sent.expected(sent.id)).To(BeFalse(), sent.id)
		}
		GinkgoWriter.Println("repeats: executed", len(executed), "statuses", statuses)
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 0))
	})
})

// expectSequentialRuns checks that each run of a request ID began only after the
// previous one had ended at its engine. DESIGN.md, decision 2, allows a further attempt
// of a submission after that, for example if an agent dies before it has passed on the
// answer of a run.
func expectSequentialRuns(id string, runs []engine.Record) {
	slices.SortFunc(runs, func(a, b engine.Record) int { return a.Start.Compare(b.Start) })
	for i, r := range runs[1:] {
		previous := runs[i]
		ended := !previous.End.IsZero() && !previous.End.After(r.Start)
		Expect(ended).To(BeTrue(), "%s started again before its previous run had ended: %+v, then %+v", id, previous, r)
	}
}
