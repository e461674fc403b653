package tablesync_test

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	fake "primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/tablesync"
)

// seedsVariable is the name of the environment variable that holds the number of seeds to run.
const seedsVariable = "TEST_TABLE_SEEDS"

// rowState is the model's state of one tier: the ID of the edit that wrote it last, and its rank.
type rowState struct {
	writer string
	rank   int
}

// tableState is the model's state: three tiers, no two of which may have the same rank.
type tableState [3]rowState

// editInput is an edit in the model: which tiers it writes, their new ranks, and the last writers
// of these tiers that the editor saw.
type editInput struct {
	id          string
	edited      [3]bool
	seenWriters [3]string
	ranks       [3]int
}

// editOutput is what the editor learned: whether the edit was accepted, or that its outcome is
// unknown.
type editOutput struct{ accepted, unknown bool }

// apply returns the state after an edit and whether the edit is accepted: the editor must have seen
// the last writer of each tier, and ranks must stay distinct.
func (s tableState) apply(e editInput) (tableState, bool) {
	next := s
	for i, on := range e.edited {
		if !on {
			continue
		}
		if s[i].writer != e.seenWriters[i] {
			return s, false
		}
		next[i] = rowState{writer: e.id, rank: e.ranks[i]}
	}
	for i := range next {
		for j := range i {
			if next[i].writer != "" && next[j].writer != "" && next[i].rank == next[j].rank {
				return s, false
			}
		}
	}
	return next, true
}

var tableModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{tableState{}} },
	Step: func(state, input, output any) []any {
		s, answer := state.(tableState), output.(editOutput)
		next, ok := s.apply(input.(editInput))
		switch {
		case answer.unknown && ok:
			return []any{s, next}
		case answer.unknown || (ok == answer.accepted):
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// recorder collects the history of submitted edits and their outcomes.
type recorder struct {
	mu      sync.Mutex
	begin   time.Time
	ops     []porcupine.Operation
	unknown int
}

func (r *recorder) add(client int, e editInput, call time.Time, answer editOutput) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := time.Since(r.begin).Nanoseconds()
	if answer.unknown {
		// An edit of unknown outcome may take effect at any later time.
		end = int64(1 << 60)
		r.unknown++
	}
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: client, Input: e, Call: call.Sub(r.begin).Nanoseconds(), Output: answer, Return: end,
	})
}

var tierNames = [3]string{"a", "b", "c"}

// randomEdit returns an edit of one or two tiers, based on the current table of a process. The
// value of queue_limit identifies the writer, so that the model needs no log offsets.
func randomEdit(r *rand.Rand, number int, t *table.Table) (table.Edit, editInput) {
	input := editInput{id: fmt.Sprint(number)}
	ranks := map[string]int{}
	for _, i := range r.Perm(3)[:1+r.Intn(2)] {
		input.edited[i] = true
		input.ranks[i] = r.Intn(4)
		ranks[tierNames[i]] = input.ranks[i]
		if tier, ok := t.Tiers[tierNames[i]]; ok {
			input.seenWriters[i] = fmt.Sprint(tier.QueueLimit)
		}
	}
	edit := tierEdit("edit-"+input.id, t, ranks)
	for _, row := range edit.Rows {
		row.Tier.QueueLimit = number
	}
	return edit, input
}

// TestConcurrentEditsAreLinearizableUnderFaults submits concurrent edits through several
// processes while the log service has outages, loses answers, stores appends twice and drops
// records, and processes are partitioned. The verdicts must be consistent with one order of
// the edits, and all processes must end with the same table.
func TestConcurrentEditsAreLinearizableUnderFaults(t *testing.T) {
	seeds := 3
	if n, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runHistory(t, int64(seed)) })
	}
}

// runHistory runs concurrent editors under faults and checks their history, with random choices from
// seed.
func runHistory(t *testing.T, seed int64) {
	g := NewWithT(t)
	c := newCluster(t, fake.Config{}, testTiming)
	c.start(4, membership.RoleEntry)
	c.start(3, membership.RoleAgent)
	h := &recorder{begin: time.Now()}
	watch := watchVersions(c)
	var editors sync.WaitGroup
	for client := range 4 {
		editors.Go(func() { submitEdits(c, h, rand.New(rand.NewSource(seed*100+int64(client))), client) })
	}
	ended := make(chan struct{})
	go func() { editors.Wait(); close(ended) }()
	injectFaults(c, rand.New(rand.NewSource(seed*100+99)), ended)
	c.mustSubmit(c.processes[0], table.Edit{ID: "last", Seen: c.processes[0].Current().Version, Rows: []table.RowEdit{{
		Row:  table.Row{Kind: table.KindEndpoint, Endpoint: &table.Endpoint{Name: "e", Kind: "engine", Weight: 1}},
		Name: "e",
	}}})
	c.waitForVersion(c.processes[0].Current().Version)
	g.Expect(watch()).To(BeEmpty(), "decreases of the version")
	result, _ := porcupine.CheckOperationsVerbose(tableModel.ToModel(), h.ops, time.Minute)
	g.Expect(result).To(Equal(porcupine.Ok), "%d edits", len(h.ops))
	want := c.processes[0].Current()
	for _, p := range c.processes {
		g.Expect(p.Current().Tiers).To(Equal(want.Tiers))
	}
	accepted := 0
	for _, op := range h.ops {
		if op.Output.(editOutput).accepted {
			accepted++
		}
	}
	t.Logf("seed %d: %d edits, %d accepted, %d undecided, log end %d", seed, len(h.ops), accepted, h.unknown, want.Version)
}

// submitEdits submits random edits through random processes, with short deadlines.
func submitEdits(c *cluster, h *recorder, r *rand.Rand, client int) {
	for i := range 25 {
		time.Sleep(time.Duration(r.Intn(40)) * time.Millisecond)
		p := c.processes[r.Intn(len(c.processes))]
		e, input := randomEdit(r, client*1000+i+1, p.Current())
		call := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+r.Intn(120))*time.Millisecond)
		v, err := p.Submit(ctx, e)
		cancel()
		// An edit that was not submitted has no effect and is left out of the history.
		if err == nil || errors.Is(err, tablesync.ErrUndecided) {
			h.add(client, input, call, editOutput{accepted: v.Accepted, unknown: err != nil})
		}
	}
}

// injectFaults injects faults until the editors are done, and then ends all faults.
func injectFaults(c *cluster, r *rand.Rand, ended chan struct{}) {
	for {
		p := c.processes[r.Intn(len(c.processes))]
		switch r.Intn(7) {
		case 0:
			c.log.SetOutage(true)
		case 1:
			c.log.LoseAnswers(1 + r.Intn(2))
		case 2:
			c.log.DuplicateAppends(1 + r.Intn(2))
		case 3:
			p.partitioned.Store(true)
		case 4:
			c.log.LoseAnswers(2)
			time.Sleep(time.Duration(r.Intn(10)) * time.Millisecond)
			c.log.SetOutage(true)
		case 5:
			c.log.TrimTo("table", c.processes[r.Intn(3)].Current().Version-int64(r.Intn(5)))
		}
		select {
		case <-time.After(time.Duration(10+r.Intn(60)) * time.Millisecond):
		case <-ended:
			c.log.SetOutage(false)
			for _, p := range c.processes {
				p.partitioned.Store(false)
			}
			return
		}
		c.log.SetOutage(false)
		p.partitioned.Store(false)
	}
}

// watchVersions subscribes to the table of every process; the returned function ends that and
// returns a description of each decrease of a version.
func watchVersions(c *cluster) func() []string {
	var mu sync.Mutex
	var wrong []string
	var cancels []func()
	for _, p := range c.processes {
		updates, cancel := p.Subscribe()
		cancels = append(cancels, cancel)
		go func() {
			last := int64(0)
			for {
				select {
				case t := <-updates:
					mu.Lock()
					if t.Version < last {
						wrong = append(wrong, fmt.Sprintf("%s: %d after %d", p.address, t.Version, last))
					}
					mu.Unlock()
					last = t.Version
				case <-p.done:
					return
				}
			}
		}()
	}
	return func() []string {
		for _, cancel := range cancels {
			cancel()
		}
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), wrong...)
	}
}
