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

	"primrosespoke.dev/coord/origin"
	"primrosespoke.dev/coord/quarantine"
	"primrosespoke.dev/daemon/boottime"
	"primrosespoke.dev/daemon/peer/backend"
)

const (
	// incarnationBytes is the length of the random number that identifies an incarnation.
	incarnationBytes = 8
)

// MetricsHandler serves the metrics page.
type MetricsHandler = http.Handler

// Front is one entry process that sends requests directly to endpoints.
type Front struct {
	config      Config
	log         zerolog.Logger
	incarnation string
	clock       *boottime.Clock
	pool        *backend.Pool
	metrics     *metrics
	// answerMemory bounds what is held of endpoints' answers.
	answerMemory *answerMemory
	// bodyMemory bounds what is held of callers' requests.
	bodyMemory *bodyMemory

	callerListener, readinessListener, operatorListener net.Listener
	relayListener                                       net.Listener
	intakes                                             intakes
	peerSocket                                          *net.UDPConn

	inbox          chan message    // to the control goroutine
	stopped        chan struct{}   // closed when the control goroutine has ended
	baseContext    context.Context // of all background work; ends after the drain
	cancelBase     context.CancelFunc
	configuration  atomic.Pointer[configurationState]                        // as last published by the control goroutine
	heldSubjects   atomic.Pointer[map[quarantine.Subject]quarantine.Holding] // as last published by the control goroutine; not changed
	endpointView   atomic.Pointer[endpointView]                              // as last published by the control goroutine
	limits         atomic.Pointer[limitView]                                 // as last published by the control goroutine; not changed
	draining       atomic.Bool
	drainBegun     chan struct{}           // closed when the drain begins
	requestsEnd    atomic.Int64            // when the requests in progress end, of clock; set before draining
	endContext     context.Context         // ends when the requests in progress must be answered
	endRequests    context.CancelFunc      // ends endContext
	inProgress     atomic.Int64            // number of callers' requests in progress
	lastDeliveryID atomic.Uint64           // last value of delivery.id
	topics         map[Topic]*relayedTopic // served to other fronts
	relay          *relayClient
	originBatches  chan []origin.Origin           // to be saved, from the control goroutine
	originReads    chan chan struct{}             // each is closed once the saved origins were read
	statusReads    chan struct{}                  // asks for a read of the statuses of roll-outs
	rolloutsOff    sync.Once                      // guards the log line that orders are ignored
	listedVersions atomic.Pointer[origin.Summary] // as last published by the control goroutine; not changed
	memberCount    atomic.Int64                   // of entries, this one included; as last known
	membersRead    sync.Once                      // guards the close of membersKnown
	membersKnown   chan struct{}                  // closed when the list of entries has been read
}

// New opens the listeners of a front.
func New(cfg Config) (*Front, error) {
	cfg = cfg.withDefaults()
	m, err := newMetrics(cfg.Meter)
	if err != nil {
		return nil, err
	}
	base, cancelBase := context.WithCancel(context.Background())
	endContext, endRequests := context.WithCancel(base)
	f := &Front{
		config: cfg, log: cfg.Log, incarnation: newIncarnation(), clock: boottime.New(),
		pool: backend.NewPool(cfg.Backend), metrics: m,
		answerMemory: newAnswerMemory(cfg.MaxHeldBytes), bodyMemory: newBodyMemory(cfg.MaxBodiesBytes, cfg.MaxBodyBytes),
		inbox: make(chan message, inboxSize), stopped: make(chan struct{}), baseContext: base, cancelBase: cancelBase,
		topics: newRelayedTopics(), relay: newRelayClient(), membersKnown: make(chan struct{}),
		drainBegun: make(chan struct{}), endContext: endContext, endRequests: endRequests,
		originBatches: make(chan []origin.Origin, 1), originReads: make(chan chan struct{}),
		statusReads: make(chan struct{}, 1),
	}
	f.answerMemory.ended = f.logAnswerEnded
	f.configuration.Store(&configurationState{})
	f.endpointView.Store(&endpointView{})
	f.limits.Store(&limitView{})
	f.heldSubjects.Store(&map[quarantine.Subject]quarantine.Holding{})
	if err := m.observeAges(cfg.Meter, f.listAge, f.configurationAge); err != nil {
		return nil, err
	}
	if err := f.open(); err != nil {
		f.closeListeners()
		return nil, err
	}
	f.intakes = f.newIntakes()
	if err := m.observeIntakes(cfg.Meter, f.intakes); err != nil {
		f.closeListeners()
		return nil, err
	}
	return f, nil
}

func newIncarnation() string {
	var b [incarnationBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the kernel's random source does not fail
	}
	return hex.EncodeToString(b[:])
}

func (f *Front) open() (err error) {
	if f.callerListener, err = net.Listen("tcp", f.config.CallerAddress); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if f.readinessListener, err = net.Listen("tcp", f.config.ReadyAddress); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	if f.config.OperatorAddress != "" {
		if f.operatorListener, err = net.Listen("tcp", f.config.OperatorAddress); err != nil {
			return errors.Wrap(err, "listen for operators")
		}
	}
	if f.relayListener, err = net.Listen("tcp", f.config.PeerAddress); err != nil {
		return errors.Wrap(err, "listen for topic reads of other entries")
	}
	address, err := net.ResolveUDPAddr("udp", f.config.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "resolve address for reports of other entries")
	}
	f.peerSocket, err = net.ListenUDP("udp", address)
	return errors.Wrap(err, "listen for reports of other entries")
}

func (f *Front) closeListeners() {
	for _, l := range []net.Listener{f.callerListener, f.readinessListener, f.operatorListener, f.relayListener} {
		if l != nil {
			_ = l.Close() // a failed close of a listener has no consequences
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

// Run serves until ctx ends or a listener fails, then drains.
func (f *Front) Run(ctx context.Context) error {
	f.log.Info().Str("callers", f.config.CallerAddress).Str("peers", f.config.PeerAddress).
		Str("incarnation", f.incarnation).Msg("front_started")
	var background sync.WaitGroup
	background.Go(func() { newControl(f).run(f.baseContext); close(f.stopped) })
	background.Go(f.listen)
	go f.serveRelay() // not waited for: nothing depends on its end
	for _, follow := range []func(context.Context){f.followConfiguration, f.followEndpoints, f.followMembers, f.writeOrigins, f.readOrigins, f.followStatuses} {
		background.Go(func() { follow(f.baseContext) })
	}
	rowContext, removeRow := context.WithCancel(f.baseContext)
	rowRemoved := make(chan struct{})
	background.Go(func() { f.writeMember(rowContext); close(rowRemoved) })

	callers := f.callerServer()
	failed := make(chan error, 3)
	f.serve(callers, f.intakes.callers, failed)
	f.serve(controlServer(f.intakes.readiness, f.readiness()), f.intakes.readiness, failed)
	if f.intakes.operators != nil {
		f.serve(controlServer(f.intakes.operators, f.operatorHandler()), f.intakes.operators, failed)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		f.log.Error().Err(err).Msg("listener_failed")
	}
	f.drain(callers)
	// Removed only after the drain: until now the other entries had to count the requests
	// in progress here.
	removeRow()
	<-rowRemoved
	f.cancelBase()
	f.closeListeners()
	background.Wait()
	f.log.Info().Msg("front_stopped")
	return err
}

// serve runs a server in the background. It sends an error to failed unless the server or
// its listener was closed.
func (f *Front) serve(s *http.Server, l net.Listener, failed chan<- error) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
}
