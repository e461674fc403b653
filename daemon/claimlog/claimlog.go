// Package claimlog decides whether a request with an idempotency key may run: it
// runs the state machine of coord/claim against a stream of the log service. One
// control goroutine owns the machine; one goroutine reads the stream by long polls
// and one appends to it.
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
	// DefaultStream is the name of the stream of claims.
	DefaultStream = "claims"
	// DefaultPoll is how long one long poll waits for records.
	DefaultPoll = 5 * time.Second
)

const (
	inboxSize         = 1024                   // messages
	readLimit         = 500                    // records per read
	busyTickInterval  = 5 * time.Millisecond   // between ticks while the machine is busy
	idleTickInterval  = 500 * time.Millisecond // between ticks while the machine is idle
	minReadRetryDelay = 50 * time.Millisecond  // before the first retry of a failed read; doubles with each failure
	maxReadRetryDelay = time.Second
	flushTimeout      = 2 * time.Second // for the last appends after the context of Run ends
)

// ErrStopped says that the Log has stopped and did not allow the request to run.
var ErrStopped = errors.New("claimlog: stopped")

// LogService is the part of the log service's client that a Log uses.
type LogService interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error)
}

// Config configures a Log. Zero values take their defaults.
type Config struct {
	// LogService appends to the stream and reads it; required.
	LogService LogService
	// Stream is the name of the stream of claims.
	Stream string
	// Claim configures the state machine; its Incarnation is required.
	Claim claim.Config
	// Poll is how long one long poll waits for records.
	Poll time.Duration
	// SnapshotWriter reports whether this process is the one chosen to write snapshots;
	// nil = never chosen. A process that is not chosen writes one only when it is long overdue.
	SnapshotWriter func() bool
	// Log receives the log lines.
	Log zerolog.Logger
	// Meter creates the instruments of the metrics; may be nil.
	Meter metric.Meter
	// Now reads a monotonic clock; nil = time since New was called.
	Now func() time.Duration
}

// Request describes a request that must run at most once.
type Request struct {
	// ID is the request ID.
	ID string
	// Account is the client account and Key its idempotency key.
	Account, Key string
	// Method, Path and Body are the content of the request: another request with the
	// same key must have the same content.
	Method, Path string
	Body         []byte
	// CreatedMS is the key's creation time as the caller states it, in milliseconds
	// since 1970; 0 = the creation time that the key contains.
	CreatedMS int64
	// TimeLeft is the time left until the caller's deadline.
	TimeLeft time.Duration
}

// Decision is the outcome of Log.Claim. Exactly one of Claim, Answer and Refusal is set.
type Decision struct {
	// Claim identifies a claim under which the request may run once, before Deadline.
	// The holder must end it with Done or Release.
	Claim string
	// Deadline is the time of Config.Now by which the request must be sent.
	Deadline time.Duration
	// Answer is the stored answer of the first run with the key.
	Answer *claim.Answer
	// Refusal says why the request is not run.
	Refusal *claim.Refusal

	now func() time.Duration
}

// DeadlinePassed reports whether the deadline has passed: the request must then not be sent.
func (d Decision) DeadlinePassed() bool { return d.now() >= d.Deadline }

// Log claims keys for one process. It is safe for concurrent use.
type Log struct {
	cfg     Config
	metrics *metrics
	inbox   chan message
	appends chan claim.Append
	reads   chan int64
	stopped chan struct{}

	// The fields below belong to the control goroutine.
	machine       *claim.Machine
	calls         map[uint64]chan Decision // calls without a decision, by number
	lastCall      uint64
	flushDeadline time.Duration // when Run returns whatever is left; 0 = not ending
}

// New returns a Log. It decides nothing until Run is called.
func New(cfg Config) (*Log, error) {
	if cfg.LogService == nil || cfg.Claim.Incarnation == "" {
		return nil, errors.New("claimlog: Config.LogService or Config.Claim.Incarnation is missing")
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

// Claim decides whether a request may run. If ctx ends first, the call is cancelled;
// the decision can still allow the run when it was made before the cancellation. The
// only error is ErrStopped.
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

// Done records that the run under a claim ended, with its answer or, if
// Answer.Unknown is set, without one. Later requests with the key get this answer.
func (l *Log) Done(id string, answer claim.Answer) {
	l.post(eventMessage{claim.Ended{Claim: id, Answer: answer}})
}

// Release returns a claim under which nothing was sent and nothing will be sent.
func (l *Log) Release(id string) {
	l.post(eventMessage{claim.NotStarted{Claim: id}})
}

// Ready reports whether claims can be decided now.
func (l *Log) Ready() bool { return l.State().Ready }

// State is the part of the state dump about a Log.
type State struct {
	Ready bool `json:"ready"`
	// Next is the offset of the stream to read from next.
	Next int64 `json:"next"`
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

// post hands a message to the control goroutine; false means that the Log has stopped.
func (l *Log) post(m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.stopped:
		return false
	}
}
