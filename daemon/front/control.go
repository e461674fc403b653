package front

import (
	"context"
	"math/rand"
	"time"

	"primrosespoke.dev/coord/allowance"
	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/retry"
	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
)

const inboxSize = 4096

// message is an event for the control goroutine.
type message interface {
	apply(c *control)
}

// belief is what requests are checked against. Readers get it whole.
type belief struct {
	table *routing.Table
	fresh routing.Freshness
}

// control is the state of a front; one goroutine owns it.
type control struct {
	front     *Front
	scheduler *scheduler.Scheduler
	directory *directory.Directory
	ledger    *allowance.Ledger
	budgets   map[string]*retry.Budget // by service
	rng       *rand.Rand
	belief    belief
	waiting   map[uint64]chan<- decision
	cuts      map[uint64]cutter
	members   *members
	reporting reporting
	expired   time.Duration
	caps      map[string]allowance.Cap
}

func newControl(f *Front) *control {
	rng := rand.New(rand.NewSource(f.cfg.Seed))
	return &control{
		front:     f,
		scheduler: scheduler.New(f.cfg.Scheduler, rng),
		directory: directory.New(f.cfg.Directory),
		ledger: allowance.New(allowance.Config{
			Silence: unheardAfter, Slack: capSlackShare * f.cfg.CapSlack, StartShare: startShare, ReadyLevel: readyLevel,
		}),
		budgets: map[string]*retry.Budget{},
		rng:     rng,
		waiting: map[uint64]chan<- decision{},
		cuts:    map[uint64]cutter{},
		members: newMembers(f.cfg.ID, f.cfg.Timing.MemberLife),
	}
}

// run applies messages until ctx ends.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(c.front.cfg.Timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.front.inbox:
			m.apply(c)
			c.drainInbox()
			c.plan()
		case <-ticker.C:
			c.tick()
		}
	}
}

// drainInbox applies what else has come, so that one plan serves all of it.
func (c *control) drainInbox() {
	for range inboxSize {
		select {
		case m := <-c.front.inbox:
			m.apply(c)
		default:
			return
		}
	}
}

// expireInterval is the time between two looks at lapsed rows and silent members.
const expireInterval = 200 * time.Millisecond

func (c *control) tick() {
	now := c.front.now()
	if now >= c.expired+expireInterval {
		c.expired = now
		c.dropEndpoints(c.directory.Expire(now), "not registered again after the outage")
		if c.members.expire(now) {
			c.membersChanged(now)
		}
	}
	c.plan()
	c.sendReports(now)
}

// plan carries out what the scheduler decides.
func (c *control) plan() {
	now := c.front.now()
	plan := c.scheduler.Plan(now)
	for _, p := range plan.Placements {
		c.decide(p.Request, decision{placement: &p})
	}
	for _, r := range plan.Refusals {
		c.decide(r.Request, decision{refusal: &r})
	}
	for _, id := range plan.Failovers {
		c.cutSilent(now, id)
	}
}

// cutter ends an attempt whose request may be sent again.
type cutter struct {
	cut     context.CancelCauseFunc
	service string
	sends   int // of the request, this attempt included
}

// cutSilent ends an attempt whose endpoint went silent. The further send is taken out
// of the budget first: without it the endpoint may still end its answer.
func (c *control) cutSilent(now time.Duration, id uint64) {
	held, ok := c.cuts[id]
	if !ok {
		return
	}
	if _, ok := c.budget(held.service).Retry(now, "", uint32(held.sends), false); !ok {
		return
	}
	held.cut(errSilent)
	delete(c.cuts, id)
}

func (c *control) decide(id uint64, d decision) {
	reply, ok := c.waiting[id]
	delete(c.waiting, id)
	if ok {
		reply <- d // has room for the one decision
	}
}

// decision is the answer to a submission.
type decision struct {
	placement *scheduler.Placement
	refusal   *scheduler.Refusal
}

// chargeMessage asks whether an account may send a request now.
type chargeMessage struct {
	account string
	cost    float64
	rank    int
	reply   chan<- chargeReply
}

type chargeReply struct {
	wait    time.Duration
	allowed bool
}

func (m chargeMessage) apply(c *control) {
	wait, ok := c.ledger.Admit(c.front.now(), m.account, m.cost, m.rank)
	m.reply <- chargeReply{wait: wait, allowed: ok}
}

// refundMessage takes back the charge of a request that was never sent.
type refundMessage struct {
	account string
	cost    float64
}

func (m refundMessage) apply(c *control) {
	c.ledger.Refund(m.account, m.cost)
}

// submitMessage puts a request into the queue. First tells that it is not a further attempt.
type submitMessage struct {
	request scheduler.Request
	first   bool
	sends   int // so far
	reply   chan<- decision
	cut     context.CancelCauseFunc
}

func (m submitMessage) apply(c *control) {
	c.waiting[m.request.ID] = m.reply
	if m.request.Repeatable {
		c.cuts[m.request.ID] = cutter{cut: m.cut, service: m.request.Service, sends: m.sends + 1}
	}
	c.scheduler.Enqueue(m.request)
	if m.first {
		c.budget(m.request.Service).Request(c.front.now(), "")
	}
}

// withdrawMessage ends the waiting of a request whose caller has gone. It may have been placed meanwhile.
type withdrawMessage struct{ id uint64 }

func (m withdrawMessage) apply(c *control) {
	if !c.scheduler.Cancel(m.id) {
		c.scheduler.Done(c.front.now(), m.id, scheduler.Abandoned)
	}
	delete(c.waiting, m.id)
	delete(c.cuts, m.id)
}

// eventMessage tells of the first event of a stream.
type eventMessage struct{ id uint64 }

func (m eventMessage) apply(c *control) {
	c.scheduler.FirstEvent(c.front.now(), m.id)
}

// progressMessage tells that a stream goes on. Gap is its recent time between events; 0 = not known.
type progressMessage struct {
	id  uint64
	gap time.Duration
}

func (m progressMessage) apply(c *control) {
	c.scheduler.Progress(c.front.now(), m.id, m.gap)
}

// doneMessage tells how an attempt ended.
type doneMessage struct {
	id      uint64
	outcome scheduler.Outcome
}

func (m doneMessage) apply(c *control) {
	delete(c.cuts, m.id)
	c.scheduler.Done(c.front.now(), m.id, m.outcome)
}

// retryMessage asks for a second send out of the service's budget.
type retryMessage struct {
	service string
	attempt uint32
	reply   chan<- bool
}

func (m retryMessage) apply(c *control) {
	_, ok := c.budget(m.service).Retry(c.front.now(), "", m.attempt, false)
	m.reply <- ok
}

const (
	// retryRatioShare is the part of the stated ratio that is used: arrivals that an
	// endpoint rejects count too, and windows slide.
	retryRatioShare = 0.8
	// retryBurstShare is the part of the stated slack that the entries use together.
	retryBurstShare = 0.6
	// maxSends bounds the endpoints that one request is sent to, rejections included.
	maxSends = 5
)

// budget returns the retry budget of a service. The entries use even parts of the slack.
func (c *control) budget(service string) *retry.Budget {
	b := c.budgets[service]
	if b == nil {
		burst := c.retryBurst()
		b = retry.New(retry.Config{
			Ratio: retryRatioShare * c.front.cfg.RetryRatio, Burst: burst, BurstAll: burst,
			MaxAttempts: maxSends, Base: time.Millisecond, Limit: time.Millisecond, Idle: time.Hour,
		}, c.rng)
		c.budgets[service] = b
	}
	return b
}

func (c *control) retryBurst() float64 {
	return max(retryBurstShare*c.front.cfg.RetryBurst/float64(c.members.count()), 1)
}

// tableMessage brings a version of the configuration.
type tableMessage struct {
	table *routing.Table
	// proven is when it was the newest for certain.
	proven time.Duration
}

func (m tableMessage) apply(c *control) {
	c.belief.fresh.Proven(m.proven)
	known := c.belief.table
	if known == nil || m.table.Version > known.Version {
		c.belief.table = m.table
		c.takeTable(m.table)
	}
	c.publish()
}

// provenMessage tells that no newer version existed at a moment.
type provenMessage struct{ at time.Duration }

func (m provenMessage) apply(c *control) {
	c.belief.fresh.Proven(m.at)
	c.publish()
}

func (c *control) publish() {
	b := c.belief
	c.front.belief.Store(&b)
}

func (c *control) takeTable(t *routing.Table) {
	services := map[string]scheduler.ServiceInfo{}
	for _, name := range t.Services() {
		s, _ := t.Service(name)
		services[name] = scheduler.ServiceInfo{Slots: s.Slots, Engine: s.Engine, EventTokens: s.EventTokens}
	}
	c.scheduler.SetServices(services)
	caps := map[string]allowance.Cap{}
	for _, a := range t.Accounts() {
		caps[a.Name] = allowance.Cap{Rate: a.Rate, Burst: a.Burst}
		if known := c.caps[a.Name]; known != caps[a.Name] {
			c.front.log.Info().Str("account", a.Name).Interface("priority", a.Priority).Float64("rate", a.Rate).Float64("burst", a.Burst).
				Float64("rate_before", known.Rate).Int64("version", t.Version).Msg("usage_cap_in_force")
		}
	}
	c.caps = caps
	c.ledger.SetCaps(c.front.now(), caps)
	c.front.log.Info().Int64("version", t.Version).Int("routes", t.Routes()).
		Int("accounts", len(caps)).Int("services", len(services)).Msg("configuration_in_force")
}

// dumpMessage asks for the state.
type dumpMessage struct{ reply chan<- Dump }

func (m dumpMessage) apply(c *control) {
	m.reply <- c.dump()
}
