package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/entry"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const validKey = "key-of-geodesia"

// stubAgent is an agent that grants every reservation, unless reserve is set, and
// answers dispatches by a script.
type stubAgent struct {
	nodepb.Agent // nil, so that calls that are not implemented here panic
	address      string
	script       func(s *stubAgent, header *nodepb.DispatchHeader, body []byte, out *node.FrameWriter)
	register     func(*nodepb.RegisterRequest) *nodepb.RegisterReply
	reserve      func(context.Context, *nodepb.ReserveRequest) *nodepb.ReserveReply

	mu        sync.Mutex
	grants    int
	executed  map[string]int // dispatches by request ID
	answers   map[string][]byte
	cancelled map[string]int
}

func (s *stubAgent) status() *nodepb.AgentStatus {
	return &nodepb.AgentStatus{Incarnation: "i1", Places: 8}
}

func (s *stubAgent) Reserve(ctx context.Context, r *nodepb.ReserveRequest) (*nodepb.ReserveReply, error) {
	if s.reserve != nil {
		return s.reserve(ctx, r), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants++
	return &nodepb.ReserveReply{
		Verdict: nodepb.ReserveReply_GRANTED, GrantId: fmt.Sprint(s.grants), GrantLeaseMs: 1000, Status: s.status(),
	}, nil
}

func (s *stubAgent) Release(context.Context, *nodepb.ReleaseRequest) (*nodepb.ReleaseReply, error) {
	return &nodepb.ReleaseReply{Status: s.status()}, nil
}

func (s *stubAgent) Register(_ context.Context, r *nodepb.RegisterRequest) (*nodepb.RegisterReply, error) {
	if s.register != nil {
		return s.register(r), nil
	}
	return &nodepb.RegisterReply{Verdict: nodepb.RegisterReply_GRANTED}, nil
}

func (s *stubAgent) Resolve(_ context.Context, r *nodepb.ResolveRequest) (*nodepb.ResolveReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Cancel {
		s.cancelled[node.UnqualifyID(r.RequestId)]++
	}
	if s.executed[node.UnqualifyID(r.RequestId)] == 0 {
		return &nodepb.ResolveReply{State: nodepb.ResolveReply_NOT_STARTED}, nil
	}
	if r.Cancel {
		return &nodepb.ResolveReply{State: nodepb.ResolveReply_CANCELLED}, nil
	}
	return &nodepb.ResolveReply{State: nodepb.ResolveReply_ENDED}, nil
}

func (s *stubAgent) dispatch(w http.ResponseWriter, r *http.Request) {
	header, body, err := node.ReadDispatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, _ := io.ReadAll(body)
	s.mu.Lock()
	s.executed[node.UnqualifyID(header.RequestId)]++
	s.mu.Unlock()
	s.script(s, header, data, node.NewFrameWriter(w))
}

// run serves the answer that was recorded with setAnswer.
func (s *stubAgent) run(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var offset int
	fmt.Sscan(query.Get("offset"), &offset)
	s.mu.Lock()
	answer, ok := s.answers[query.Get("request_id")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	id := query.Get("request_id")
	var attempt uint32
	fmt.Sscan(query.Get("attempt"), &attempt)
	out := node.NewFrameWriter(w)
	writeHead(out, id, attempt, "text/event-stream")
	writeChunk(out, id, attempt, offset, answer[offset:])
	writeEnd(out, id, attempt, len(answer))
}

func (s *stubAgent) count(counts map[string]int, id string) func() int {
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return counts[id]
	}
}

func writeHead(out *node.FrameWriter, id string, attempt uint32, contentType string) {
	_ = out.Write(&nodepb.Frame{RequestId: id, Attempt: attempt, Kind: &nodepb.Frame_Head{Head: &nodepb.Head{
		Status: http.StatusOK, Headers: []*nodepb.Header{{Name: "Content-Type", Value: contentType}},
	}}})
}

func writeChunk(out *node.FrameWriter, id string, attempt uint32, offset int, data []byte) {
	_ = out.Write(&nodepb.Frame{RequestId: id, Attempt: attempt, Offset: int64(offset), Kind: &nodepb.Frame_Chunk{Chunk: data}})
}

func writeEnd(out *node.FrameWriter, id string, attempt uint32, length int) {
	_ = out.Write(&nodepb.Frame{RequestId: id, Attempt: attempt, Kind: &nodepb.Frame_End{End: &nodepb.End{
		Outcome: nodepb.End_COMPLETE, Bytes: int64(length),
	}}})
}

func startStubAgent(t *testing.T, script func(*stubAgent, *nodepb.DispatchHeader, []byte, *node.FrameWriter)) *stubAgent {
	t.Helper()
	s := &stubAgent{script: script, executed: map[string]int{}, answers: map[string][]byte{}, cancelled: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	service := nodepb.NewAgentServer(s)
	mux.Handle(service.PathPrefix(), service)
	mux.HandleFunc("POST "+node.DispatchPath, s.dispatch)
	mux.HandleFunc("GET "+node.RunsPath, s.run)
	serveUntilCleanup(t, func(ctx context.Context) error { return node.Serve(ctx, listener, mux) })
	return s
}

// serveUntilCleanup runs serve until the test ends and fails the test if it returns an
// error.
func serveUntilCleanup(t testing.TB, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}

func testTable() *table.Table {
	digest := sha256.Sum256([]byte(validKey))
	return table.New(1,
		[]table.Tier{{Name: "urgent", Rank: 0}, {Name: "batch", Rank: 1}},
		[]table.Account{{
			Name: "geodesia", KeyDigest: hex.EncodeToString(digest[:]), Weight: 1,
			Tiers: []string{"urgent", "batch"}, Endpoints: []string{"norte", "desk"},
		}},
		[]table.Endpoint{
			{Name: "norte", Kind: table.EndpointEngine, Weight: 1},
			{Name: "closed", Kind: table.EndpointEngine, Weight: 1},
			{Name: "desk", Kind: table.EndpointService, Weight: 1, NonIdempotent: []string{"POST"}},
		})
}

// startEntry runs an entry until the test ends.
func startEntry(t testing.TB, change func(*entry.Config), agents ...string) *entry.Entry {
	t.Helper()
	e := newEntry(t, change, agents...)
	serveUntilCleanup(t, e.Run)
	return e
}

// newEntry returns an entry that uses the given agents, each of which serves all pools.
func newEntry(t testing.TB, change func(*entry.Config), agents ...string) *entry.Entry {
	t.Helper()
	var instances []membership.Instance
	for _, pool := range []string{"norte", "desk"} {
		for i, address := range agents {
			instances = append(instances, membership.Instance{
				ID: fmt.Sprint(pool, i), Role: membership.RoleAgent, Pool: pool, Address: address, State: membership.StateLive,
			})
		}
	}
	view := membership.NewView(instances)
	rows := testTable()
	config := entry.Config{
		ID: "e1", CallerAddress: "127.0.0.1:0", InternalAddress: "127.0.0.1:0",
		Table:   func() *table.Table { return rows },
		Members: func() membership.View { return view },
		Log:     zerolog.Nop(), Seed: 1, DrainTimeout: 5 * time.Second,
	}
	if change != nil {
		change(&config)
	}
	e, err := entry.New(config)
	if err != nil {
		t.Fatal(err)
	}
	return e
}
