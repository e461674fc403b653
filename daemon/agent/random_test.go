package agent_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/agent"
	fake "primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

var seeds = flag.Int("seeds", 4, "seeds of the randomised runs")

// statement is what the agent said about one request; it is checked against the
// engine's records.
type statement struct {
	id        string
	execution string // "never ran", "ran" or "nothing"
	detail    string
}

// client sends requests one after another and at random does what an entry may do:
// give up, disconnect, dispatch twice, or ask what became of an attempt.
type client struct {
	*harness
	name       string
	rng        *rand.Rand
	mu         sync.Mutex // guards statements
	statements []statement
}

func (c *client) record(id, execution, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statements = append(c.statements, statement{id, execution, fmt.Sprintf(format, args...)})
}

func (c *client) run(requests int) error {
	for i := range requests {
		if err := c.request(fmt.Sprint(c.name, "-", i), 5+c.rng.Intn(40)); err != nil {
			return err
		}
	}
	return nil
}

func (c *client) request(id string, tokens int) error {
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	limited, stop := context.WithTimeout(ctx, time.Duration(50+c.rng.Intn(500))*time.Millisecond)
	defer stop()
	tier := []string{"notary", "batch"}[c.rng.Intn(2)]
	granted, err := c.reserve(limited, id, tier)
	for err == nil && granted.Verdict == nodepb.ReserveReply_DENIED && c.rng.Intn(20) > 0 {
		time.Sleep(time.Duration(c.rng.Intn(10)) * time.Millisecond)
		granted, err = c.reserve(limited, id, tier)
	}
	if err != nil || granted.Verdict != nodepb.ReserveReply_GRANTED {
		c.record(id, "never ran", "not granted: %v", err)
		return nil
	}
	if c.rng.Intn(8) == 0 {
		c.resolveAndRecord(id, granted, false)
	}
	dispatches := 1 + c.rng.Intn(8)/7 // one in eight is sent twice
	bodies := make(chan error, dispatches)
	for n := range dispatches {
		frameLimit := -1
		if n == 0 && c.rng.Intn(4) == 0 {
			frameLimit = c.rng.Intn(6) // frames read before the entry disconnects
		}
		go func() { bodies <- c.dispatch(ctx, id, tier, tokens, granted, frameLimit) }()
	}
	for range dispatches {
		if err := <-bodies; err != nil {
			return err
		}
	}
	if c.rng.Intn(3) == 0 {
		c.resolveAndRecord(id, granted, true)
	}
	return nil
}

// dispatch sends the request and checks its answer. It disconnects after frameLimit
// frames; -1 = never.
func (c *client) dispatch(ctx context.Context, id, tier string, tokens int, granted *nodepb.ReserveReply, frameLimit int) error {
	ctx, disconnect := context.WithCancel(ctx)
	defer disconnect()
	header := c.header(id, tier, granted)
	frames, err := c.client.Dispatch(ctx, c.address, header, bytes.NewReader(chatBody(id, tokens, streamed(id))))
	if err != nil {
		return nil // the outcome is unknown
	}
	defer frames.Close()
	var body strings.Builder
	for n := 0; n != frameLimit; n++ {
		frame, err := frames.Next()
		if err != nil {
			return fmt.Errorf("%s: answer truncated: %w", id, err)
		}
		if frame.RequestId != id || frame.Offset != int64(body.Len()) {
			return fmt.Errorf("%s: frame of %s at %d", id, frame.RequestId, frame.Offset)
		}
		body.Write(frame.GetChunk())
		if refusal := frame.GetRefusal(); refusal != nil {
			if refusal.Outcome == nodepb.Refusal_NOT_RUN {
				c.record(id, "never ran", "%v", refusal)
			}
			return nil
		}
		if frame.GetEnd() != nil {
			return c.checkEnd(id, tokens, body.String(), frame.GetEnd())
		}
	}
	return nil
}

// checkEnd checks the text of an ended answer: a prefix of the right one, and all of it
// if the answer is reported complete.
func (c *client) checkEnd(id string, tokens int, body string, end *nodepb.End) error {
	got, done := streamText(body)
	if !streamed(id) {
		got, done = jsonText(body), true
	}
	whole := end.Outcome == nodepb.End_COMPLETE
	if whole && (got != wantText(id, tokens) || !done) || !strings.HasPrefix(wantText(id, tokens), got) {
		return fmt.Errorf("%s: %v with %q", id, end, got)
	}
	return nil
}

// streamed reports whether a request asks for a stream; the others get one JSON body.
func streamed(id string) bool { return !strings.HasSuffix(id, "3") }

// resolveAndRecord asks what became of the attempt and records the reply.
func (c *client) resolveAndRecord(id string, granted *nodepb.ReserveReply, cancel bool) {
	switch state := c.resolve(id, granted, cancel); state {
	case nodepb.ResolveReply_NOT_STARTED:
		c.record(id, "never ran", "resolved as %v", state)
	case nodepb.ResolveReply_ENDED, nodepb.ResolveReply_CANCELLED:
		c.record(id, "ran", "resolved as %v", state)
	}
}

// jsonText returns the text of an answer that is one JSON body.
func jsonText(body string) string {
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if json.Unmarshal([]byte(body), &answer) != nil || len(answer.Choices) == 0 {
		return ""
	}
	return answer.Choices[0].Message.Content
}

// injectFaults sets random faults of the engine, restarts it and drains the agent until
// the clients are done.
func (b *harness) injectFaults(rng *rand.Rand, done *atomic.Bool) {
	for !done.Load() {
		switch rng.Intn(8) {
		case 0:
			b.engine.Restart()
		case 1:
			b.engine.SetFaults(fake.Faults{Refuse: 503})
		case 2:
			b.engine.SetFaults(fake.Faults{EndEarly: 1 + rng.Intn(9), Times: 3})
		case 3, 4:
			b.engine.SetFaults(fake.Faults{CutAfter: 1 + rng.Intn(9), ResumeShift: rng.Intn(5) - 3})
		case 5:
			b.drain(nodepb.DrainRequest_START)
		default:
			b.engine.SetFaults(fake.Faults{})
		}
		time.Sleep(time.Duration(rng.Intn(60)) * time.Millisecond)
		b.drain(nodepb.DrainRequest_RECALL)
	}
	b.engine.SetFaults(fake.Faults{})
}

func (b *harness) drain(action nodepb.DrainRequest_Action) {
	_, _ = b.client.Agent(b.address).SetDrain(context.Background(), &nodepb.DrainRequest{Action: action})
}

// Runs clients that disconnect, dispatch twice and resolve against an engine that breaks,
// ends and refuses streams and restarts, and an agent that drains. The engine must have
// executed no request twice, and its records must agree with all that the agent said.
// All choices are drawn from one seed.
func TestRandomFaultsAgreeWithEngineRecords(t *testing.T) {
	for seed := range int64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomRun(t, seed+1) })
	}
}

func randomRun(t *testing.T, seed int64) {
	b := start(t, fake.Options{StepBase: time.Millisecond, NoKVExport: seed%3 == 0}, 6, func(c *agent.Config) {
		c.GrantLease, c.ResumeTimeout, c.CallerGrace = 200*time.Millisecond, 300*time.Millisecond, 50*time.Millisecond
	})
	var done atomic.Bool
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		b.injectFaults(rand.New(rand.NewSource(seed)), &done)
	}()
	clients := make([]*client, 24)
	failed := make(chan error, len(clients))
	var wg sync.WaitGroup
	for i := range clients {
		clients[i] = &client{harness: b, name: fmt.Sprint("c", i), rng: rand.New(rand.NewSource(seed*1000 + int64(i)))}
		wg.Go(func() {
			if err := clients[i].run(12); err != nil {
				failed <- err
			}
		})
	}
	wg.Wait()
	done.Store(true)
	<-faultsDone
	close(failed)
	b.Expect(<-failed).To(Succeed())
	executed := map[string]int{}
	for _, r := range b.engine.Records() {
		executed[r.RequestID]++
		b.Expect(executed[r.RequestID]).To(Equal(1), "%s executed twice", r.RequestID)
	}
	for _, c := range clients {
		for _, w := range c.statements {
			b.Expect(executed[w.id]).To(Equal(map[string]int{"never ran": 0, "ran": 1}[w.execution]), "%s: %s", w.id, w.detail)
		}
	}
	b.Expect(executed).NotTo(BeEmpty())
	t.Logf("seed %d: %d of %d requests executed", seed, len(executed), 12*len(clients))
	b.Eventually(func() int { return b.dump().Endpoint.Held }, "10s").Should(BeZero())
}
