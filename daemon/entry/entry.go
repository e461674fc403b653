package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/peer/caller"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	incarnationBytes  = 8                     // of random data, which identify an incarnation
	inboxCapacity     = 1024                  // messages
	drainPollInterval = 20 * time.Millisecond // between checks whether all answers are finished
)

// Entry is one entry process. Its control goroutine owns the state of all requests;
// one goroutine per caller's connection reads requests and writes answers.
type Entry struct {
	config           Config
	incarnation      string
	started          time.Time
	client           *node.Client
	callerListener   net.Listener
	internalListener net.Listener
	server           *caller.Server
	metrics          *metrics
	bodies           *bodyMemory

	inbox       chan message
	stopped     chan struct{}   // closed when the control goroutine has ended
	baseContext context.Context // of all work for requests; ends when it is to be aborted
	cancelBase  context.CancelFunc
	peerCalls   sync.WaitGroup // background calls to peers in progress
	draining    atomic.Bool
	// callersInProgress is the number of callers' requests in progress.
	callersInProgress atomic.Int64
	lastCallKey       atomic.Uint64
	lastTick          atomic.Int64 // time of the control goroutine's last tick, in ns on the clock of now
	control           *control
}

// New checks the settings and listens on both addresses. Run serves them.
func New(config Config) (*Entry, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", config.CallerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	internal, err := net.Listen("tcp", config.InternalAddress)
	if err != nil {
		callers.Close()
		return nil, errors.Wrap(err, "listen for internal calls")
	}
	instruments, err := newMetrics(config.Meter)
	if err != nil {
		callers.Close()
		internal.Close()
		return nil, err
	}
	e := &Entry{
		config:           config,
		incarnation:      newIncarnation(),
		started:          time.Now(),
		client:           node.NewClient(),
		callerListener:   callers,
		internalListener: internal,
		metrics:          instruments,
		bodies:           newBodyMemory(config.BodyMemory, config.MaxBodyBytes),
		inbox:            make(chan message, inboxCapacity),
		stopped:          make(chan struct{}),
	}
	e.baseContext, e.cancelBase = context.WithCancel(context.Background())
	e.control = newControl(e)
	e.server = caller.NewServer(caller.Config{
		Handler:        e,
		MaxBodyBytes:   config.MaxBodyBytes,
		MaxConnections: config.MaxConnections,
		ReadTimeout:    config.ReadTimeout,
		WriteTimeout:   config.WriteTimeout,
		Log:            config.Log,
	})
	return e, nil
}

func newIncarnation() string {
	var raw [incarnationBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(raw[:])
}

// CallerAddress returns the HOST:PORT of the listener for callers.
func (e *Entry) CallerAddress() string {
	return e.callerListener.Addr().String()
}

// InternalAddress returns the HOST:PORT of the listener for the other processes of
// the system.
func (e *Entry) InternalAddress() string {
	return e.internalListener.Addr().String()
}

// Incarnation returns the identifier that distinguishes this start of the process
// from earlier ones.
func (e *Entry) Incarnation() string {
	return e.incarnation
}

// Run serves until ctx ends or a listener fails, then drains: the readiness check
// fails, new requests are refused, and answers in progress have the drain timeout to
// finish.
func (e *Entry) Run(ctx context.Context) error {
	controlCtx, stopControl := context.WithCancel(context.Background())
	go func() {
		defer close(e.stopped)
		e.control.loop(controlCtx)
	}()
	failed := make(chan error, 2)
	internalCtx, stopInternal := context.WithCancel(context.Background())
	internalDone := make(chan struct{})
	go func() {
		defer close(internalDone)
		failed <- node.Serve(internalCtx, e.internalListener, e.internalHandler())
	}()
	callersDone := make(chan struct{})
	go func() {
		defer close(callersDone)
		failed <- e.server.Serve(e.callerListener)
	}()
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	e.Drain()
	limit, cancel := context.WithTimeout(context.Background(), e.config.DrainTimeout)
	defer cancel()
	if err == nil {
		e.awaitAnswers(limit)
	}
	drainErr := e.server.Shutdown(limit)
	e.cancelBase()
	e.peerCalls.Wait()
	stopControl()
	stopInternal()
	<-callersDone
	<-internalDone
	<-e.stopped
	e.client.Close()
	if err != nil {
		return err
	}
	return drainErr
}

// awaitAnswers waits until no answer is in progress or ctx ends. The listener stays
// open meanwhile, so that new requests are refused with a time to retry.
func (e *Entry) awaitAnswers(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for e.callersInProgress.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Drain makes the readiness check fail and refuses new requests. Requests in progress
// continue.
func (e *Entry) Drain() {
	if !e.draining.Swap(true) {
		e.config.Log.Info().Str("event", "drain_started").Msg("")
	}
}

// Recall ends a drain: the entry accepts new requests again.
func (e *Entry) Recall() {
	if e.draining.Swap(false) {
		e.config.Log.Info().Str("event", "drain_recalled").Msg("")
	}
}

// Ready reports whether the entry accepts new requests.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.config.Table() != nil
}

// Live reports whether the control goroutine has run within livenessTimeout.
func (e *Entry) Live() bool {
	return e.now()-time.Duration(e.lastTick.Load()) < livenessTimeout
}

// now returns the monotonic time since the entry was created.
func (e *Entry) now() time.Duration {
	return time.Since(e.started)
}

func (e *Entry) internalHandler() http.Handler {
	mux := http.NewServeMux()
	service := nodepb.NewEntryServer(&nodeService{entry: e})
	mux.Handle(service.PathPrefix(), service)
	if e.config.Mount != nil {
		e.config.Mount(mux)
	}
	return mux
}
