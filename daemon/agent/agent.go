// Package agent is the process beside one endpoint. It grants the endpoint's
// places, hands each dispatch to the endpoint once, keeps the answers while
// they are read, and drains before it leaves.
//
// One control goroutine owns the machine of coord/endpoint (control.go). The
// other goroutines move bytes and send it typed messages.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// Defaults for durations and sizes left at zero.
const (
	defaultGrantLease      = 2 * time.Second
	defaultRecordRetention = 10 * time.Minute
	defaultAnswerRetention = 30 * time.Second
	defaultCallerGrace     = 3 * time.Second
	defaultResumeTimeout   = 10 * time.Second
	defaultMaxWaiting      = 4096
	defaultMaxSuspended    = 16
	defaultMaxBuffered     = 64 << 20
	defaultMaxBody         = 16 << 20
	incarnationBytes       = 8
)

// NoPreemption as Config.MaxSuspended lets no run be suspended.
const NoPreemption = -1

// Config describes an agent. Zero durations and sizes take their defaults.
type Config struct {
	// ID is the instance's ID in the instance list.
	ID string
	// Address is HOST:PORT of the internal listener.
	Address string
	// Listener replaces listening on Address; may be nil.
	Listener net.Listener
	// FailureDomain the agent stands in.
	FailureDomain string
	// Pool is the name of the endpoint's row in the table.
	Pool string
	// Kind tells an engine from a plain service.
	Kind table.EndpointKind
	// EndpointURL is the base URL of the endpoint beside the agent.
	EndpointURL string
	// Table returns the newest table; nil until one is known.
	Table func() *table.Table
	// Members returns the newest view of the instance list.
	Members func() membership.View
	// Claims decides whether requests with an idempotency key may run on a plain
	// service; nil refuses them. An engine needs none.
	Claims Claims
	// Mount adds handlers to the internal listener, for example the table's; it may be nil.
	Mount func(mux *http.ServeMux)
	// Log receives one event a line.
	Log zerolog.Logger
	// Meter creates the metrics' instruments; may be nil.
	Meter metric.Meter
	// Now is a monotonic clock; nil = the process's.
	Now func() time.Duration
	// Incarnation overrides the random one.
	Incarnation string

	// GrantLease is how long a grant may be used.
	GrantLease time.Duration
	// StartHold is how long nothing is started at first, since an earlier
	// incarnation may have promised so; see shed.WitnessConfig. 0 = none had the chance.
	StartHold time.Duration
	// RecordRetention is how long what became of an attempt is remembered.
	RecordRetention time.Duration
	// AnswerRetention is how long an ended answer stays readable.
	AnswerRetention time.Duration
	// CallerGrace is how long a run goes on with nobody reading it.
	CallerGrace time.Duration
	// ResumeTimeout bounds the time without progress in which a broken stream is resumed.
	ResumeTimeout time.Duration
	// MaxWaiting bounds the waiting reservations.
	MaxWaiting int
	// MaxSuspended bounds the suspended runs; see NoPreemption.
	MaxSuspended int
	// MaxBuffered bounds the bytes kept of ended answers.
	MaxBuffered int64
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
}

func (c Config) withDefaults() Config {
	setDefault(&c.GrantLease, defaultGrantLease)
	setDefault(&c.RecordRetention, defaultRecordRetention)
	setDefault(&c.AnswerRetention, defaultAnswerRetention)
	setDefault(&c.CallerGrace, defaultCallerGrace)
	setDefault(&c.ResumeTimeout, defaultResumeTimeout)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.MaxSuspended, defaultMaxSuspended)
	setDefault(&c.MaxBuffered, int64(defaultMaxBuffered))
	setDefault(&c.MaxBody, int64(defaultMaxBody))
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	if c.Members == nil {
		c.Members = func() membership.View { return membership.View{} }
	}
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Agent is one agent process.
type Agent struct {
	cfg     Config
	control *control
	started time.Duration
	metrics *metrics
}

// New returns an agent that does not serve yet.
func New(cfg Config) (*Agent, error) {
	cfg = cfg.withDefaults()
	if cfg.Table == nil {
		return nil, errors.New("agent: Table is missing")
	}
	if cfg.Incarnation == "" {
		var err error
		if cfg.Incarnation, err = NewIncarnation(); err != nil {
			return nil, err
		}
	}
	instruments, err := newMetrics(cfg.Meter)
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, metrics: instruments, started: cfg.Now()}
	served, err := newBackend(a)
	if err != nil {
		return nil, err
	}
	a.control = newControl(cfg, instruments, served)
	return a, nil
}

// NewIncarnation returns an identity for one start of an agent.
func NewIncarnation() (string, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "agent: incarnation")
	}
	return hex.EncodeToString(random), nil
}

// Incarnation returns the identity of this start of the agent.
func (a *Agent) Incarnation() string {
	return a.cfg.Incarnation
}

// Handler returns the internal protocol's handler. Run serves it; a process
// may also mount it beside handlers of its own.
func (a *Agent) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.POST(node.DispatchPath, echo.WrapHandler(http.HandlerFunc(a.serveDispatch)))
	router.GET(node.RunsPath, echo.WrapHandler(http.HandlerFunc(a.serveRun)))
	calls := nodepb.NewAgentServer(&server{agent: a})
	router.POST(calls.PathPrefix()+"*", echo.WrapHandler(calls))
	if a.cfg.Mount == nil {
		return router
	}
	mux := http.NewServeMux()
	mux.Handle("/", router)
	a.cfg.Mount(mux)
	return mux
}

// Run serves until ctx ends, then drains and returns once the last run has
// ended and its answer has been read.
func (a *Agent) Run(ctx context.Context) error {
	listener := a.cfg.Listener
	if listener == nil {
		opened, err := net.Listen("tcp", a.cfg.Address)
		if err != nil {
			return errors.Wrap(err, "agent: listen")
		}
		listener = opened
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan error, 1)
	go func() { served <- node.Serve(inner, listener, a.Handler()) }()
	controlled := make(chan struct{})
	go func() {
		defer close(controlled)
		a.control.run(inner)
	}()
	a.cfg.Log.Info().Str("agent", a.cfg.ID).Str("incarnation", a.cfg.Incarnation).Msg("agent started")
	select {
	case err := <-served:
		stop()
		<-controlled
		return err
	case <-ctx.Done():
	}
	a.drainAndWait()
	a.cfg.Log.Info().Str("agent", a.cfg.ID).Msg("agent drained")
	stop()
	<-controlled
	return <-served
}

// drainAndWait drains and waits until nothing runs and nobody reads.
func (a *Agent) drainAndWait() {
	done := make(chan struct{})
	a.control.post(stopMessage{done: done})
	<-done
}
