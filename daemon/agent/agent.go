// Package agent is the process beside one endpoint. It grants places at the
// endpoint to entries, sends each dispatched request to the endpoint once,
// buffers the answers until they have been read, and drains before it exits.
//
// One control goroutine owns the endpoint.Machine (control.go). The other
// goroutines copy bytes and send it typed messages.
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

// Defaults for the durations and sizes of Config that are zero.
const (
	defaultGrantLease      = 2 * time.Second
	defaultRecordRetention = 10 * time.Minute
	defaultAnswerRetention = 30 * time.Second
	defaultCallerGrace     = 3 * time.Second
	defaultResumeTimeout   = 10 * time.Second
	defaultMaxWaiting      = 4096     // reservations
	defaultMaxSuspended    = 16       // runs
	defaultMaxBuffered     = 64 << 20 // bytes
	defaultMaxBody         = 16 << 20 // bytes
	incarnationBytes       = 8        // random bytes in an incarnation
)

// NoPreemption is the value of Config.MaxSuspended with which no run is suspended.
const NoPreemption = -1

// Config holds the settings of an agent. Durations and sizes of zero take their defaults.
type Config struct {
	// ID is the instance's ID in the instance list.
	ID string
	// Address is HOST:PORT of the listener for other processes of the system.
	Address string
	// Listener is used instead of listening on Address; may be nil.
	Listener net.Listener
	// FailureDomain is the failure domain of the instance.
	FailureDomain string
	// Pool is the name of the endpoint's row in the table: the model or the service.
	Pool string
	// Kind is the kind of the endpoint: a model engine or a plain service.
	Kind table.EndpointKind
	// EndpointURL is the base URL of the endpoint beside the agent.
	EndpointURL string
	// Table returns the newest table; nil while none is known.
	Table func() *table.Table
	// Members returns the newest view of the instance list.
	Members func() membership.View
	// Claims decides whether a request with an idempotency key may run on a plain
	// service; if nil, such requests are refused. An engine needs none.
	Claims Claims
	// Mount adds handlers to the agent's listener, for example that of the table; may be nil.
	Mount func(mux *http.ServeMux)
	// Log receives one event a line.
	Log zerolog.Logger
	// Meter creates the metric instruments; may be nil.
	Meter metric.Meter
	// Now is a monotonic clock; nil means the process's own.
	Now func() time.Duration
	// Incarnation is used instead of a random one; empty means random.
	Incarnation string

	// GrantLease is how long a grant can be dispatched after it was given.
	GrantLease time.Duration
	// StartHold is how long after the start of the process nothing is started, since an
	// earlier incarnation may have promised so; see shed.WitnessConfig. It is 0 if no
	// earlier incarnation can have promised anything.
	StartHold time.Duration
	// RecordRetention is how long the outcome of an attempt is remembered.
	RecordRetention time.Duration
	// AnswerRetention is how long the answer of an ended run stays readable.
	AnswerRetention time.Duration
	// CallerGrace is how long a run continues while nobody reads its answer.
	CallerGrace time.Duration
	// ResumeTimeout is how long a broken stream of the endpoint is resumed without
	// progress before the run is ended.
	ResumeTimeout time.Duration
	// MaxWaiting bounds the number of waiting reservations.
	MaxWaiting int
	// MaxSuspended bounds the number of suspended runs; see NoPreemption.
	MaxSuspended int
	// MaxBuffered bounds the bytes of answers kept of ended runs.
	MaxBuffered int64
	// MaxBody bounds the body of a request in bytes.
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

// Agent serves one endpoint to entries; see the package comment.
type Agent struct {
	cfg     Config
	control *control
	started time.Duration
	metrics *metrics
}

// New returns an agent that does not serve until Run is called.
func New(cfg Config) (*Agent, error) {
	cfg = cfg.withDefaults()
	if cfg.Table == nil {
		return nil, errors.New("agent: Config.Table is not set")
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
	endpointBackend, err := newBackend(a)
	if err != nil {
		return nil, err
	}
	a.control = newControl(cfg, instruments, endpointBackend)
	return a, nil
}

// NewIncarnation returns a random identity for one start of an agent.
func NewIncarnation() (string, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "agent: generate incarnation")
	}
	return hex.EncodeToString(random), nil
}

// Incarnation returns the identity of this start of the agent.
func (a *Agent) Incarnation() string {
	return a.cfg.Incarnation
}

// Handler returns the handler of the protocol between the processes of the system.
// Run serves it; a process may also mount it beside its own handlers.
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

// Run serves until ctx ends. It then drains, and returns once the last run has
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
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serveDone := make(chan error, 1)
	go func() { serveDone <- node.Serve(runCtx, listener, a.Handler()) }()
	controlDone := make(chan struct{})
	go func() {
		defer close(controlDone)
		a.control.run(runCtx)
	}()
	a.cfg.Log.Info().Str("agent", a.cfg.ID).Str("incarnation", a.cfg.Incarnation).Msg("agent_started")
	select {
	case err := <-serveDone:
		stop()
		<-controlDone
		return err
	case <-ctx.Done():
	}
	a.drainAndWait()
	a.cfg.Log.Info().Str("agent", a.cfg.ID).Msg("agent_drained")
	stop()
	<-controlDone
	return <-serveDone
}

// drainAndWait drains the agent, and returns once no run or open grant is left and
// no answer is being read.
func (a *Agent) drainAndWait() {
	done := make(chan struct{})
	a.control.post(stopMessage{done: done})
	<-done
}
