// Package process builds and runs an entry, an agent or a front from its settings. For an
// entry and an agent, that includes the log, the metrics, the instance list, the table and the
// operators' listener.
package process

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"primrosespoke.dev/coord/invariant"
	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/daemon/peer/instancelist"
	"primrosespoke.dev/daemon/peer/logservice"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
	"primrosespoke.dev/daemon/settings"
	"primrosespoke.dev/daemon/tablesync"
	"primrosespoke.dev/daemon/telemetry"
)

// base holds the components that an entry and an agent have in common.
type base struct {
	settings   *settings.Settings
	log        zerolog.Logger
	metrics    *telemetry.Metrics
	client     *node.Client
	logService *logservice.Client
	poller     *instancelist.Poller
	view       atomic.Pointer[membership.View]
	table      *tablesync.Syncer
	started    time.Time
}

func newBase(s *settings.Settings) (*base, error) {
	log, err := telemetry.NewLogger(os.Stderr, s.LogLevel)
	if err != nil {
		return nil, err
	}
	log = log.With().Str("instance", s.ID).Str("failure_domain", s.FailureDomain).Logger()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	b := &base{
		settings:   s,
		log:        log,
		metrics:    metrics,
		client:     node.NewClient(),
		logService: logservice.New(s.Platform.LogService, logservice.Options{}),
		started:    time.Now(),
	}
	b.view.Store(&membership.View{})
	b.poller = &instancelist.Poller{
		Client:   instancelist.New(s.Platform.InstanceList),
		Interval: s.Platform.ListPoll,
		Log:      log,
	}
	if err := b.reportInvariantViolations(); err != nil {
		return nil, err
	}
	b.table, err = tablesync.New(tablesync.Config{
		Log:     b.logService,
		Stream:  s.Platform.ConfigStream,
		Peers:   b.client,
		Members: b.members,
		Self:    s.Addresses.Internal,
		Timing:  tablesync.Timing{SnapshotInterval: s.Platform.SnapshotEvery},
		Logger:  log,
		Meter:   metrics.Meter,
	})
	return b, err
}

// reportInvariantViolations replaces the default handling of violated invariants, which panics,
// with a log line and a counter.
func (b *base) reportInvariantViolations() error {
	violations, err := b.metrics.Meter.Int64Counter("primrosespoke_invariant_violations")
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	invariant.SetReporter(func(v invariant.Violation) {
		violations.Add(context.Background(), 1)
		b.log.Error().Str("invariant", v.Name).Str("detail", v.Detail).Msg("invariant_violated")
	})
	return nil
}

// members returns the newest view of the instance list.
func (b *base) members() membership.View {
	return *b.view.Load()
}

// setMembers stores a new view of the instance list and discards the clients of instances
// that are no longer in it.
func (b *base) setMembers(view membership.View) {
	b.view.Store(&view)
	b.client.Retain(func(address string) bool {
		_, listed := view.ByAddress(address)
		return listed
	})
}

// mount adds the handlers of the table protocol to the mux of an internal listener.
func (b *base) mount(mux *http.ServeMux) {
	server := nodepb.NewTableServer(b.table)
	mux.Handle(server.PathPrefix(), server)
}

// service is the part of a process that is drained at its end: an entry or an agent.
type service interface {
	// Run serves until its context ends, then drains.
	Run(ctx context.Context) error
}

// run serves until ctx ends and s has drained. The instance list, the table and the operators'
// listener, which a drain needs, keep running until the drain is over.
func (b *base) run(ctx context.Context, s service, operators http.Handler) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(inner)
	group.Go(func() error {
		b.poller.Run(inner, b.setMembers)
		return nil
	})
	group.Go(func() error {
		b.table.Run(inner)
		return nil
	})
	group.Go(func() error { return serveOperators(inner, b.settings.Addresses.Operator, operators) })
	group.Go(func() error {
		defer stop()
		return s.Run(ctx)
	})
	err := group.Wait()
	b.client.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
