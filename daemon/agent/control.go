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
	inboxSize           = 1024
	tickInterval        = 20 * time.Millisecond
	idleTickInterval    = 250 * time.Millisecond // between ticks while nothing runs or waits
	memberCheckInterval = 500 * time.Millisecond
)

// message is what other goroutines tell the control goroutine. apply runs in
// it, and must not block.
type message interface{ apply(c *control) }

// control owns the machine. All its fields but inbox belong to the goroutine of run.
type control struct {
	cfg     Config
	metrics *metrics
	backend backend
	inbox   chan message
	stopped chan struct{}

	machine      *endpoint.Machine
	registrar    *registry.Registrar
	witness      *shed.Witness
	waiters      map[endpoint.ReservationKey][]chan *nodepb.ReserveReply
	reservations map[endpoint.ReservationKey]reserveMessage
	runs         map[endpoint.AttemptKey]*run
	// engineIDs are the runs that the endpoint works on, by the ID it knows.
	engineIDs map[string]*run
	readers   int
	// dispatching is the dispatch whose event is being carried out; nil = none.
	dispatching     *dispatchMessage
	stopping        []chan struct{}
	drainedByList   bool // the instance list started the drain
	nextMemberCheck time.Duration
	ctx             context.Context

	speed       *speed.Learner
	cache       cacheView
	load        engine.Load
	lastStart   time.Duration // when the newest run started
	lastPrefill time.Duration // expected prefill of the newest run
	lastToken   time.Duration // when the newest token came
}

func newControl(cfg Config, instruments *metrics, served backend) *control {
	c := &control{
		cfg:          cfg,
		metrics:      instruments,
		backend:      served,
		inbox:        make(chan message, inboxSize),
		stopped:      make(chan struct{}),
		waiters:      map[endpoint.ReservationKey][]chan *nodepb.ReserveReply{},
		reservations: map[endpoint.ReservationKey]reserveMessage{},
		runs:         map[endpoint.AttemptKey]*run{},
		engineIDs:    map[string]*run{},

		registrar: newRegistrar(cfg),
		speed:     newLearner(),
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
	minRemaining = 300 * time.Millisecond
	preemptAfter = 15 * time.Millisecond
	stretch      = 10
)

// post hands a message to the control goroutine; it is dropped once that has ended.
func (c *control) post(m message) {
	select {
	case c.inbox <- m:
	case <-c.stopped:
	}
}

// run is the control goroutine.
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

// wantedTickInterval is the time between ticks: an idle endpoint has no deadlines to keep.
func (c *control) wantedTickInterval() time.Duration {
	if c.machine.Busy() || c.machine.Waiting() > 0 {
		return tickInterval
	}
	return idleTickInterval
}

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

// step feeds the machine, carries out its effects, and returns them for the
// message that caused them.
func (c *control) step(event endpoint.Event) []endpoint.Effect {
	effects := c.machine.Step(c.cfg.Now(), event)
	for _, effect := range effects {
		c.perform(effect)
	}
	return effects
}

// perform carries out the effects that may follow any event. Those that answer
// one event (Refuse, Resolved, FloorSet, FloorRefused) are taken by its message. A
// run starts here, since the effects after its Start may already concern it.
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
		c.cfg.Log.Info().Msg("drain complete")
	}
}

// status is sent with every reply.
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
