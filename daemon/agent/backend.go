package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/speed"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// backend carries out runs on the endpoint beside the agent: an engine
// (engine.go) or a plain service (service.go).
type backend interface {
	// run carries out a started run once, writes its answer to r.answer, ends it by
	// answer.finish or answer.refuse, and returns when the endpoint no longer works on it.
	// ctx is cancelled to cancel the run.
	run(ctx context.Context, r *run) outcome
	// suspend takes a run out of service; an error says that it goes on, and
	// errNoSuspension that no run can be suspended.
	suspend(ctx context.Context, r *run) error
	// resume brings a suspended run back; false = not now.
	resume(ctx context.Context, r *run) bool
	// resolveOtherIncarnation ends an attempt of another incarnation and tells what became of it.
	resolveOtherIncarnation(ctx context.Context, req *nodepb.ResolveRequest) endpoint.State
	// hasRun asks the endpoint whether it holds a run of a request.
	hasRun(ctx context.Context, requestID string) (bool, error)
	// places says how many runs at a time the endpoint is given where the table does not.
	places(learned *speed.Learner) int
	// background starts the backend's own loops; they end with ctx and report by post.
	background(ctx context.Context, post func(message))
}

// errNoSuspension says that the endpoint can suspend no run at all.
var errNoSuspension = errors.New("endpoint cannot suspend runs")

// outcome tells how a run ended at the endpoint.
type outcome struct {
	kind             endpoint.Outcome
	acknowledged     bool // the endpoint itself said that the run is over
	reason           string
	unreachable      bool // no connection to the endpoint could be made
	prefillTokens    int  // tokens computed
	cachedTokens     int
	generatedTokens  int
	wastedTokens     int           // prefill tokens computed for nothing
	timeToFirstToken time.Duration // from the start to the first token; 0 = unknown
}

func newBackend(a *Agent) (backend, error) {
	switch a.cfg.Kind {
	case table.EndpointEngine:
		return newEngineBackend(a), nil
	case table.EndpointService:
		return newServiceBackend(a)
	default:
		return nil, errors.Errorf("agent: unknown kind of endpoint %q", a.cfg.Kind)
	}
}

// gate tells a run's backend whether the run is suspended.
type gate struct {
	mu     sync.Mutex
	closed bool
	opened chan struct{} // closed when the gate opens
}

func newGate() *gate {
	return &gate{opened: make(chan struct{})}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		g.opened = make(chan struct{})
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.closed = false
		close(g.opened)
	}
}

// wait returns once the gate is open; waited tells whether it was shut.
func (g *gate) wait(ctx context.Context) (waited bool, err error) {
	for {
		g.mu.Lock()
		closed, opened := g.closed, g.opened
		g.mu.Unlock()
		if !closed {
			return waited, nil
		}
		waited = true
		select {
		case <-opened:
		case <-ctx.Done():
			return waited, ctx.Err()
		}
	}
}

// suspend asks the backend to suspend a run, in a goroutine of its own.
func (c *control) suspend(key endpoint.AttemptKey) {
	r := c.runs[key]
	c.metrics.preemptions.Add(c.ctx, 1, tierAttribute(r.header.Tier))
	r.gate.close()
	go func() {
		err := c.backend.suspend(c.ctx, r)
		if err != nil {
			r.gate.open()
		}
		c.post(suspendedMessage{key: key, err: err})
	}()
}

type suspendedMessage struct {
	key endpoint.AttemptKey
	err error
}

func (m suspendedMessage) apply(c *control) {
	never := errors.Is(m.err, errNoSuspension)
	c.step(endpoint.Suspended{Attempt: m.key, OK: m.err == nil, Unsupported: never})
}

// resume asks the backend to bring a run back, in a goroutine of its own.
func (c *control) resume(key endpoint.AttemptKey) {
	r := c.runs[key]
	go func() {
		ok := c.backend.resume(c.ctx, r)
		if ok {
			r.gate.open()
		}
		c.post(resumedMessage{key: key, ok: ok})
	}()
}

type resumedMessage struct {
	key endpoint.AttemptKey
	ok  bool
}

func (m resumedMessage) apply(c *control) {
	c.step(endpoint.Resumed{Attempt: m.key, OK: m.ok})
}
