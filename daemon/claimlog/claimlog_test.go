package claimlog_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/claim"
	"primrosespoke.dev/daemon/claimlog"
	fakelog "primrosespoke.dev/daemon/fake/logservice"
	fake "primrosespoke.dev/daemon/fake/service"
	"primrosespoke.dev/daemon/peer/logservice"
	"primrosespoke.dev/daemon/peer/service"
)

var (
	seeds = flag.Int("claim.seeds", 2, "how many seeds to run")
	first = flag.Int64("claim.seed", 1, "the first seed")
)

// gated holds back a claimant's dealings with the log while it is frozen.
type gated struct {
	claimlog.LogService
	freeze *sync.RWMutex
}

func (l gated) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.freeze.RLock()
	defer l.freeze.RUnlock()
	return l.LogService.Append(ctx, stream, data)
}

func (l gated) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	page, err := l.LogService.Read(ctx, stream, from, limit, wait)
	l.freeze.RLock()
	defer l.freeze.RUnlock()
	return page, err
}

// claimant is one process beside the desk.
type claimant struct {
	log    *claimlog.Log
	kill   context.CancelFunc
	freeze *sync.RWMutex
}

// operation is one call and what its caller was told.
type operation struct {
	call, key string
	executed  bool   // by the desk's word
	kind      string // "ran", "replayed", or an outcome
	answer    string
}

// world is the platform, the claimants, and the history.
type world struct {
	t         *testing.T
	start     time.Time
	logs      *fakelog.Server
	logURL    string
	desk      *fake.Server
	client    *service.Client
	mu        sync.Mutex
	claimants []*claimant
	starts    int
	history   []porcupine.Operation
}

func (w *world) newClaimant() *claimant {
	w.starts++
	c := &claimant{freeze: &sync.RWMutex{}}
	client := logservice.New(w.logURL, logservice.Options{Timeout: 300 * time.Millisecond})
	log, err := claimlog.New(claimlog.Config{
		LogService: gated{client, c.freeze}, Poll: 100 * time.Millisecond, Log: zerolog.Nop(),
		SnapshotWriter: func() bool { return true },
		Claim: claim.Config{
			Incarnation: fmt.Sprint("agent-", w.starts), BatchDelay: 5 * time.Millisecond,
			AwaitLimit: 400 * time.Millisecond, Backoff: 20 * time.Millisecond, SnapshotInterval: 300 * time.Millisecond,
		},
	})
	NewWithT(w.t).Expect(err).NotTo(HaveOccurred())
	c.log = log
	ctx, kill := context.WithCancel(context.Background())
	c.kill = kill
	go log.Run(ctx)
	w.t.Cleanup(kill)
	return c
}

// run is the executor's part: claim, send once, note the end.
func (w *world) run(c *claimant, call, key string, pause time.Duration) (kind, answer string) {
	ctx := context.Background()
	d, err := c.log.Claim(ctx, claimlog.Request{Account: "crew", Key: key, Method: "POST", Path: "/bookings", Body: []byte(key), Wait: time.Second})
	switch {
	case err != nil:
		return string(claim.NotRun), ""
	case d.Refusal != nil:
		return string(d.Refusal.Outcome), ""
	case d.Answer != nil:
		return "replayed", string(d.Answer.Body)
	}
	time.Sleep(pause) // frozen between claim and run
	if d.Late() {
		c.log.Release(d.Claim)
		return string(claim.NotRun), ""
	}
	a, err := w.client.Do(ctx, service.Request{
		ID: call, Method: "POST", Path: "/bookings", IdempotencyKey: key, Once: true,
		Body: strings.NewReader(key), Length: int64(len(key)),
	})
	var unsent *service.NotSentError
	if errors.As(err, &unsent) {
		c.log.Release(d.Claim)
		return string(claim.NotRun), ""
	}
	if err == nil {
		defer a.Body.Close()
		var body []byte
		if body, err = io.ReadAll(a.Body); err == nil {
			c.log.Done(d.Claim, claim.Answer{Status: a.Status, Body: body})
			return "ran", string(body)
		}
	}
	c.log.Done(d.Claim, claim.Answer{Unknown: true})
	return string(claim.MayHaveRun), ""
}

// caller tries a key through several claimants until it has an answer.
func (w *world) caller(id int, key string, choices []int, pauses []time.Duration) {
	for i, choice := range choices {
		w.mu.Lock()
		c := w.claimants[choice]
		w.mu.Unlock()
		op := operation{call: fmt.Sprintf("call-%d-%d", id, i), key: key}
		began := time.Since(w.start).Nanoseconds()
		op.kind, op.answer = w.run(c, op.call, key, pauses[i])
		ended := time.Since(w.start).Nanoseconds()
		w.mu.Lock()
		w.history = append(w.history, porcupine.Operation{ClientId: id, Input: key, Output: op, Call: began, Return: ended})
		w.mu.Unlock()
		if op.answer != "" {
			return
		}
	}
}

// fault makes one fault, or ends those in force.
func (w *world) fault(random *rand.Rand) {
	victim := w.claimants[random.Intn(len(w.claimants))]
	switch random.Intn(9) {
	case 0:
		w.logs.SetOutage(true)
	case 1:
		w.logs.LoseAnswers(1 + random.Intn(3))
	case 2:
		w.logs.DuplicateAppends(2)
	case 3:
		w.logs.SetSlow(time.Duration(random.Intn(400)) * time.Millisecond)
	case 4:
		first, records := w.logs.Records(claimlog.DefaultStream)
		w.logs.TrimTo(claimlog.DefaultStream, first+int64(random.Intn(len(records)+1)))
	case 5:
		w.mu.Lock()
		i := random.Intn(len(w.claimants))
		w.claimants[i].freeze.TryLock() // killed: no more dealings with the log
		w.claimants[i].kill()
		w.claimants[i] = w.newClaimant()
		w.mu.Unlock()
	case 6:
		if victim.freeze.TryLock() {
			time.AfterFunc(time.Duration(random.Intn(900))*time.Millisecond, victim.freeze.Unlock)
		}
	case 7:
		w.desk.SetFaults(fake.Faults{CloseBeforeAnswer: random.Intn(3), CloseMidAnswer: random.Intn(3), LatencyMS: int64(random.Intn(50))})
	default:
		w.logs.SetOutage(false)
		w.logs.SetSlow(0)
		w.desk.SetFaults(fake.Faults{})
	}
}

func TestBookingsRunAtMostOnce(t *testing.T) {
	for seed := *first; seed < *first+int64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed int64) {
	const callers, claimants, keys, tries = 240, 4, 80, 4
	random := rand.New(rand.NewSource(seed))
	w := &world{t: t, start: time.Now(), logs: fakelog.New(fakelog.Config{}), desk: fake.New()}
	logServer, deskServer := httptest.NewServer(w.logs), httptest.NewServer(w.desk)
	t.Cleanup(logServer.CloseClientConnections)
	w.logURL = logServer.URL
	w.client = service.New(deskServer.URL)
	for range claimants {
		w.claimants = append(w.claimants, w.newClaimant())
	}
	g := NewWithT(t)
	g.Eventually(w.claimants[0].log.Ready).Should(BeTrue())
	var done sync.WaitGroup
	for id := range callers {
		key := fmt.Sprint("key-", random.Intn(keys))
		var choices []int
		var pauses []time.Duration
		for range tries {
			choices = append(choices, random.Intn(claimants))
			pauses = append(pauses, time.Duration(random.Intn(20)/18*random.Intn(1500))*time.Millisecond)
		}
		done.Go(func() { w.caller(id, key, choices, pauses) })
		if random.Intn(12) == 0 {
			w.fault(random)
		}
		time.Sleep(time.Duration(random.Intn(20)) * time.Millisecond)
	}
	done.Wait()
	w.check(g)
}

// check compares what callers were told with what the desk carried out.
func (w *world) check(g *WithT) {
	byKey := map[string]fake.Execution{}
	byCall := map[string]bool{}
	for _, e := range w.desk.Executions() {
		g.Expect(byKey).NotTo(HaveKey(e.Key), "a key executed twice")
		byKey[e.Key] = e
		byCall[e.RequestID] = true
	}
	kinds := map[string]int{}
	for i := range w.history {
		op := w.history[i].Output.(operation)
		op.executed = byCall[op.call]
		w.history[i].Output = op
		kinds[op.kind]++
		if op.answer != "" {
			g.Expect(op.answer).To(Equal(byKey[op.key].Answer))
		}
		g.Expect(op.executed && (op.kind == string(claim.NotRun) || op.kind == "replayed")).To(BeFalse(), "%+v", op)
	}
	w.t.Logf("%d executions, told: %v", len(byKey), kinds)
	g.Expect(kinds["ran"]).To(BeNumerically(">", 0))
	g.Expect(porcupine.CheckOperations(model, w.history)).To(BeTrue(), "the history of claims is not linearizable")
}

// model holds, for each key, the answer of its one run; "?" is a run whose answer nobody has.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			parts[op.Input.(string)] = append(parts[op.Input.(string)], op)
		}
		var keys []string
		for key := range parts {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		var split [][]porcupine.Operation
		for _, key := range keys {
			split = append(split, parts[key])
		}
		return split
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		ran, op := state.(string), output.(operation)
		switch {
		case op.executed && op.answer != "":
			return ran == "", op.answer
		case op.executed:
			return ran == "", "?"
		case op.kind == "replayed":
			return ran == op.answer, ran
		default:
			return true, ran
		}
	},
}
