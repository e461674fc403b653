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

// freezableLog is a log service client that blocks while freeze is held for writing:
// its claimant can neither append nor see what it read.
type freezableLog struct {
	claimlog.LogService
	freeze *sync.RWMutex
}

func (l freezableLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.freeze.RLock()
	defer l.freeze.RUnlock()
	return l.LogService.Append(ctx, stream, data)
}

func (l freezableLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	page, err := l.LogService.Read(ctx, stream, from, limit, wait)
	l.freeze.RLock()
	defer l.freeze.RUnlock()
	return page, err
}

// claimant is one process that claims keys and sends requests to the fake service.
type claimant struct {
	log    *claimlog.Log
	kill   context.CancelFunc
	freeze *sync.RWMutex
}

// operation is one call and the outcome that its caller saw.
type operation struct {
	call, key string
	executed  bool   // whether the service recorded an execution of the call
	kind      string // "ran", "replayed", or an outcome of package claim
	answer    string
}

// harness holds the log service, the fake service, the claimants and the history of calls.
type harness struct {
	t           *testing.T
	start       time.Time
	logs        *fakelog.Server
	logURL      string
	fakeService *fake.Server
	client      *service.Client
	mu          sync.Mutex
	claimants   []*claimant
	starts      int // claimants started so far; gives each its own incarnation
	history     []porcupine.Operation
}

func (h *harness) newClaimant() *claimant {
	h.starts++
	c := &claimant{freeze: &sync.RWMutex{}}
	client := logservice.New(h.logURL, logservice.Options{Timeout: 300 * time.Millisecond})
	log, err := claimlog.New(claimlog.Config{
		LogService: freezableLog{client, c.freeze}, Poll: 100 * time.Millisecond, Log: zerolog.Nop(),
		SnapshotWriter: func() bool { return true },
		Claim: claim.Config{
			Incarnation: fmt.Sprint("agent-", h.starts), BatchDelay: 5 * time.Millisecond,
			AwaitLimit: 400 * time.Millisecond, Backoff: 20 * time.Millisecond, SnapshotInterval: 300 * time.Millisecond,
		},
	})
	NewWithT(h.t).Expect(err).NotTo(HaveOccurred())
	c.log = log
	ctx, kill := context.WithCancel(context.Background())
	c.kill = kill
	go log.Run(ctx)
	h.t.Cleanup(kill)
	return c
}

// claimAndRun does what an agent does with a request: it claims the key, sends the
// request once, and records the end of the run.
func (h *harness) claimAndRun(c *claimant, call, key string, pause time.Duration) (kind, answer string) {
	ctx := context.Background()
	d, err := c.log.Claim(ctx, claimlog.Request{Account: "crew", Key: key, Method: "POST", Path: "/bookings", Body: []byte(key), TimeLeft: time.Second})
	switch {
	case err != nil:
		return string(claim.NotRun), ""
	case d.Refusal != nil:
		return string(d.Refusal.Outcome), ""
	case d.Answer != nil:
		return "replayed", string(d.Answer.Body)
	}
	time.Sleep(pause) // as if the process were stopped between claim and run
	if d.DeadlinePassed() {
		c.log.Release(d.Claim)
		return string(claim.NotRun), ""
	}
	a, err := h.client.Do(ctx, service.Request{
		ID: call, Method: "POST", Path: "/bookings", IdempotencyKey: key, NonIdempotent: true,
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

// callUntilAnswered sends a request with the key through one claimant after another
// until it gets an answer.
func (h *harness) callUntilAnswered(id int, key string, choices []int, pauses []time.Duration) {
	for i, choice := range choices {
		h.mu.Lock()
		c := h.claimants[choice]
		h.mu.Unlock()
		op := operation{call: fmt.Sprintf("call-%d-%d", id, i), key: key}
		began := time.Since(h.start).Nanoseconds()
		op.kind, op.answer = h.claimAndRun(c, op.call, key, pauses[i])
		ended := time.Since(h.start).Nanoseconds()
		h.mu.Lock()
		h.history = append(h.history, porcupine.Operation{ClientId: id, Input: key, Output: op, Call: began, Return: ended})
		h.mu.Unlock()
		if op.answer != "" {
			return
		}
	}
}

// injectFault starts a random fault, or ends those of the log service and the fake service.
func (h *harness) injectFault(random *rand.Rand) {
	victim := h.claimants[random.Intn(len(h.claimants))]
	switch random.Intn(9) {
	case 0:
		h.logs.SetOutage(true)
	case 1:
		h.logs.LoseAnswers(1 + random.Intn(3))
	case 2:
		h.logs.DuplicateAppends(2)
	case 3:
		h.logs.SetSlow(time.Duration(random.Intn(400)) * time.Millisecond)
	case 4:
		first, records := h.logs.Records(claimlog.DefaultStream)
		h.logs.TrimTo(claimlog.DefaultStream, first+int64(random.Intn(len(records)+1)))
	case 5:
		h.mu.Lock()
		i := random.Intn(len(h.claimants))
		h.claimants[i].freeze.TryLock() // a killed process neither appends nor reads any more
		h.claimants[i].kill()
		h.claimants[i] = h.newClaimant()
		h.mu.Unlock()
	case 6:
		if victim.freeze.TryLock() {
			time.AfterFunc(time.Duration(random.Intn(900))*time.Millisecond, victim.freeze.Unlock)
		}
	case 7:
		h.fakeService.SetFaults(fake.Faults{CloseBeforeAnswer: random.Intn(3), CloseMidAnswer: random.Intn(3), LatencyMS: int64(random.Intn(50))})
	default:
		h.logs.SetOutage(false)
		h.logs.SetSlow(0)
		h.fakeService.SetFaults(fake.Faults{})
	}
}

// Claims must prevent a second booking with the same key while the log service fails,
// loses or repeats appends, is slow or loses old records, while claimants are killed
// or frozen, and while the service breaks off its answers.
func TestBookingsRunAtMostOncePerKeyUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+int64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// runSeed runs callers against the claimants, with faults drawn from the seed.
func runSeed(t *testing.T, seed int64) {
	const callers, claimants, keys, tries = 240, 4, 80, 4
	random := rand.New(rand.NewSource(seed))
	h := &harness{t: t, start: time.Now(), logs: fakelog.New(fakelog.Config{}), fakeService: fake.New()}
	logServer, serviceServer := httptest.NewServer(h.logs), httptest.NewServer(h.fakeService)
	t.Cleanup(logServer.CloseClientConnections)
	h.logURL = logServer.URL
	h.client = service.New(serviceServer.URL)
	for range claimants {
		h.claimants = append(h.claimants, h.newClaimant())
	}
	g := NewWithT(t)
	g.Eventually(h.claimants[0].log.Ready).Should(BeTrue())
	var done sync.WaitGroup
	for id := range callers {
		key := fmt.Sprint("key-", random.Intn(keys))
		var choices []int
		var pauses []time.Duration
		for range tries {
			choices = append(choices, random.Intn(claimants))
			pauses = append(pauses, time.Duration(random.Intn(20)/18*random.Intn(1500))*time.Millisecond)
		}
		done.Go(func() { h.callUntilAnswered(id, key, choices, pauses) })
		if random.Intn(12) == 0 {
			h.injectFault(random)
		}
		time.Sleep(time.Duration(random.Intn(20)) * time.Millisecond)
	}
	done.Wait()
	h.check(g)
}

// check compares what callers saw with what the service executed: no key ran twice,
// every answer is that of the key's one run, no call that was reported as not run or
// replayed was executed, and the history is linearizable.
func (h *harness) check(g *WithT) {
	byKey := map[string]fake.Execution{}
	byCall := map[string]bool{}
	for _, e := range h.fakeService.Executions() {
		g.Expect(byKey).NotTo(HaveKey(e.Key), "a key executed twice")
		byKey[e.Key] = e
		byCall[e.RequestID] = true
	}
	kinds := map[string]int{}
	for i := range h.history {
		op := h.history[i].Output.(operation)
		op.executed = byCall[op.call]
		h.history[i].Output = op
		kinds[op.kind]++
		if op.answer != "" {
			g.Expect(op.answer).To(Equal(byKey[op.key].Answer))
		}
		g.Expect(op.executed && (op.kind == string(claim.NotRun) || op.kind == "replayed")).To(BeFalse(), "%+v", op)
	}
	h.t.Logf("%d executions, outcomes seen by callers: %v", len(byKey), kinds)
	g.Expect(kinds["ran"]).To(BeNumerically(">", 0))
	g.Expect(porcupine.CheckOperations(keyModel, h.history)).To(BeTrue(), "the history of claims is not linearizable")
}

// keyModel is the sequential model of one key. Its state is the answer of the key's one
// run: "" before the run, "?" after a run whose answer no caller received.
var keyModel = porcupine.Model{
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
