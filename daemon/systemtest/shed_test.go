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

var shedSeed = flag.Int64("shed.seed", 1, "seed of the shedding under failures")

// rankOf are the ranks of standardTable.
var rankOf = map[string]int{"notary": 0, "crew": 1, "report": 2, "backlog": 3}

// timedChat is a request with the times between which its fate was decided.
type timedChat struct {
	chat
	began, ended time.Time
}

func (t *timedChat) shed() bool {
	return t.status == http.StatusServiceUnavailable && strings.Contains(t.body, "too many requests wait")
}

// shedCluster is a deployment under load.
type shedCluster struct {
	*cluster
	random          *rand.Rand
	entries, agents []*member
	wg              sync.WaitGroup
	sent            []*timedChat
}

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

// lowerRankedRun finds a run of a lowerRankedRun tier that was in service during the whole time in
// which a request was shed. A run that was suspended at some time is left out.
func (b *shedCluster) lowerRankedRun(shed *timedChat, runs []engine.Record) string {
	for _, r := range runs {
		tier, _, _ := strings.Cut(r.RequestID, "-")
		over := r.End.IsZero() || r.End.After(shed.ended)
		if rankOf[tier] > rankOf[shed.tier] && r.Suspensions == 0 && r.Start.Before(shed.began) && over {
			return r.RequestID
		}
	}
	return ""
}

var _ = Describe("shedding under failures", func() {
	It("sheds nothing while something lower is served", func() {
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
				b.send("backlog", 300+b.random.Intn(200)) // all places, for a second or two
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

func (b *shedCluster) runs() []engine.Record {
	var runs []engine.Record
	for _, a := range b.agents {
		runs = slices.Concat(runs, records[engine.Record](a.endpointURL))
	}
	return runs
}

// running counts the runs in service.
func (b *shedCluster) running() int {
	return len(slices.DeleteFunc(b.runs(), func(r engine.Record) bool { return !r.End.IsZero() }))
}

func (b *shedCluster) check() {
	runs := b.runs()
	shed, told := map[string]int{}, map[int]int{}
	for _, t := range b.sent {
		told[t.status]++
		if t.shed() {
			shed[t.tier]++
			Expect(b.lowerRankedRun(t, runs)).To(BeEmpty(), "%s was shed", t.id)
		}
	}
	GinkgoWriter.Println("shed:", shed, "told:", told)
}
