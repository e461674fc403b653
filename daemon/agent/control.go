package agent

import (
	"context"
	"time"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/registry"
	"primrosespoke.dev/coord/shed"
	"primrosespoke.dev/coord/speed"
	"primrosespoke.dev/daemon/peer/engine"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	inboxSize           = 1024 // messages
	tickInterval        = 20 * time.Millisecond
	idleTickInterval    = 250 * time.Millisecond // tick interval while nothing runs or waits
	memberCheckInterval = 500 * time.Millisecond
)

// message is sent to the control goroutine, which calls apply; apply must not block.
type message interface{ apply(c *control) }

// control owns the machine. The fields of the first group do not change after newControl,
// and ctx is set once when run starts. All others belong to the control goroutine.
type control struct {
	cfg     Config
	metrics *metrics
	backend backend
	inbox   chan message
	stopped chan struct{}

	machine   *endpoint.Machine
	registrar *registry.Registrar
	witness   *shed.Witness
	// waiters are the calls that wait for the answer to a reservation, each with the
	// channel for its reply.
	waiters map[endpoint.ReservationKey][]chan *nodepb.ReserveReply
	// reservations are the requests of the waiting reservations.
	reservations map[endpoint.ReservationKey]reserveMessage
	runs         map[endpoint.AttemptKey]*run
	// endpointRuns holds the runs that the endpoint works on, by their endpointRunID.
	endpointRuns map[string]*run
	// readers counts the open readers of all answers.
	readers int
	// dispatching is the dispatch whose event is being handled; nil if none is.
	dispatching *dispatchMessage
	// stopping holds the channels to close when the drain of a stopping agent is complete.
	stopping        []chan struct{}
	drainedByList   bool // the instance list has this instance as leaving, which started a drain
	nextMemberCheck time.Duration
	ctx             context.Context

	speed       *speed.Estimator
	cache       cacheView
	load        engine.Load   // the engine's newest load report
	lastStart   time.Duration // time of the last start of a run
	lastPrefill time.Duration // expected prefill time of the run started last
	lastToken   time.Duration // time of the last progress report with a token
}

func newControl(cfg Config, instruments *metrics, endpointBackend backend) *control {
	c := &control{
		cfg:          cfg,
		metrics:      instruments,
		backend:      endpointBackend,
		inbox:        make(chan message, inboxSize),
		stopped:      make(chan struct{}),
		waiters:      map[endpoint.ReservationKey][]chan *nodepb.ReserveReply{},
		reservations: map[endpoint.ReservationKey]reserveMessage{},
		runs:         map[endpoint.AttemptKey]*run{},
		endpointRuns: map[string]*run{},

		registrar: newRegistrar(cfg),
		speed:     newEstimator(),
		cache:     cacheView{blocks: map[string]struct{}{}},
		machine: endpoint.New(endpoint.Config{
			Incarnation:     cfg.Incarnation,
			Places:          initialPlaces,
			GrantLease:      cfg.GrantLease,
			RecordRetention: cfg.RecordRetention,
			AnswerRetention: cfg.AnswerRetention,
			CallerGrace:     cfg.CallerGrace,
			MaxWaiting:      cfg.MaxWaiting,
			MaxSuspended:    max(cfg.MaxSuspended, 0),
			MaxBuffered:     cfg.MaxBuffered,
			MinRemaining:    minRemaining,
			PreemptAfter:    preemptAfter,
			Stretch:         stretch,
		}),
	}
	c.witness = newWitness(cfg, c.machine)
	return c
}

const (
	// The fields of endpoint.Config of the same names describe these.
	minRemaining = 300 * time.Millisecond
	preemptAfter = 15 * time.Millisecond
	stretch      = 10 // multiple of the cost
)

// post sends a message to the control goroutine. It is dropped if that has stopped.
func (c *control) post(m message) {
	select {
	case c.inbox <- m:
	case <-c.stopped:
	}
}

// run handles messages and ticks until ctx ends. Its goroutine is the control goroutine.
func (c *control) run(ctx context.Context) {
	defer close(c.stopped)
	c.ctx = ctx
	c.backend.background(ctx, c.post)
	c.adjustPlaces()
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if wanted := c.wantedTickInterval(); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			m.apply(c)
		case <-ticker.C:
			c.tick()
		}
		c.reportStopped()
	}
}

// wantedTickInterval returns the time between ticks. An idle endpoint has no deadlines
// that need short ones.
func (c *control) wantedTickInterval() time.Duration {
	if c.machine.Busy() || c.machine.Waiting() > 0 {
		return tickInterval
	}
	return idleTickInterval
}

// tick advances the machine's clock and, less often, applies the instance list and the table.
func (c *control) tick() {
	c.step(endpoint.Tick{})
	now := c.cfg.Now()
	if now < c.nextMemberCheck {
		return
	}
	c.nextMemberCheck = now + memberCheckInterval
	c.checkMembers()
	c.registrar.SetView(now, c.cfg.Members().Agents(c.cfg.Pool))
	c.adjustPlaces()
	c.recordGauges()
}

// step passes an event to the machine, carries out its effects, and returns them for
// the message that caused the event.
func (c *control) step(event endpoint.Event) []endpoint.Effect {
	effects := c.machine.Step(c.cfg.Now(), event)
	for _, effect := range effects {
		c.perform(effect)
	}
	return effects
}

// perform carries out an effect that may follow any event. The effects that answer
// one event (Refuse, Resolved, FloorSet, FloorRefused) are handled by its message. A
// run is started here, since later effects of the same event may concern it.
func (c *control) perform(effect endpoint.Effect) {
	switch e := effect.(type) {
	case endpoint.Start:
		m := c.dispatching
		m.reply <- dispatchResult{run: c.start(e.Attempt, m.header, m.body)}
	case endpoint.Answer:
		c.answerReservation(e)
	case endpoint.Suspend:
		c.suspend(e.Attempt)
	case endpoint.Resume:
		c.resume(e.Attempt)
	case endpoint.Cancel:
		c.cancelRun(e)
	case endpoint.DiscardAnswer:
		c.discardAnswer(e.Attempt)
	case endpoint.Drained:
		c.cfg.Log.Info().Msg("drain_completed")
	}
}

// status returns the agent's status, which is part of every reply. The backlog is
// estimated for a new reservation of the rank.
func (c *control) status(rank int) *nodepb.AgentStatus {
	s := c.machine.Status()
	reply := &nodepb.AgentStatus{
		Incarnation:    s.Incarnation,
		Draining:       s.Draining,
		Running:        uint32(s.Running),
		Places:         uint32(s.Places),
		Waiting:        uint32(s.Waiting),
		BacklogSeconds: c.machine.EstimateWait(rank).Seconds(),
	}
	c.addSpeed(reply)
	if t := c.cfg.Table(); t != nil {
		reply.TableVersion = t.Version
	}
	return reply
}
