// Package tablesync keeps a process's copy of the operators' table up to date. A few entries
// read the records of the table from a log stream. All other processes pull the records from
// parents in an overlay of bounded degree, and read the log if no parent responds. The version
// of the published table never decreases.
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

// DefaultStream is the name of the log stream that holds the table's records.
const DefaultStream = "table"

// Defaults of the fields of Timing.
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

// ErrStopped means that Run of the Syncer has ended.
var ErrStopped = errors.New("table sync stopped")

// Log is the part of the log service's client that a Syncer uses.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error)
}

// Peers returns clients of other processes; node.Client implements it.
type Peers interface {
	Table(address string) nodepb.Table
}

// Timing holds intervals and timeouts; zero values are replaced by the defaults.
type Timing struct {
	// LogWait is how long one long poll of the log waits for a record.
	LogWait time.Duration
	// PullWait is how long a parent is asked to wait for a record.
	PullWait time.Duration
	// PullGrace is how much longer than the requested wait a reply may take.
	PullGrace time.Duration
	// LogCheckInterval is the mean interval at which a process that pulls reads the log too.
	LogCheckInterval time.Duration
	// RetryMin and RetryMax bound the backoff after a failure, before jitter.
	RetryMin, RetryMax time.Duration
	// SnapshotInterval is the age of the newest snapshot in the log at which the next one is
	// due. It must be well below the log's retention time, so that the log always holds a
	// snapshot.
	SnapshotInterval time.Duration
	// SnapshotRecords is the number of records after a snapshot at which the next one is due.
	SnapshotRecords int64
	// PositionInterval is the interval at which the position in the overlay is computed.
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

func setDefault[T ~int64](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Config configures a Syncer.
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

// Syncer keeps one process's copy of the table up to date.
type Syncer struct {
	cfg      Config
	current  atomic.Pointer[table.Table]
	position atomic.Pointer[overlay.Position]
	lag      atomic.Int64
	ready    atomic.Bool
	// lastContact is when the log or a peer last answered.
	lastContact atomic.Pointer[time.Time]
	// parentDown tells, by slot, whether the parent does not respond; it is true for an unused
	// slot.
	parentDown [overlay.Parents]atomic.Bool
	calls      chan func(*core)
	stopped    chan struct{}
	metrics    metrics

	mu          sync.Mutex
	subscribers map[chan *table.Table]struct{}
}

// New returns a Syncer with an empty table. Run must be called to keep it up to date.
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

// Run keeps the table up to date until ctx ends. It must be called once.
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

// Current returns the newest table. It doesn't block.
func (s *Syncer) Current() *table.Table {
	return s.current.Load()
}

// Lag returns how many records are known to exist after the version of the current table.
func (s *Syncer) Lag() int64 {
	return s.lag.Load()
}

// Ready reports whether the table was ever complete: read up to the log's end, or as new as the
// newest table of several peers, which suffices while the log can't be read.
func (s *Syncer) Ready() bool {
	return s.ready.Load()
}

// Subscribe returns a channel that receives the newest table after each change, and a function
// that ends the subscription. A slow receiver gets only the newest table.
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

// publish makes a newer table the current one and sends it to the subscribers. Only the control
// goroutine calls it.
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

// control owns the core and runs the calls on it one at a time.
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

// do runs a call on the control goroutine and waits until it has returned.
func (s *Syncer) do(ctx context.Context, call func(*core)) error {
	done := make(chan struct{})
	select {
	case s.calls <- func(c *core) { call(c); close(done) }:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the control goroutine of the table")
	case <-s.stopped:
		return ErrStopped
	}
	<-done
	return nil
}

// updatePosition computes this process's position in the overlay from the instance list.
func (s *Syncer) updatePosition() {
	position := overlay.Locate(s.cfg.Members(), s.cfg.Self)
	s.position.Store(&position)
}

// updatePositionLoop recomputes the position at intervals until ctx ends.
func (s *Syncer) updatePositionLoop(ctx context.Context) {
	for pause(ctx, s.cfg.Timing.PositionInterval) {
		s.updatePosition()
	}
}

// pause waits for d and reports whether ctx has not ended by then.
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

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

// backoff computes the waits of an exponential backoff with jitter.
type backoff struct {
	low, high, next time.Duration
}

func (s *Syncer) backoff() *backoff {
	return &backoff{low: s.cfg.Timing.RetryMin, high: s.cfg.Timing.RetryMax, next: s.cfg.Timing.RetryMin}
}

func (b *backoff) reset() {
	b.next = b.low
}

// wait waits for the next time of the backoff and reports whether ctx has not ended by then.
func (b *backoff) wait(ctx context.Context) bool {
	d := jitter(b.next)
	b.next = min(2*b.next, b.high)
	return pause(ctx, d)
}
