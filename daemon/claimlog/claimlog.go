// Package claimlog claims idempotency keys in the log service: it carries out
// the effects of the machine of coord/claim. One control goroutine owns the
// machine; one goroutine reads the stream by long polls and one appends to it.
package claimlog

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/claim"
	"primrosespoke.dev/daemon/peer/logservice"
)

// Defaults of Config.
const (
	DefaultStream = "claims"
	// DefaultPoll is the wait of one long poll.
	DefaultPoll = 5 * time.Second
)

const (
	inboxSize   = 1024
	readLimit   = 500
	busyTick    = 5 * time.Millisecond
	idleTick    = 500 * time.Millisecond
	minReadWait = 50 * time.Millisecond
	maxReadWait = time.Second
	flushBudget = 2 * time.Second
)

// ErrStopped says that the process ends. The call was not run.
var ErrStopped = errors.New("claimlog: stopped")

// LogService is what is needed of the log service's client.
type LogService interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error)
}

// Config describes a Log. Zero values take their defaults.
type Config struct {
	// LogService holds the stream.
	LogService LogService
	// Stream is the name of the stream of claims.
	Stream string
	// Claim holds the machine's settings; its Incarnation must be set.
	Claim claim.Config
	// Poll is the wait of one long poll.
	Poll time.Duration
	// SnapshotWriter tells whether this process should write snapshots; nil = never first.
	SnapshotWriter func() bool
	// Log receives one event a line.
	Log zerolog.Logger
	// Meter creates the instruments; may be nil.
	Meter metric.Meter
	// Now is a monotonic clock; nil = the process's.
	Now func() time.Duration
}

// Request is what a caller wants to run at most once.
type Request struct {
	// ID is the request's, for the log lines.
	ID string
	// Account is the client account and Key its idempotency key.
	Account, Key string
	// Method, Path and Body are what the key stands for.
	Method, Path string
	Body         []byte
	// CreatedMS is the key's creation time, in milliseconds since 1970, where the
	// caller states one; 0 = what the key itself states.
	CreatedMS int64
	// Wait is the time left until the caller's deadline.
	Wait time.Duration
}

// Decision is what became of a claim. Exactly one of Claim, Answer and Refusal is set.
type Decision struct {
	// Claim allows the request to run, once and before Deadline. The holder must end it by Done or Release.
	Claim string
	// Deadline is on the clock of Config.Now.
	Deadline time.Duration
	// Answer is what the first run of the key gave.
	Answer *claim.Answer
	// Refusal says why the request is not run.
	Refusal *claim.Refusal

	now func() time.Duration
}

// DeadlinePassed tells whether the deadline has passed: then the request must not be sent any more.
func (d Decision) DeadlinePassed() bool { return d.now() >= d.Deadline }

// Log claims keys for one process. It is safe for concurrent use.
type Log struct {
	cfg     Config
	metrics *metrics
	inbox   chan message
	appends chan claim.Append
	reads   chan int64
	stopped chan struct{}

	// Owned by the control goroutine.
	machine *claim.Machine
	calls   map[uint64]chan Decision
	next    uint64
	endBy   time.Duration // when Run returns whatever is left; 0 = not ending
}

// New returns a Log that does not run yet.
func New(cfg Config) (*Log, error) {
	if cfg.LogService == nil || cfg.Claim.Incarnation == "" {
		return nil, errors.New("claimlog: LogService or Incarnation is missing")
	}
	if cfg.Stream == "" {
		cfg.Stream = DefaultStream
	}
	if cfg.Poll == 0 {
		cfg.Poll = DefaultPoll
	}
	if cfg.Now == nil {
		start := time.Now()
		cfg.Now = func() time.Duration { return time.Since(start) }
	}
	if cfg.SnapshotWriter == nil {
		cfg.SnapshotWriter = func() bool { return false }
	}
	instruments, err := newMetrics(cfg.Meter)
	if err != nil {
		return nil, err
	}
	return &Log{
		cfg:     cfg,
		metrics: instruments,
		inbox:   make(chan message, inboxSize),
		appends: make(chan claim.Append, 1),
		reads:   make(chan int64, 1),
		stopped: make(chan struct{}),
		machine: claim.New(cfg.Claim),
		calls:   map[uint64]chan Decision{},
	}, nil
}

// Claim decides whether a request may run. When ctx ends first the call is
// given up, unless it was allowed to run in the same moment. The only error is ErrStopped.
func (l *Log) Claim(ctx context.Context, r Request) (Decision, error) {
	if r.CreatedMS == 0 {
		r.CreatedMS = claim.KeyCreatedMS(r.Key)
	}
	m := startMessage{request: r, reply: make(chan Decision, 1), call: make(chan uint64, 1)}
	if !l.post(m) {
		return Decision{}, ErrStopped
	}
	select {
	case d := <-m.reply:
		return d, nil
	case <-l.stopped:
		return Decision{}, ErrStopped
	case <-ctx.Done():
	}
	l.post(cancelMessage{call: m.call})
	select {
	case d := <-m.reply:
		return d, nil
	case <-l.stopped:
		return Decision{}, ErrStopped
	}
}

// Done notes that the run under a claim ended, with its answer or, by
// Answer.Unknown, without one. Repeats of the key are answered by it.
func (l *Log) Done(id string, answer claim.Answer) {
	l.post(eventMessage{claim.Ended{Claim: id, Answer: answer}})
}

// Release gives back a claim under which nothing was sent and nothing will be.
func (l *Log) Release(id string) {
	l.post(eventMessage{claim.NotStarted{Claim: id}})
}

// Ready tells whether claims can be decided now.
func (l *Log) Ready() bool { return l.State().Ready }

// State is what a dump shows.
type State struct {
	Ready bool  `json:"ready"`
	Next  int64 `json:"next"`
	// Pending is the number of calls that wait for a decision.
	Pending int `json:"pending"`
}

// State returns a copy of the state; the zero State once the Log has stopped.
func (l *Log) State() State {
	m := stateMessage{reply: make(chan State, 1)}
	if !l.post(m) {
		return State{}
	}
	select {
	case s := <-m.reply:
		return s
	case <-l.stopped:
		return State{}
	}
}

func (l *Log) post(m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.stopped:
		return false
	}
}
