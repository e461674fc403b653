package process

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/shed"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/agent"
	"primrosespoke.dev/daemon/claimlog"
	"primrosespoke.dev/daemon/entry"
	"primrosespoke.dev/daemon/peer/node/nodepb"
	"primrosespoke.dev/daemon/peer/operator"
)

// startHold is how long a process starts no work and is not ready after its own start. An
// earlier incarnation may have promised, as a witness for a permit to shed, to start no work
// of lower tiers while the permit is valid.
const startHold = shed.DefaultLease

// controls holds the operations that the operators' listener calls on an entry or an agent.
type controls interface {
	// Ready reports whether the process accepts new work.
	Ready() bool
	// Live reports whether the process still responds.
	Live() bool
	// Dump returns the process's state, which is encoded as JSON.
	Dump() any
	// SetDrain starts a drain if on is true and recalls it otherwise.
	SetDrain(ctx context.Context, on bool) error
}

// currentTable returns the current table, or nil until a complete one was read.
func (b *base) currentTable() *table.Table {
	if !b.table.Ready() {
		return nil
	}
	return b.table.Current()
}

// operators returns the handler of the operators' listener.
func (b *base) operators(c controls) http.Handler {
	return operator.New(operator.Config{
		Table:   b.table,
		Live:    c.Live,
		Ready:   func() bool { return b.table.Ready() && c.Ready() && time.Since(b.started) > startHold },
		Dump:    func() any { return b.dump(c) },
		Drain:   c.SetDrain,
		Metrics: b.metrics.Handler,
		Log:     b.log,
	})
}

// Started is called once a process has been built, before it serves, with its log and a
// function that returns its state for a dump.
type Started func(log zerolog.Logger, dump func() any)

func (b *base) reportStarted(started Started, c controls) {
	if started != nil {
		started(b.log, func() any { return b.dump(c) })
	}
}

// state is the JSON of a process's state dump.
type state struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	TableVersion  int64  `json:"table_version"`
	LogLag        int64  `json:"log_lag_records"`
	ListAgeMS     int64  `json:"list_age_ms"` // milliseconds since the instance list was read; -1 = never read
	Instances     int    `json:"instances"`
	Table         any    `json:"table"`
	Process       any    `json:"process"`
}

func (b *base) dump(c controls) state {
	s := state{
		ID:            b.settings.ID,
		FailureDomain: b.settings.FailureDomain,
		TableVersion:  b.table.Current().Version,
		LogLag:        b.table.Lag(),
		ListAgeMS:     -1,
		Instances:     len(b.members().All()),
		Table:         b.table.Dump(context.Background()),
		Process:       c.Dump(),
	}
	if age, read := b.poller.Age(); read {
		s.ListAgeMS = age.Milliseconds()
	}
	return s
}

// entryControls implements controls for an entry.
type entryControls struct{ *entry.Entry }

// SetDrain implements controls.
func (c entryControls) SetDrain(_ context.Context, on bool) error {
	if on {
		c.Drain()
	} else {
		c.Recall()
	}
	return nil
}

// agentControls implements controls for an agent. SetDrain calls the agent's own internal
// listener.
type agentControls struct {
	*agent.Agent
	base   *base
	claims *claimlog.Log // nil if the agent serves an engine
}

// Ready reports whether the agent has a table, does not drain and, if it serves a plain
// service, has read the claims.
func (c agentControls) Ready() bool {
	if c.claims != nil && !c.claims.Ready() {
		return false
	}
	return c.base.currentTable() != nil && !c.draining()
}

func (c agentControls) draining() bool {
	state, ok := c.Dump().(agent.State)
	return ok && state.Endpoint.Draining
}

// Live reports whether the agent's control goroutine responds.
func (c agentControls) Live() bool {
	return c.Dump() != nil
}

// SetDrain implements controls.
func (c agentControls) SetDrain(ctx context.Context, on bool) error {
	action := nodepb.DrainRequest_RECALL
	if on {
		action = nodepb.DrainRequest_START
	}
	request := &nodepb.DrainRequest{
		Action:    action,
		TimeoutMs: c.base.settings.Agent.DrainTimeout.Milliseconds(),
	}
	_, err := c.base.client.Agent(c.base.settings.Addresses.Internal).SetDrain(ctx, request)
	return errors.Wrap(err, "drain")
}
