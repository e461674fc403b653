package front

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
	"github.com/rs/zerolog"

	"primrosespoke.dev/daemon/boottime"
	"primrosespoke.dev/daemon/peer/backend"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	incarnationBytes = 8
	// maxHeaderBytes bounds a request's header, whatever the configuration allows.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time in which a header comes. Configurations allow less.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be unused. Configurations allow less.
	idleTimeout = 2 * time.Minute
	// exitMargin is the time kept for the end of the process.
	exitMargin = 700 * time.Millisecond
)

// MetricsHandler serves the metrics page.
type MetricsHandler = http.Handler

// Front is one entry process that sends requests straight to endpoints.
type Front struct {
	config      Config
	log         zerolog.Logger
	incarnation string
	clock       *boottime.Clock
	pool        *backend.Pool
	metrics     *metrics

	callerListener, readinessListener, operatorListener net.Listener
	relayListener                                       net.Listener
	peerSocket                                          *net.UDPConn

	inbox         chan message
	stopped       chan struct{}
	baseContext   context.Context
	cancelBase    context.CancelFunc
	configuration atomic.Pointer[configurationState]
	endpoints     atomic.Int64
	draining      atomic.Bool
	inProgress    atomic.Int64
	lastRequestID atomic.Uint64
	topics        map[Topic]*relayedTopic
	relay         *relayClient
}

// New opens the listeners of a front.
func New(cfg Config) (*Front, error) {
	cfg = cfg.withDefaults()
	m, err := newMetrics(cfg.Meter)
	if err != nil {
		return nil, err
	}
	base, cutAll := context.WithCancel(context.Background())
	f := &Front{
		config: cfg, log: cfg.Log, incarnation: newIncarnation(), clock: boottime.New(),
		pool: backend.NewPool(cfg.Backend), metrics: m,
		inbox: make(chan message, inboxSize), stopped: make(chan struct{}), baseContext: base, cancelBase: cutAll,
		topics: newRelayedTopics(), relay: newRelayClient(),
	}
	f.configuration.Store(&configurationState{})
	if err := f.open(); err != nil {
		f.closeListeners()
		return nil, err
	}
	return f, nil
}

func newIncarnation() string {
	var b [incarnationBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the kernel's source does not fail
	}
	return hex.EncodeToString(b[:])
}

func (f *Front) open() (err error) {
	if f.callerListener, err = net.Listen("tcp", f.config.CallerAddress); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if f.readinessListener, err = net.Listen("tcp", f.config.ReadyAddress); err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	if f.config.OperatorAddress != "" {
		if f.operatorListener, err = net.Listen("tcp", f.config.OperatorAddress); err != nil {
			return errors.Wrap(err, "listen for operators")
		}
	}
	if f.relayListener, err = net.Listen("tcp", f.config.PeerAddress); err != nil {
		return errors.Wrap(err, "listen for other entries' reads")
	}
	address, err := net.ResolveUDPAddr("udp", f.config.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "address for other entries")
	}
	f.peerSocket, err = net.ListenUDP("udp", address)
	return errors.Wrap(err, "listen for other entries")
}

func (f *Front) closeListeners() {
	for _, l := range []net.Listener{f.callerListener, f.readinessListener, f.operatorListener, f.relayListener} {
		if l != nil {
			_ = l.Close() // nothing depends on how a listener ends
		}
	}
	if f.peerSocket != nil {
		_ = f.peerSocket.Close()
	}
}

func (f *Front) now() time.Duration {
	return f.clock.Now()
}

// send hands a message to the control goroutine.
func (f *Front) send(m message) {
	select {
	case f.inbox <- m:
	case <-f.stopped:
	}
}

// Run serves until ctx ends, then drains.
func (f *Front) Run(ctx context.Context) error {
	f.log.Info().Str("callers", f.config.CallerAddress).Str("peers", f.config.PeerAddress).
		Str("incarnation", f.incarnation).Msg("started")
	var background sync.WaitGroup
	background.Go(func() { newControl(f).run(f.baseContext); close(f.stopped) })
	background.Go(f.listen)
	go f.serveRelay() // nothing depends on its end
	for _, follow := range []func(context.Context){f.followConfiguration, f.followEndpoints, f.followMembers} {
		background.Go(func() { follow(f.baseContext) })
	}
	rowContext, removeRow := context.WithCancel(f.baseContext)
	rowRemoved := make(chan struct{})
	background.Go(func() { f.writeMember(rowContext); close(rowRemoved) })

	callers := f.callerServer()
	failed := make(chan error, 3)
	f.serve(callers, f.callerListener, failed)
	f.serve(&http.Server{Handler: f.readiness()}, f.readinessListener, failed)
	if f.operatorListener != nil {
		f.serve(&http.Server{Handler: f.operatorHandler()}, f.operatorListener, failed)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		f.log.Error().Err(err).Msg("listener_failed")
	}
	f.drain(callers)
	// Until now the others had to count what was in progress here.
	removeRow()
	<-rowRemoved
	f.cancelBase()
	f.closeListeners()
	background.Wait()
	f.log.Info().Msg("stopped")
	return err
}

func (f *Front) serveRelay() {
	if err := node.Serve(f.baseContext, f.relayListener, nodepb.NewRelayServer(relayServer{f})); err != nil && f.baseContext.Err() == nil {
		f.log.Error().Err(err).Msg("relay_failed")
	}
}

func (f *Front) serve(s *http.Server, l net.Listener, failed chan<- error) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
}

func (f *Front) callerServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(f.serveCaller),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
}

// drain says "not ready", serves what still comes while the balancer notices, and
// waits for what is in progress.
func (f *Front) drain(callers *http.Server) {
	f.draining.Store(true)
	begun := time.Now()
	end := begun.Add(f.config.StopTimeout - exitMargin)
	f.log.Info().Int64("in_progress", f.inProgress.Load()).Dur("within_ms", time.Until(end)).Msg("stopping")
	sleep(f.baseContext, min(f.config.Timing.DrainDelay, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// Shutdown closes the listener and idle connections, and waits for the others.
	if err := callers.Shutdown(ctx); err != nil {
		f.log.Warn().Int64("in_progress", f.inProgress.Load()).Err(err).Msg("stopped_with_requests")
	}
}
