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

// backend executes runs on the endpoint beside the agent: a model engine (engine.go)
// or a plain service (service.go).
type backend interface {
	// run sends the request of a run to the endpoint once, writes the answer to r.answer,
	// ends it by answer.finish or answer.refuse, and returns when the endpoint no longer
	// works on the run. The run is cancelled by cancelling ctx.
	run(ctx context.Context, r *run) outcome
	// suspend takes a run out of service. If it fails the run continues; errNoSuspension
	// means that the endpoint cannot suspend any run.
	suspend(ctx context.Context, r *run) error
	// resume puts a suspended run back into service; false means that it stays suspended.
	resume(ctx context.Context, r *run) bool
	// resolveOtherIncarnation cancels an attempt that another incarnation of the agent
	// was given, and returns what became of it.
	resolveOtherIncarnation(ctx context.Context, req *nodepb.ResolveRequest) endpoint.State
	// hasRun asks the endpoint whether it has a run with an ID, as run.endpointRunID.
	hasRun(ctx context.Context, endpointRunID string) (bool, error)
	// places returns the number of concurrent runs if the table does not set it.
	places(estimator *speed.Estimator) int
	// background starts the backend's own goroutines. They end with ctx and send their
	// results by post.
	background(ctx context.Context, post func(message))
}

// errNoSuspension means that the endpoint cannot suspend any run.
var errNoSuspension = errors.New("endpoint cannot suspend runs")

// outcome tells how a run ended at the endpoint and what it cost, in tokens.
type outcome struct {
	kind             endpoint.Outcome
	acknowledged     bool // the endpoint itself confirmed the end of the run
	reason           string
	unreachable      bool // no connection to the endpoint could be made
	prefillTokens    int  // prompt tokens computed, not taken from the prefix cache
	cachedTokens     int
	generatedTokens  int
	wastedTokens     int           // prefill tokens computed for an answer that was discarded
	timeToFirstToken time.Duration // since the start of the run; 0 = unknown
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

// gate is closed while a run is suspended. The run's backend waits at it before it
// resumes the stream.
type gate struct {
	mu     sync.Mutex
	closed bool
	opened chan struct{} // closed by open
}

func newGate() *gate {
	return &gate{opened: make(chan struct{})}
}

func (g *gate) setClosed() {
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

// wait blocks while the gate is closed; waited reports whether it was.
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

// suspend asks the backend to suspend a run, without blocking the control goroutine.
func (c *control) suspend(key endpoint.AttemptKey) {
	r := c.runs[key]
	c.metrics.preemptions.Add(c.ctx, 1, tierAttribute(r.header.Tier))
	r.gate.setClosed()
	go func() {
		err := c.backend.suspend(c.ctx, r)
		if err != nil {
			r.gate.open()
		}
		c.post(suspendedMessage{key: key, err: err})
	}()
}

// suspendedMessage reports the result of suspending a run.
type suspendedMessage struct {
	key endpoint.AttemptKey
	err error
}

func (m suspendedMessage) apply(c *control) {
	unsupported := errors.Is(m.err, errNoSuspension)
	c.step(endpoint.Suspended{Attempt: m.key, OK: m.err == nil, Unsupported: unsupported})
}

// resume asks the backend to resume a run, without blocking the control goroutine.
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

// resumedMessage reports the result of resuming a run.
type resumedMessage struct {
	key endpoint.AttemptKey
	ok  bool
}

func (m resumedMessage) apply(c *control) {
	c.step(endpoint.Resumed{Attempt: m.key, OK: m.ok})
}
