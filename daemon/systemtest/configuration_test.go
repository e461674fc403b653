package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
	"primrosespoke.dev/daemon/peer/operator"
)

// tableSeedsEnv is the environment variable that sets the number of random seeds to run.
const tableSeedsEnv = "TEST_TABLE_SEEDS"

// contendedTiers are the tiers that all editors change at the same time.
var contendedTiers = []string{"race-0", "race-1", "race-2"}

// tierState is what the oracle knows of one contended tier: its rank and the
// version of the table that last changed it.
type tierState struct {
	Rank    int
	Version int64
}

// tableOracle derives the expected table at every version, and the verdict on every
// edit, from the records of the log. It uses none of the program's logic for edits.
type tableOracle struct {
	states   []map[string]tierState // by table version, then tier name
	verdicts map[string]bool        // by edit ID: whether the edit was accepted
}

// newTableOracle replays all records of the log from its start.
func newTableOracle(records [][]byte) *tableOracle {
	o := &tableOracle{verdicts: map[string]bool{}}
	current := map[string]tierState{}
	o.states = append(o.states, current)
	for offset, data := range records {
		var e table.Edit
		kind := struct {
			Type string `json:"type"`
		}{}
		Expect(json.Unmarshal(data, &kind)).To(Succeed())
		if kind.Type == "edit" {
			Expect(json.Unmarshal(data, &e)).To(Succeed())
			current = o.applyEdit(current, e, int64(offset)+1)
		}
		o.states = append(o.states, current)
	}
	return o
}

// applyEdit records the verdict on an edit and returns the state after it. A repeated
// or rejected edit changes nothing. An edit is rejected if it is based on another than
// the current version of a row, or if two tiers would have the same rank.
func (o *tableOracle) applyEdit(current map[string]tierState, e table.Edit, version int64) map[string]tierState {
	if _, repeated := o.verdicts[e.ID]; repeated {
		return current
	}
	next := map[string]tierState{}
	for name, s := range current {
		next[name] = s
	}
	accepted := true
	for _, row := range e.Rows {
		if row.Tier == nil {
			continue
		}
		accepted = accepted && current[row.Name].Version == row.Base
		next[row.Name] = tierState{Rank: row.Tier.Rank, Version: version}
	}
	ranks := map[int]bool{}
	for _, s := range next {
		accepted = accepted && !ranks[s.Rank]
		ranks[s.Rank] = true
	}
	o.verdicts[e.ID] = accepted
	if !accepted {
		return current
	}
	return next
}

// observation is a table that a process served, and how often the process had been
// restarted by then.
type observation struct {
	member   string
	restarts int
	body     operator.TableBody
}

// editAnswer is the response to one edit; status 0 means that none arrived.
type editAnswer struct {
	id     string
	status int
	kind   string // kind of the problem, if the edit was not accepted
}

// configRun is one randomised run: editors and observers work concurrently while
// faults are injected.
type configRun struct {
	cluster      *cluster
	copy         [][]byte   // copy of every record of the table stream, from its start
	mu           sync.Mutex // guards all fields but cluster, stop and workers
	observations []observation
	answers      []editAnswer
	restarts     map[string]int // by member ID
	stop         chan struct{}  // closed when the faults are over
	workers      sync.WaitGroup
}

// stoppedWithin waits for the given time, or until the run stops, and reports
// whether the run has stopped.
func (r *configRun) stoppedWithin(after time.Duration) bool {
	select {
	case <-r.stop:
		return true
	case <-time.After(after):
		return false
	}
}

// copyLog copies the records of the log while the run lasts, so that the oracle also
// has those that are trimmed later.
func (r *configRun) copyLog() {
	client := logservice.New(r.cluster.logURL, logservice.Options{Timeout: time.Second})
	for !r.stoppedWithin(2 * time.Millisecond) {
		r.copyPage(client)
	}
}

// copyRemaining copies the records up to the end of the log. No edit may be in progress.
func (r *configRun) copyRemaining() {
	client := logservice.New(r.cluster.logURL, logservice.Options{Timeout: time.Second})
	Eventually(func() bool { return r.copyPage(client) }).WithTimeout(conditionTimeout).Should(BeTrue())
}

// copyPage copies the next page of records and reports whether it was empty, which
// means that the end of the log is reached.
func (r *configRun) copyPage(client *logservice.Client) bool {
	r.mu.Lock()
	from := int64(len(r.copy))
	r.mu.Unlock()
	page, err := client.Read(context.Background(), "table", from, 0, 0)
	if err != nil {
		return false
	}
	Expect(page.Earliest).To(BeNumerically("<=", from), "the test may trim only records that it has copied")
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range page.Records {
		r.copy = append(r.copy, record.Data)
	}
	return len(page.Records) == 0
}

// observe reads the table of a process repeatedly while the run lasts. It drops a
// table that was read across a restart, since either process may have served it.
func (r *configRun) observe(m *member) {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for !r.stoppedWithin(15 * time.Millisecond) {
		r.mu.Lock()
		restarts := r.restarts[m.ID]
		r.mu.Unlock()
		body, ok := getTable(client, m)
		r.mu.Lock()
		if ok && restarts == r.restarts[m.ID] {
			r.observations = append(r.observations, observation{member: m.ID, restarts: restarts, body: body})
		}
		r.mu.Unlock()
	}
}

// getTable reads the table that a process serves, and reports whether it serves one.
func getTable(client *http.Client, m *member) (operator.TableBody, bool) {
	var body operator.TableBody
	resp, err := client.Get("http://" + m.operator + operator.PathTable)
	if err != nil {
		return body, false
	}
	defer resp.Body.Close()
	ok := resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&body) == nil
	return body, ok
}

// edit sends random edits through random processes while the run lasts, and records
// the responses.
func (r *configRun) edit(rnd *rand.Rand, editor int) {
	client := &http.Client{Timeout: 800 * time.Millisecond}
	for i := 0; !r.stoppedWithin(time.Duration(rnd.Intn(30)) * time.Millisecond); i++ {
		m := r.cluster.members[rnd.Intn(len(r.cluster.members))]
		id := fmt.Sprintf("edit-%d-%d", editor, i)
		body, ok := getTable(client, m)
		if !ok {
			continue
		}
		data, err := json.Marshal(randomEdit(rnd, id, body))
		Expect(err).NotTo(HaveOccurred())
		answer := editAnswer{id: id}
		resp, err := client.Post("http://"+m.operator+operator.PathEdits, "application/json", bytes.NewReader(data))
		if err == nil {
			answer.status = resp.StatusCode
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			var p operator.Problem
			_ = json.Unmarshal(text, &p)
			answer.kind = p.Kind
		}
		r.mu.Lock()
		r.answers = append(r.answers, answer)
		r.mu.Unlock()
	}
}

// randomEdit sets the ranks of one or two contended tiers, based on the row versions
// that a process served.
func randomEdit(rnd *rand.Rand, id string, body operator.TableBody) table.Edit {
	e := table.Edit{ID: id, Editor: "race", Seen: body.Version}
	for _, i := range rnd.Perm(len(contendedTiers))[:1+rnd.Intn(2)] {
		row := table.RowEdit{Name: contendedTiers[i], Row: table.Row{Kind: table.KindTier, Tier: &table.Tier{Name: contendedTiers[i], Rank: 10 + rnd.Intn(5)}}}
		for _, current := range body.Rows {
			if current.Key() == row.Key() {
				row.Base = current.Version
			}
		}
		e.Rows = append(e.Rows, row)
	}
	return e
}

// injectFaults injects random faults one after another. Freezes, kills and outages
// end before the next fault.
func (r *configRun) injectFaults(rnd *rand.Rand, steps int) {
	for range steps {
		m := r.cluster.members[rnd.Intn(len(r.cluster.members))]
		hold := time.Duration(50+rnd.Intn(400)) * time.Millisecond
		switch rnd.Intn(6) {
		case 0:
			m.freeze()
			time.Sleep(hold)
			m.thaw()
		case 1:
			r.mu.Lock()
			r.restarts[m.ID]++
			r.mu.Unlock()
			m.kill()
			time.Sleep(hold / 4)
			m.proc = start(m.ID, binaries.daemon, m.args...)
		case 2:
			setFaults(r.cluster.logURL, map[string]any{"outage": true})
			time.Sleep(hold)
			setFaults(r.cluster.logURL, map[string]any{"outage": false})
		case 3:
			setFaults(r.cluster.logURL, map[string]any{"lose_answers": 1 + rnd.Intn(3)})
		case 4:
			setFaults(r.cluster.logURL, map[string]any{"duplicate_appends": 1 + rnd.Intn(3)})
		case 5:
			r.mu.Lock()
			to := max(0, len(r.copy)-rnd.Intn(30))
			r.mu.Unlock()
			setFaults(r.cluster.logURL, map[string]any{"trim": map[string]any{"stream": "table", "to": to}})
		}
		time.Sleep(time.Duration(rnd.Intn(150)) * time.Millisecond)
	}
}

// checkAgainstOracle compares every observed table and every response to an edit with
// the oracle, and checks that the version of a process never decreases while it runs.
// It returns the numbers of edits that were reported as accepted and as rejected, and
// of those without a known verdict.
func (r *configRun) checkAgainstOracle() (accepted, rejected, unknown int) {
	o := newTableOracle(r.copy)
	newest := map[string]int64{}
	for _, seen := range r.observations {
		key := fmt.Sprint(seen.member, "/", seen.restarts)
		Expect(seen.body.Version).To(BeNumerically(">=", newest[key]), "table version of %s decreased", key)
		newest[key] = seen.body.Version
		Expect(seen.body.Version).To(BeNumerically("<", len(o.states)), key)
		got := map[string]tierState{}
		for _, row := range seen.body.Rows {
			if row.Tier != nil {
				got[row.Tier.Name] = tierState{Rank: row.Tier.Rank, Version: row.Version}
			}
		}
		Expect(got).To(Equal(o.states[seen.body.Version]), "%s at version %d", key, seen.body.Version)
	}
	for _, a := range r.answers {
		verdict, inLog := o.verdicts[a.id]
		switch {
		case a.status == http.StatusOK:
			Expect(inLog && verdict).To(BeTrue(), "edit %s was reported as accepted", a.id)
			accepted++
		case a.kind == "table-conflict" || a.kind == "table-findings":
			Expect(inLog && !verdict).To(BeTrue(), "edit %s was reported as rejected", a.id)
			rejected++
		case a.kind == "table-not-submitted" || a.kind == "table-not-ready":
			Expect(inLog).To(BeFalse(), "edit %s was reported as not submitted", a.id)
		default:
			unknown++
		}
	}
	return accepted, rejected, unknown
}

// awaitNewestVersion waits until every process serves the table at the log's newest record.
func (r *configRun) awaitNewestVersion() {
	client := &http.Client{Timeout: time.Second}
	for _, m := range r.cluster.members {
		Eventually(func() int {
			body, _ := getTable(client, m)
			return int(body.Version)
		}).WithTimeout(conditionTimeout).WithPolling(10*time.Millisecond).Should(BeNumerically(">=", len(r.copy)), m.ID)
	}
}

// seedCount returns the number of seeds to run, 2 by default.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv(tableSeedsEnv)); err == nil {
		return n
	}
	return 2
}

var _ = Describe("configuration", func() {
	for seed := range seedCount() {
		It(fmt.Sprintf("gives each edit one verdict, is the same at every process and never reverts: seed %d", seed), func() {
			c := newCluster()
			for i := range 4 {
				c.entry(fmt.Sprint("entry-", i), fmt.Sprint("domain-", i%3))
			}
			for i := range 2 {
				c.agent(fmt.Sprint("desk-", i), fmt.Sprint("domain-", i), desk, "service", "service")
			}
			for _, m := range c.members {
				m.args = append(m.args, "--set", "platform.snapshot_every=500ms")
			}
			c.awaitReady()
			r := &configRun{cluster: c, restarts: map[string]int{}, stop: make(chan struct{})}
			spawn := func(work func()) {
				r.workers.Go(func() {
					defer GinkgoRecover()
					work()
				})
			}
			spawn(r.copyLog)
			for _, m := range c.members {
				spawn(func() { r.observe(m) })
			}
			for editor := range 4 {
				spawn(func() { r.edit(rand.New(rand.NewSource(int64(seed*10+editor))), editor) })
			}
			r.injectFaults(rand.New(rand.NewSource(int64(seed))), 20)
			close(r.stop)
			r.workers.Wait()
			r.copyRemaining()
			r.awaitNewestVersion()
			accepted, rejected, unknown := r.checkAgainstOracle()
			Expect(accepted).To(BeNumerically(">", 0))
			AddReportEntry(fmt.Sprintf("seed %d: %d records, %d tables seen, %d accepted, %d rejected, %d without verdict",
				seed, len(r.copy), len(r.observations), accepted, rejected, unknown))
		})
	}
})
