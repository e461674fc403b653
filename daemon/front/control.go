package front

import (
	"context"
	"math/rand"
	"time"

	"primrosespoke.dev/coord/allowance"
	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/origin"
	"primrosespoke.dev/coord/places"
	"primrosespoke.dev/coord/quarantine"
	"primrosespoke.dev/coord/retry"
	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/coord/sendlimit"
	"primrosespoke.dev/coord/staleness"
)

// inboxSize is how many messages to the control goroutine may be queued.
const inboxSize = 4096

// message is a change or query that the control goroutine applies to its state.
type message interface {
	apply(c *control)
}

// control is the state of a front; one goroutine owns it.
type control struct {
	front                *Front
	scheduler            *scheduler.Scheduler
	directory            *directory.Directory
	list                 *staleness.Monitor            // of the directory's source
	usable               map[string]directory.Endpoint // that may get requests, by ID; not changed after it is published
	listVerdict          staleness.Verdict             // as last logged
	listSince            time.Duration                 // when listVerdict began
	listEnd              int64                         // up to which the list is known, an offset of listEra
	origins              *origin.Log                   // of streams, by software version
	untoldOrigins        []origin.Origin               // that their homes are to be told
	versions             *origin.History               // of the list of endpoints
	passedVersions       map[string][]string           // of rows that were read since the list was last observed, by service
	saving               originSaving
	savedHistories       map[string]*savedHistory // of the entries' rows, by ID
	soleQueries          []soleVersionQuery
	listEra              int64                    // of the directory's offsets; see mirror.Batch
	limiter              *allowance.Limiter       // of usage caps
	budgets              map[string]*retry.Budget // by service
	rng                  *rand.Rand
	configuration        configurationState
	configurationOffsets versionOffsets               // of the versions that were read
	configurationSource  *staleness.Monitor           // of the configuration
	configurationVerdict staleness.Verdict            // as last logged
	undecided            map[uint64]chan<- decision   // where queued requests wait, by request ID
	cancelable           map[uint64]cancelableAttempt // by request ID
	members              *members
	membersRead          bool // the list of entries was read at least once
	reporting            reportSchedule
	quarantine           *quarantine.Quarantine // of parts of prompts, and of requests
	held                 []heldRequest          // that wait for another request with a suspected subject
	heldVersion          uint64                 // of the quarantine, as last published
	sendLimits           *sendlimit.Limiter     // of requests to endpoints that name a limit
	places               *places.Places         // of model engines
	born                 map[string]int64       // incarnations of the endpoints, by ID
	startedAt            time.Duration
	lastExpiry           time.Duration            // when expired rows and members were last removed
	caps                 map[string]allowance.Cap // by account
	workTimes            map[string]*workTimes    // by route
	rollouts             rolloutState
	sendDatagram         func(address string, data []byte)
}

func newControl(f *Front) *control {
	rng := rand.New(rand.NewSource(f.config.Seed))
	c := &control{
		front:     f,
		scheduler: scheduler.New(f.config.Scheduler, rng),
		directory: directory.New(f.config.Directory),
		list: staleness.New(staleness.Config{
			MaxAge: f.maxListAge(), OutageGap: shareOf(f.config.LeaveWithin, outageGapShare),
		}),
		configurationSource: staleness.New(staleness.Config{
			MaxAge: f.configurationAgeLimit(), OutageGap: shareOf(f.config.ApplyWithin, outageGapShare),
		}),
		limiter: allowance.New(allowance.Config{
			PeerTimeout: capPeerTimeout, ExtraBurst: usedCapSlackShare * f.config.CapSlack, InitialFill: initialCapFill, RetryLevel: retryCapLevel,
		}),
		budgets:    map[string]*retry.Budget{},
		rng:        rng,
		quarantine: quarantine.New(quarantine.DefaultConfig()),
		sendLimits: sendlimit.New(f.now(), f.config.ID, sendlimit.DefaultConfig()),
		places:     places.New(f.now(), f.config.ID, places.DefaultConfig()),
		startedAt:  f.now(),
		origins:    origin.NewLog(origin.DefaultConfig()),
		versions:   origin.NewHistory(f.config.LeaveWithin),

		passedVersions: map[string][]string{},
		saving:         originSaving{mixed: map[string]bool{}},
		savedHistories: map[string]*savedHistory{},
		undecided:      map[uint64]chan<- decision{},
		workTimes:      map[string]*workTimes{},
		cancelable:     map[uint64]cancelableAttempt{},
		members:        newMembers(f.config.ID, f.config.Timing.MemberTTL),
		rollouts:       newRolloutState(f),
		sendDatagram:   f.sendReport,
	}
	c.scheduler.SetGate(c.sendLimits)
	if c.rollouts.set != nil {
		c.scheduler.SetVersions(rolloutVersions{set: c.rollouts.set, now: f.now})
	}
	if f.config.Places {
		c.scheduler.SetPlaces(c.places)
	}
	return c
}

// run applies messages until ctx ends.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(c.front.config.Timing.TickInterval)
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

// drainInbox applies the messages that are already queued, so that the scheduler runs
// once for all of them.
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

// expireInterval is the time between two removals of lapsed endpoints and expired members.
const expireInterval = 200 * time.Millisecond

func (c *control) tick() {
	now := c.front.now()
	if now >= c.lastExpiry+expireInterval {
		c.lastExpiry = now
		c.dropEndpoints(c.directory.Expire(now), "not registered again after the outage")
		if c.members.expire(now) {
			c.membersChanged(now)
		}
		c.updateHeard(now)
		c.updateFallbacks(now)
		c.subjectsChanged(c.quarantine.Expire(now))
	}
	c.assessConfiguration(now)
	c.reviewHeld()
	c.stepRollouts(now)
	c.plan()
	c.reviewDomainPreference()
	c.sendReports(now)
	c.sendOrigins(now)
	c.saveOrigins(now)
	c.answerSoleQueries(now)
}

// plan runs the scheduler, and again where this front has granted itself places.
func (c *control) plan() {
	now := c.front.now()
	c.schedule(now)
	for range maxOwnPlacePlans {
		if !c.front.config.Places || !c.stepPlaces(now) {
			break
		}
		c.schedule(now)
	}
	c.stepLimits(now)
}

// schedule runs the scheduler once and carries out its placements, refusals and cancellations.
func (c *control) schedule(now time.Duration) {
	var plan scheduler.Plan
	if c.assessList(now) == staleness.Unreliable {
		plan = c.scheduler.Withhold(now, c.front.maxListWait())
	} else {
		plan = c.scheduler.Plan(now)
	}
	c.logCuts(plan.Cuts)
	c.logSpill()
	for _, p := range plan.Placements {
		if p.MemoryWaited > 0 {
			c.front.metrics.memoryWaits.Add(c.front.baseContext, 1)
		}
		if p.BeyondShare {
			c.front.metrics.beyondShare("placed")
		}
		c.decide(p.Request, decision{placement: &p})
	}
	for _, r := range plan.Refusals {
		if r.BeyondShare {
			c.front.metrics.beyondShare("refused")
		}
		c.decide(r.Request, decision{refusal: &r})
		c.quarantine.End(r.Request)
	}
	for _, id := range plan.Failovers {
		c.cancelSilent(now, id)
	}
}

// logCuts logs the accounts that began or ceased to ask for more than their shares.
func (c *control) logCuts(cuts []scheduler.Cut) {
	for _, cut := range cuts {
		c.front.log.Info().Str("service", cut.Service).Str("account", cut.Account).Bool("beyond_share", cut.Began).Float64("level_work", cut.Level).
			Float64("offered", cut.Offered).Float64("started", cut.Started).Float64("peers_offered", cut.PeersOffered).
			Int64("report_age_ms", cut.ReportAge.Milliseconds()).Msg("account_share_changed")
		c.front.metrics.accountShareChanged(cut.Began)
	}
}

// cancelableAttempt is an attempt that may be cancelled, since its request may be sent
// again.
type cancelableAttempt struct {
	cancel  context.CancelCauseFunc
	service string
	sends   int // of the request, this attempt included
}

// cancelSilent cancels an attempt whose endpoint sent nothing for too long. It takes the
// further send out of the retry budget first. If the budget is spent, the attempt goes
// on, since the endpoint may still complete its answer.
func (c *control) cancelSilent(now time.Duration, id uint64) {
	attempt, ok := c.cancelable[id]
	if !ok {
		return
	}
	if _, ok := c.budget(attempt.service).Retry(now, "", uint32(attempt.sends), false); !ok {
		return
	}
	attempt.cancel(errSilent)
	delete(c.cancelable, id)
}

// decide delivers a placement or refusal to the request that waits for it.
func (c *control) decide(id uint64, d decision) {
	reply, ok := c.undecided[id]
	delete(c.undecided, id)
	if ok {
		reply <- d // never blocks: the channel has capacity for the one decision
	}
}

// decision is the scheduler's answer to a submitMessage: a placement or a refusal.
type decision struct {
	placement *scheduler.Placement
	refusal   *scheduler.Refusal
}

// chargeMessage charges a request to its account, if the usage cap allows it now.
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
	wait, ok := c.limiter.Admit(c.front.now(), m.account, m.cost, m.rank)
	m.reply <- chargeReply{wait: wait, allowed: ok}
}

// refundMessage cancels the charge for a request that was never sent.
type refundMessage struct {
	account string
	cost    float64
}

func (m refundMessage) apply(c *control) {
	c.limiter.Refund(m.account, m.cost)
}

// submitMessage puts a request into the scheduler's queue.
type submitMessage struct {
	request  scheduler.Request
	callID   string               // the caller's ID of the request
	subjects []quarantine.Subject // see subjectsOf
	first    bool                 // it was not queued before
	sends    int                  // so far
	reply    chan<- decision
	cancel   context.CancelCauseFunc
}

func (m submitMessage) apply(c *control) {
	c.undecided[m.request.ID] = m.reply
	if m.request.Repeatable {
		c.cancelable[m.request.ID] = cancelableAttempt{cancel: m.cancel, service: m.request.Service, sends: m.sends + 1}
	}
	now := c.front.now()
	if m.first {
		c.budget(m.request.Service).RecordRequest(now, "")
	}
	if c.admitSubjects(m, now) {
		c.scheduler.Enqueue(m.request)
	}
}

// statementMessage delivers what an endpoint stated of its load in an answer.
type statementMessage struct {
	endpoint  string
	born      int64
	statement scheduler.Statement
	requestID string // of the request whose answer carried it
}

func (m statementMessage) apply(c *control) {
	effect := c.scheduler.ObserveStatement(c.front.now(), m.endpoint, m.born, m.statement)
	c.front.metrics.statementObserved(string(effect.Verdict))
	if !effect.Changed {
		return
	}
	c.front.log.Info().Str("request_id", m.requestID).Str("endpoint", m.endpoint).Str("verdict", string(effect.Verdict)).Bool("slow", effect.Slow).
		Int("running", m.statement.Running).Int("waiting", m.statement.Waiting).Int("slots", m.statement.Slots).Float64("pace", m.statement.Pace).
		Int64("age_before_ms", effect.Age.Milliseconds()).Float64("slowdown", effect.Factor).Int("believed", effect.Believed).Msg("endpoint_load_belief_changed")
}

// withdrawMessage removes a request whose caller has gone or whose deadline has passed.
// It may have been placed in the meantime.
type withdrawMessage struct{ id uint64 }

func (m withdrawMessage) apply(c *control) {
	if !c.scheduler.Cancel(m.id) {
		c.scheduler.Done(c.front.now(), m.id, scheduler.Abandoned)
	}
	c.endRun(c.front.now(), m.id, scheduler.Abandoned)
	delete(c.undecided, m.id)
	delete(c.cancelable, m.id)
	c.endSubjects(m.id, nil)
}

// firstEventMessage reports the first event of a stream.
type firstEventMessage struct{ id uint64 }

func (m firstEventMessage) apply(c *control) {
	now := c.front.now()
	c.scheduler.FirstEvent(now, m.id)
	if c.rollouts.set != nil {
		c.rollouts.set.FirstEvent(now, m.id)
	}
}

// progressMessage reports that further events of a stream arrived.
type progressMessage struct {
	id  uint64
	gap time.Duration // recent time between events; 0 = unknown
}

func (m progressMessage) apply(c *control) {
	c.scheduler.Progress(c.front.now(), m.id, m.gap)
}

// doneMessage reports how an attempt ended.
type doneMessage struct {
	id      uint64
	outcome scheduler.Outcome
	route   string
	worked  time.Duration // see delivery.worked
	// answered is what subjectsOf returned for the request if the answer was a whole success.
	answered []quarantine.Subject
}

func (m doneMessage) apply(c *control) {
	delete(c.cancelable, m.id)
	now := c.front.now()
	c.scheduler.Done(now, m.id, m.outcome)
	c.endRun(now, m.id, m.outcome)
	c.recordWork(m.route, m.worked)
	c.endSubjects(m.id, m.answered)
}

// retryMessage takes a further send out of the service's retry budget, if it allows one.
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
	// retryRatioShare is the fraction of Config.RetryRatio that is used. The rest is a
	// margin, since sends that an endpoint rejects count as well, and the ratio applies to
	// sliding windows.
	retryRatioShare = 0.8
	// retryBurstShare is the fraction of Config.RetryBurst that all entries use together.
	retryBurstShare = 0.6
	// maxSends limits how often one request is placed, rejections included.
	maxSends = 5
)

// budget returns the retry budget of a service.
func (c *control) budget(service string) *retry.Budget {
	b := c.budgets[service]
	if b == nil {
		burst := c.retryBurst()
		b = retry.New(retry.Config{
			Ratio: retryRatioShare * c.front.config.RetryRatio, AccountBurst: burst, TotalBurst: burst,
			MaxAttempts: maxSends, BaseDelay: time.Millisecond, MaxDelay: time.Millisecond, IdleTimeout: time.Hour,
		}, c.rng)
		c.budgets[service] = b
	}
	return b
}

// retryBurst is this entry's burst of further sends: the entries divide the allowed burst
// equally, and each has at least one.
func (c *control) retryBurst() float64 {
	return max(retryBurstShare*c.front.config.RetryBurst/float64(c.members.count()), 1)
}

// tableMessage delivers a version of the configuration.
type tableMessage struct {
	table    *routing.Table
	versions versionOffsets // of the batch
	// proof shows that it was the newest version, unless partial: then a newer one existed.
	proof   proof
	partial bool
	// bytes and decodeTime say how large the batch was that held the version and how long that
	// took to decode, for logs.
	bytes      int
	decodeTime time.Duration
}

func (m tableMessage) apply(c *control) {
	c.observeConfigurations(m.versions)
	known := c.configuration.table
	if known == nil || m.table.Version > known.Version {
		c.configuration.table = m.table
		c.applyTable(m.table)
		c.logTable(m)
	}
	if !m.partial {
		c.confirmConfiguration(m.proof) // may publish, so the table must be in place
	}
	c.publish()
}

// tableUnusableMessage reports that no version in a batch could be decoded.
type tableUnusableMessage struct{ versions versionOffsets }

func (m tableUnusableMessage) apply(c *control) {
	c.observeConfigurations(m.versions)
	c.publish()
}

// tableCurrentMessage reports that no newer version of the configuration existed.
type tableCurrentMessage struct{ proof proof }

func (m tableCurrentMessage) apply(c *control) {
	c.confirmConfiguration(m.proof)
	c.publish()
}

// applyTable passes the services and usage caps of a new version on to the scheduler and
// the limiter.
func (c *control) applyTable(t *routing.Table) {
	services := map[string]scheduler.ServiceInfo{}
	for _, name := range t.Services() {
		s, _ := t.Service(name)
		services[name] = scheduler.ServiceInfo{Slots: s.Slots, Engine: s.Engine, EventTokens: s.EventTokens, MemoryTokens: s.MemoryTokens}
	}
	c.scheduler.SetServices(services)
	c.placesChanged()
	caps := map[string]allowance.Cap{}
	for _, a := range t.Accounts() {
		caps[a.Name] = allowance.Cap{Rate: a.Rate, Burst: a.Burst}
		if known := c.caps[a.Name]; known != caps[a.Name] {
			c.front.log.Info().Str("account", a.Name).Interface("priority", a.Priority).Float64("rate", a.Rate).Float64("burst", a.Burst).
				Float64("rate_before", known.Rate).Int64("version", t.Version).Msg("usage_cap_in_force")
		}
	}
	c.caps = caps
	c.limiter.SetCaps(c.front.now(), caps)
	c.retainOrigins(t.EachRoute)
	c.retainWorkTimes(t.EachRoute)
}

// maxLoggedRows bounds the lines about rows of one version.
const maxLoggedRows = 20

// logTable logs a version that was put into force, and how it came.
func (c *control) logTable(m tableMessage) {
	t := m.table
	c.front.log.Info().Int64("version", t.Version).Int("routes", t.Routes()).
		Int("accounts", len(t.Accounts())).Bool("asks_for_keys", t.AsksForKeys()).Int("services", len(t.Services())).
		Bool("relayed", m.proof.source != sourceStore).Int("bytes", m.bytes).Int64("decode_ms", m.decodeTime.Milliseconds()).
		Int64("proof_age_ms", (c.front.now()-m.proof.asOf).Milliseconds()).
		Str("proof_source", m.proof.source).Str("proof_kind", m.proof.kind).Int64("proof_next", m.proof.next).Msg("configuration_in_force")
	for i, row := range t.LeftOut {
		if i == maxLoggedRows {
			break
		}
		c.front.log.Warn().Int64("version", t.Version).Str("kind", row.Kind).Int("index", row.Index).Str("name", row.Name).Str("reason", row.Reason).
			Int("left_out", len(t.LeftOut)).Msg("configuration_row_left_out")
	}
	c.front.metrics.rowsLeftOut.Add(c.front.baseContext, int64(len(t.LeftOut)))
	if !t.AsksForKeys() {
		c.front.metrics.keylessConfigurations.Add(c.front.baseContext, 1)
		c.front.log.Warn().Int64("version", t.Version).Bool("unknown_keys_refused", c.front.config.KeyPolicy == routing.RefuseUnknownKeys).
			Msg("configuration_asks_for_no_keys")
	}
}

// dumpMessage asks for the state dump.
type dumpMessage struct{ reply chan<- Dump }

func (m dumpMessage) apply(c *control) {
	m.reply <- c.dump()
}
