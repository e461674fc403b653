package systemtest

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/fake/service"
)

var bookingSeed = flag.Int64("booking.seed", 1, "random seed of the test of bookings under failures")

// booking is one booking request and the response that its caller received.
type booking struct {
	id, key string
	status  int
	outcome string
	body    string
	err     error
}

func (b *booking) send(entry *member) {
	ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	url := "http://" + entry.caller + "/services/" + desk + "/bookings"
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("pen "+b.key))
	req.Header.Set("Authorization", "Bearer "+keyPrefix+account)
	req.Header.Set("X-Request-Id", b.id)
	req.Header.Set("Idempotency-Key", b.key)
	req.Header.Set("X-Deadline-Ms", "4000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.err = err
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	b.status, b.body, b.err = resp.StatusCode, string(data), err
	for _, outcome := range []string{"may_have_run", "not_run", "ran"} {
		if b.outcome == "" && resp.StatusCode >= 400 && strings.Contains(b.body, `"`+outcome+`"`) {
			b.outcome = outcome
		}
	}
}

// bookingCluster has two entries and three agents, each agent with a booking service of its own.
type bookingCluster struct {
	*cluster
	random          *rand.Rand
	entries, agents []*member
}

// injectFailure injects one random failure. A killed process is restarted at once;
// a frozen one continues, and an outage of the log ends, some time later.
func (d *bookingCluster) injectFailure() {
	agent := d.agents[d.random.Intn(len(d.agents))]
	entry := d.entries[d.random.Intn(len(d.entries))]
	switch d.random.Intn(7) {
	case 0:
		agent.kill()
		agent.restart()
	case 1:
		entry.kill()
		entry.restart()
	case 2:
		agent.freeze()
		time.AfterFunc(time.Duration(500+d.random.Intn(4000))*time.Millisecond, agent.thaw)
	case 3:
		setFaults(d.logURL, map[string]any{"lose_answers": 2, "duplicate_appends": 1})
	case 4:
		setFaults(d.logURL, map[string]any{"outage": true})
		time.AfterFunc(time.Second, func() { setFaults(d.logURL, map[string]any{"outage": false}) })
	case 5:
		setFaults(agent.endpointURL, map[string]any{"close_before_answer": 1, "latency_ms": d.random.Intn(300)})
	case 6:
		setFaults(d.logURL, map[string]any{"slow_ms": d.random.Intn(300)})
	}
}

var _ = Describe("bookings under failures", func() {
	It("executes each at most once and never reports an executed one as not run", func() {
		d := &bookingCluster{cluster: newCluster(), random: rand.New(rand.NewSource(*bookingSeed))}
		d.appendTable(standardTable()...)
		d.entries = []*member{d.entry("entry-1", "ikorodu"), d.entry("entry-2", "epe")}
		for i := range 3 {
			d.agents = append(d.agents, d.agent(fmt.Sprint("desk-", i+1), "epe", desk, "service", "service"))
		}
		d.awaitReady()
		const callers, tries = 120, 5
		calls := make([][tries]booking, callers)
		var wg sync.WaitGroup
		for i := range calls {
			key := fmt.Sprint("key-", d.random.Intn(callers/2))
			first := d.random.Intn(2)
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := range tries {
					b := &calls[i][n]
					b.id, b.key = fmt.Sprintf("booking-%d-%d", i, n), key
					b.send(d.entries[(first+n)%2])
					if b.status < 400 && b.status > 0 {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			}()
			if d.random.Intn(8) == 0 {
				d.injectFailure()
			}
			time.Sleep(time.Duration(d.random.Intn(60)) * time.Millisecond)
		}
		wg.Wait()
		d.check(calls[:])
	})
})

// check compares the responses that the callers received with what the booking
// services executed.
func (d *bookingCluster) check(calls [][5]booking) {
	byKey, byID := map[string]service.Execution{}, map[string]bool{}
	for _, a := range d.agents {
		for _, e := range records[service.Execution](a.endpointURL) {
			Expect(byKey).NotTo(HaveKey(e.Key), "a booking was executed twice")
			byKey[e.Key] = e
			byID[e.RequestID] = true
		}
	}
	outcomes := map[string]int{}
	for i := range calls {
		for _, b := range calls[i] {
			switch {
			case b.id == "":
			case b.err != nil:
				outcomes["connection lost"]++
			case b.status < 400:
				outcomes["answered"]++
				Expect(b.body).To(Equal(byKey[b.key].Answer), b.id)
			default:
				outcomes[b.outcome]++
				Expect(b.outcome).NotTo(BeEmpty(), "%+v", b)
				Expect(b.outcome == "not_run" && byID[b.id]).To(BeFalse(), "reported as not_run but executed: %+v", b)
			}
		}
	}
	GinkgoWriter.Println("bookings:", len(byKey), "executed, responses:", outcomes)
	Expect(outcomes["answered"]).To(BeNumerically(">", 0))
}
