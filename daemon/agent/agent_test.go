package agent_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/agent"
	fake "primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// harness is an agent with an emulated engine behind it, reached by the protocol
// between the processes of the system.
type harness struct {
	*WithT
	engine  *fake.Engine
	client  *node.Client
	address string
	members atomic.Pointer[membership.View]
	agent   *agent.Agent
	stop    context.CancelFunc
	done    chan error
	number  atomic.Int64
}

// start returns a harness whose agent serves. A concurrency of 0 lets the agent learn
// the number of places.
func start(t *testing.T, options fake.Options, concurrency int, change ...func(*agent.Config)) *harness {
	b := &harness{WithT: NewWithT(t), engine: fake.New(options), client: node.NewClient()}
	server := httptest.NewServer(b.engine)
	t.Cleanup(func() {
		b.engine.SetFaults(fake.Faults{})
		server.Close()
	})
	b.members.Store(&membership.View{})
	b.serve(t, server.URL, concurrency, change...)
	return b
}

// serve starts an agent in front of an engine; the harness uses it from then on.
func (b *harness) serve(t *testing.T, engineURL string, concurrency int, change ...func(*agent.Config)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	b.Expect(err).NotTo(HaveOccurred())
	b.address = listener.Addr().String()
	tiers := []table.Tier{
		{Name: "notary", Rank: 0, TokenInterval: 26 * time.Millisecond}, {Name: "batch", Rank: 1, Preemptible: true},
	}
	rows := table.New(7, tiers, nil, []table.Endpoint{{Name: "model", Kind: table.EndpointEngine, Concurrency: concurrency}})
	cfg := agent.Config{
		ID: "a1", Address: b.address, Listener: listener, Pool: "model", Kind: table.EndpointEngine,
		EndpointURL: engineURL, Log: zerolog.Nop(), CallerGrace: 300 * time.Millisecond,
		Table:   func() *table.Table { return rows },
		Members: func() membership.View { return *b.members.Load() },
	}
	for _, c := range change {
		c(&cfg)
	}
	served, err := agent.New(cfg)
	b.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	b.agent, b.stop, b.done = served, stop, done
	go func() { done <- served.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		b.client.Close()
	})
}

func (b *harness) reserve(ctx context.Context, id, tier string) (*nodepb.ReserveReply, error) {
	return b.client.Agent(b.address).Reserve(ctx, &nodepb.ReserveRequest{
		EntryIncarnation: "e1", ReservationId: fmt.Sprint(id, "/", b.number.Add(1)), RequestId: id, Attempt: 1,
		Account: "okonkwo", Tier: tier, Pool: "model", PromptTokens: 8, MaxTokens: 40, WaitMs: 60_000,
	})
}

func (b *harness) header(id, tier string, granted *nodepb.ReserveReply) *nodepb.DispatchHeader {
	return &nodepb.DispatchHeader{
		RequestId: id, Attempt: 1, GrantId: granted.GrantId, Incarnation: granted.Status.GetIncarnation(),
		Tier: tier, Pool: "model", Path: "/v1/chat/completions", WaitMs: 60_000, Stream: true, MaxTokens: 40,
	}
}

// dispatchStream reserves a place and dispatches a streamed request.
func (b *harness) dispatchStream(ctx context.Context, id, tier string, tokens int) (*node.FrameReader, *nodepb.ReserveReply, error) {
	granted, err := b.reserve(ctx, id, tier)
	if err != nil || granted.Verdict != nodepb.ReserveReply_GRANTED {
		return nil, granted, fmt.Errorf("%s: %v %v", id, granted, err)
	}
	header := b.header(id, tier, granted)
	header.MaxTokens = uint32(tokens)
	frames, err := b.client.Dispatch(ctx, b.address, header, bytes.NewReader(chatBody(id, tokens, true)))
	return frames, granted, err
}

// chatBody returns the body of a chat completion request.
func chatBody(id string, tokens int, stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": "model", "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": "prompt of " + id}},
	})
	return body
}

// wantText returns the text that the engine generates for a request.
func wantText(id string, tokens int) string {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		text.WriteString(fake.Content(id, "prompt of "+id, n))
	}
	return text.String()
}

// streamText returns the text of a stream's events and whether its last event was seen.
func streamText(body string) (string, bool) {
	var out strings.Builder
	for _, line := range strings.Split(body, "\n") {
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			out.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return out.String(), strings.HasSuffix(body, "data: [DONE]\n\n")
}

// readFrames reads frames up to the last one. It checks that each belongs to the request
// and begins where the one before ended.
func readFrames(id string, offset int64, frames *node.FrameReader) (string, *nodepb.Frame, error) {
	defer frames.Close()
	var body strings.Builder
	for {
		frame, err := frames.Next()
		if err != nil {
			return body.String(), nil, err
		}
		if frame.RequestId != id || frame.Offset != offset+int64(body.Len()) {
			return "", nil, fmt.Errorf("frame of %s at %d in the answer of %s", frame.RequestId, frame.Offset, id)
		}
		body.Write(frame.GetChunk())
		if frame.GetEnd() != nil || frame.GetRefusal() != nil {
			return body.String(), frame, nil
		}
	}
}

// requestWhole sends a request and returns an error unless the whole answer comes.
func (b *harness) requestWhole(id, tier string, tokens int) error {
	frames, _, err := b.dispatchStream(context.Background(), id, tier, tokens)
	if err != nil {
		return err
	}
	body, last, err := readFrames(id, 0, frames)
	if err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	got, done := streamText(body)
	end := last.GetEnd()
	if got != wantText(id, tokens) || !done || end.GetOutcome() != nodepb.End_COMPLETE || end.GetBytes() != int64(len(body)) {
		return fmt.Errorf("%s: last frame %v, text %q", id, last, got)
	}
	return nil
}

func TestBrokenStreamsAreResumedToWholeAnswers(t *testing.T) {
	for _, faults := range []fake.Faults{{}, {CutAfter: 3}, {CutAfter: 7, ResumeShift: -2}, {CutAfter: 2, Times: 3, ResumeShift: 0}} {
		b := start(t, fake.Options{}, 8)
		b.engine.SetFaults(faults)
		for i := range 5 {
			b.Expect(b.requestWhole(fmt.Sprint("r", i), "batch", 20+i)).To(Succeed())
		}
		b.Expect(b.engine.Records()).To(HaveLen(5))
	}
}
