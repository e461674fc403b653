package systemtest

import (
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/fake/engine"
)

var shedSeed = flag.Int64("shed.seed", 1, "random seed of the test of load shedding under failures")

// rankOf is the rank of each tier of standardTable.
var rankOf = map[string]int{"notary": 0, "crew": 1, "report": 2, "backlog": 3}

// timedChat is a request with the times at which it was sent and at which its response
// had ended.
type timedChat struct {
	chat
	began, ended time.Time // the request was shed, if at all, between the two
}

// shed reports whether the request was refused because too many requests wait.
func (t *timedChat) shed() bool {
	return t.status == http.StatusServiceUnavailable && strings.Contains(t.body, "too many requests wait")
}

// shedCluster is a cluster under load and the requests that were sent to it.
type shedCluster struct {
	*cluster
	random          *rand.Rand
	entries, agents []*member
	wg              sync.WaitGroup
	sent            []*timedChat
}

// send starts a request of a tier through a random entry.
func (b *shedCluster) send(tier string, tokens int) {
	n := len(b.sent)
	t := &timedChat{chat: chat{
		id: fmt.Sprintf("%s-%d", tier, n), prompt: fmt.Sprint("log ", n), tokens: tokens, tier: tier, stream: true, account: account,
	}}
	b.sent = append(b.sent, t)
	entry := b.entries[b.random.Intn(len(b.entries))]
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		t.began = time.Now()
		t.chat.send(entry)
		t.ended = time.Now()
	}()
}

// injectFailure freezes an agent for some time, or kills and restarts an agent or an entry.
func (b *shedCluster) injectFailure() {
	agent := b.agents[b.random.Intn(len(b.agents))]
	switch b.random.Intn(3) {
	case 0:
		agent.freeze()
		time.AfterFunc(time.Duration(200+b.random.Intn(2500))*time.Millisecond, agent.thaw)
	case 1:
		agent.kill()
		agent.restart()
	case 2:
		entry := b.entries[b.random.Intn(len(b.entries))]
		entry.kill()
		entry.restart()
	}
}

// lowerRankedRun returns the request ID of a run of a lower tier that was in service for
// the whole time between the sending of a request and the end of its refusal, or "" if
// there is none. Runs that were suspended at some time are left out.
func (b *shedCluster) lowerRankedRun(shed *timedChat, runs []engine.Record) string {
	for _, r := range runs {
		tier, _, _ := strings.Cut(r.RequestID, "-")
		endedLater := r.End.IsZero() || r.End.After(shed.ended)
		if rankOf[tier] > rankOf[shed.tier] && r.Suspensions == 0 && r.Start.Before(shed.began) && endedLater {
			return r.RequestID
		}
	}
	return ""
}

var _ = Describe("load shedding under failures", func() {
	It("sheds no request while a run of a lower tier is in service", func() {
		b := &shedCluster{cluster: newCluster(), random: rand.New(rand.NewSource(*shedSeed))}
		rows := standardTable()
		for i, row := range rows {
			switch {
			case row.Kind == table.KindTier:
				rows[i].Tier.Preemptible = false
				if row.Tier.Name != "backlog" {
					rows[i].Tier.QueueLimit = 3
				}
			case row.Kind == table.KindEndpoint && row.Endpoint.Name == model:
				rows[i].Endpoint.Concurrency = 2
			}
		}
		b.appendTable(rows...)
		b.entries = []*member{b.entry("entry-1", "ikorodu"), b.entry("entry-2", "epe")}
		for i := range 3 {
			b.agents = append(b.agents, b.agent(fmt.Sprint("runner-", i+1), "epe", model, "engine", "engine", "--model", model, "--step-base", "4ms"))
		}
		b.awaitReady()
		tiers := []string{"notary", "crew", "crew", "report"}
		for range 3 {
			for range 8 {
				b.send("backlog", 300+b.random.Intn(200)) // takes all places for a second or two
			}
			Eventually(b.running).WithTimeout(conditionTimeout).Should(BeNumerically(">=", 4))
			failAt := b.random.Intn(60)
			for i := range 40 {
				b.send(tiers[b.random.Intn(len(tiers))], 10+b.random.Intn(60))
				if i == failAt {
					b.injectFailure()
				}
				time.Sleep(time.Duration(b.random.Intn(40)) * time.Millisecond)
			}
			b.wg.Wait()
		}
		for range 80 {
			b.send("notary", 300)
			time.Sleep(20 * time.Millisecond)
		}
		b.wg.Wait()
		b.check()
	})
})

// runs returns the runs that all engines recorded.
func (b *shedCluster) runs() []engine.Record {
	var runs []engine.Record
	for _, a := range b.agents {
		runs = slices.Concat(runs, records[engine.Record](a.endpointURL))
	}
	return runs
}

// running returns the number of runs that have not ended.
func (b *shedCluster) running() int {
	return len(slices.DeleteFunc(b.runs(), func(r engine.Record) bool { return !r.End.IsZero() }))
}

// check checks that no request was shed while a run of a lower tier was in service.
func (b *shedCluster) check() {
	runs := b.runs()
	shed, statuses := map[string]int{}, map[int]int{}
	for _, t := range b.sent {
		statuses[t.status]++
		if t.shed() {
			shed[t.tier]++
			Expect(b.lowerRankedRun(t, runs)).To(BeEmpty(), "%s was shed while a run of a lower tier was in service", t.id)
		}
	}
	GinkgoWriter.Println("shed:", shed, "statuses:", statuses)
}
