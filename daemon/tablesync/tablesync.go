// Package tablesync keeps a process's copy of the operators' table current. A few
// entries read the log stream; all other processes pull its records from parents
// in a bounded-degree overlay and read the log when the parents fail. The
// version of the published table never goes down.
package tablesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/invariant"
	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/overlay"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// DefaultStream is the stream that holds the table's records.
const DefaultStream = "table"

// Defaults of Timing.
const (
	DefaultLogWait          = 20 * time.Second
	DefaultPullWait         = 2 * time.Second
	DefaultPullGrace        = 500 * time.Millisecond
	DefaultLogCheckInterval = 30 * time.Second
	DefaultRetryMin         = 100 * time.Millisecond
	DefaultRetryMax         = 2 * time.Second
	DefaultSnapshotInterval = 10 * time.Minute
	DefaultSnapshotRecords  = 256
	DefaultPositionInterval = time.Second
)

// ErrStopped says that the Syncer does not run any more.
var ErrStopped = errors.New("table sync stopped")

// Log is the part of the log service's client that is used here.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error)
}

// Peers reaches other processes; node.Client is one.
type Peers interface {
	Table(address string) nodepb.Table
}

// Timing holds the intervals; zero values take the defaults.
type Timing struct {
	// LogWait is how long one long poll of the log waits for a record.
	LogWait time.Duration
	// PullWait is how long a parent is asked to wait for a record.
	PullWait time.Duration
	// PullGrace is how much longer than PullWait an answer may take.
	PullGrace time.Duration
	// LogCheckInterval is the mean time between looks into the log by a process that pulls.
	LogCheckInterval time.Duration
	// RetryMin and RetryMax bound the jittered back-off after a failure.
	RetryMin, RetryMax time.Duration
	// SnapshotInterval is the longest time between snapshots in the log; it must lie
	// well below the log's retention.
	SnapshotInterval time.Duration
	// SnapshotRecords is how many records there may be between snapshots.
	SnapshotRecords int64
	// PositionInterval is how often the place in the overlay is computed.
	PositionInterval time.Duration
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.LogWait, DefaultLogWait)
	setDefault(&t.PullWait, DefaultPullWait)
	setDefault(&t.PullGrace, DefaultPullGrace)
	setDefault(&t.LogCheckInterval, DefaultLogCheckInterval)
	setDefault(&t.RetryMin, DefaultRetryMin)
	setDefault(&t.RetryMax, DefaultRetryMax)
	setDefault(&t.SnapshotInterval, DefaultSnapshotInterval)
	setDefault(&t.SnapshotRecords, DefaultSnapshotRecords)
	setDefault(&t.PositionInterval, DefaultPositionInterval)
	return t
}

func setDefault[T ~int64](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

// Config is what a Syncer needs.
type Config struct {
	Log    Log
	Stream string // empty = DefaultStream
	Peers  Peers
	// Members returns the newest view of the instance list.
	Members func() membership.View
	// Self is the address of this process in the instance list.
	Self   string
	Timing Timing
	Logger zerolog.Logger
	Meter  metric.Meter // nil = no metrics
}

// Syncer keeps one process's table current.
type Syncer struct {
	cfg      Config
	current  atomic.Pointer[table.Table]
	position atomic.Pointer[overlay.Position]
	lag      atomic.Int64
	ready    atomic.Bool
	// lastContact is when the log or a parent last answered.
	lastContact atomic.Pointer[time.Time]
	// parentDown counts the parents that do not answer.
	parentDown [overlay.Parents]atomic.Bool
	calls      chan func(*core)
	stopped    chan struct{}
	metrics    metrics

	mu          sync.Mutex
	subscribers map[chan *table.Table]struct{}
}

// New returns a Syncer with an empty table; Run makes it work.
func New(cfg Config) (*Syncer, error) {
	if cfg.Stream == "" {
		cfg.Stream = DefaultStream
	}
	cfg.Timing = cfg.Timing.withDefaults()
	s := &Syncer{
		cfg:         cfg,
		calls:       make(chan func(*core)),
		stopped:     make(chan struct{}),
		subscribers: map[chan *table.Table]struct{}{},
	}
	s.current.Store(table.New(0, nil, nil, nil))
	s.updatePosition()
	s.recordContact()
	err := s.metrics.register(cfg.Meter, s)
	return s, err
}

// Run keeps the table current until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	defer close(s.stopped)
	var workers sync.WaitGroup
	workers.Go(func() { s.control(ctx) })
	workers.Go(func() { s.updatePositionLoop(ctx) })
	workers.Go(func() { s.readLogLoop(ctx) })
	workers.Go(func() { s.checkLogLoop(ctx) })
	workers.Go(func() { s.pullFromPeersLoop(ctx) })
	workers.Go(func() { s.writeSnapshotsLoop(ctx) })
	for slot := range overlay.Parents {
		workers.Go(func() { s.pullLoop(ctx, slot) })
	}
	workers.Wait()
}

// Current returns the newest table. It takes no lock.
func (s *Syncer) Current() *table.Table {
	return s.current.Load()
}

// Lag returns how many records are known to exist beyond the current table.
func (s *Syncer) Lag() int64 {
	return s.lag.Load()
}

// Ready reports whether the table was complete once: read to the log's end, or
// taken from a peer while the log could not be read.
func (s *Syncer) Ready() bool {
	return s.ready.Load()
}

// Subscribe returns a channel that carries the newest table after each change,
// leaving out those that a slow receiver missed, and a function that ends it.
func (s *Syncer) Subscribe() (<-chan *table.Table, func()) {
	c := make(chan *table.Table, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[c] = struct{}{}
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, c)
	}
}

// publish is called by the control goroutine only.
func (s *Syncer) publish(t *table.Table) {
	before := s.Current().Version
	invariant.Check(t.Version > before, "tablesync/forward", "version %d after %d", t.Version, before)
	s.current.Store(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.subscribers {
		select {
		case <-c:
		default:
		}
		c <- t
	}
}

// control owns the core and runs the calls on it one after another.
func (s *Syncer) control(ctx context.Context) {
	c := newCore(s)
	for {
		select {
		case call := <-s.calls:
			call(c)
		case <-ctx.Done():
			return
		}
	}
}

// do runs a call on the control goroutine and waits until it is done.
func (s *Syncer) do(ctx context.Context, call func(*core)) error {
	done := make(chan struct{})
	select {
	case s.calls <- func(c *core) { call(c); close(done) }:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "table call")
	case <-s.stopped:
		return ErrStopped
	}
	<-done
	return nil
}

func (s *Syncer) updatePosition() {
	place := overlay.Locate(s.cfg.Members(), s.cfg.Self)
	s.position.Store(&place)
}

func (s *Syncer) updatePositionLoop(ctx context.Context) {
	for pause(ctx, s.cfg.Timing.PositionInterval) {
		s.updatePosition()
	}
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random time between half and one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

// backoff is a jittered exponential back-off.
type backoff struct {
	low, high, next time.Duration
}

func (s *Syncer) backoff() *backoff {
	return &backoff{low: s.cfg.Timing.RetryMin, high: s.cfg.Timing.RetryMax, next: s.cfg.Timing.RetryMin}
}

func (b *backoff) reset() {
	b.next = b.low
}

func (b *backoff) wait(ctx context.Context) bool {
	d := jitter(b.next)
	b.next = min(2*b.next, b.high)
	return pause(ctx, d)
}
