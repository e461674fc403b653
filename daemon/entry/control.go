package entry

import (
	"context"
	"math/rand"
	"time"

	"primrosespoke.dev/coord/placement"
	"primrosespoke.dev/coord/quota"
	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/coord/retry"
	"primrosespoke.dev/coord/shed"
)

const (
	tickInterval     = 100 * time.Millisecond
	livenessTimeout  = 10 * time.Second       // without a tick of the control goroutine
	statusHalfLife   = 2 * time.Second        // after which an agent's status counts for half in placement
	otherDomainCost  = 3 * time.Millisecond   // added to the cost of an agent in another failure domain
	denialBackoff    = 200 * time.Millisecond // without new reservations at an agent that denied one
	maxPrefixes      = 65_536                 // prompt prefixes whose agents are remembered
	maxQueryFailures = 12                     // failed queries after which a request fails
	maxReadFailures  = 12                     // interrupted streams of an answer without new bytes in between
)

// message is sent to the control goroutine, which calls handle.
type message interface {
	handle(c *control, now time.Duration)
}

// control holds the state machines of all requests and the state they share. Only
// the control goroutine uses it.
type control struct {
	entry           *Entry
	calls           map[uint64]*call
	queue           *request.Queue
	quotaClient     *quota.Client
	quotaHome       *quota.Home
	budget          *retry.Budget
	placement       *placement.Placement
	rates           rates
	rng             *rand.Rand
	permit          ShedPermit
	requester       *shed.Requester
	witness         *shed.Witness
	pendingSteps    []step // that earlier steps caused; run executes them in order
	furtherAttempts int    // since the start, for the dump
}

// step is an event that one call's state machine is to handle.
type step struct {
	call  *call
	event request.Event
}

func newControl(e *Entry) *control {
	rng := rand.New(rand.NewSource(e.config.Seed))
	c := &control{
		entry:       e,
		calls:       map[uint64]*call{},
		queue:       request.NewQueue(e.config.Window),
		quotaClient: quota.NewClient(quotaRenewalInterval),
		quotaHome:   quota.NewHome(quotaLease),
		budget:      retry.New(retryConfig(e.config), rng),
		rates:       rates{pools: map[string]*rate{}},
		rng:         rng,
		permit:      e.config.Permit,

		requester: shed.NewRequester(shed.Config{}),
		witness:   newWitness(e),
		placement: placement.New(placement.Config{
			Self:           e.config.ID,
			FailureDomain:  e.config.FailureDomain,
			SubsetSize:     e.config.Subset,
			StatusHalfLife: statusHalfLife,
			DomainCost:     otherDomainCost,
			DenialBackoff:  denialBackoff,
			MaxPrefixes:    maxPrefixes,
			PrefixAffinity: !e.config.NoAffinity,
		}, rng),
	}
	if c.permit == nil {
		c.permit = memberPermit{control: c, lowest: lowestTierPermit{table: e.config.Table}}
	}
	return c
}

// loop handles messages until ctx ends.
func (c *control) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.tick(c.entry.now())
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.entry.inbox:
			m.handle(c, c.entry.now())
		case <-ticker.C:
			c.tick(c.entry.now())
		}
	}
}

// post sends a message to the control goroutine. It blocks while the inbox is full,
// and drops the message once the control goroutine has ended.
func (e *Entry) post(m message) {
	select {
	case e.inbox <- m:
	case <-e.stopped:
	}
}

// tick does the periodic work: the instance list, shedding, permits and quotas.
func (c *control) tick(now time.Duration) {
	c.entry.lastTick.Store(int64(now))
	c.placement.SetView(c.entry.config.Members())
	c.shedOverdue(now)
	c.tickPermits(now)
	c.renewQuotas(now)
}

// callArrived reports a new call.
type callArrived struct{ call *call }

func (m callArrived) handle(c *control, now time.Duration) {
	k := m.call
	if !c.admitWithinQuota(now, k) {
		return
	}
	c.calls[k.key] = k
	c.budget.RecordRequest(now, k.account.Name)
	k.machine = request.New(c.requestSpec(k), c.requestConfig(), &policy{control: c, call: k})
	c.run(now, step{call: k, event: request.TimerFired{}})
}

func (c *control) requestSpec(k *call) request.Spec {
	return request.Spec{
		ID:            k.request.ID,
		ChosenID:      k.request.ChosenID,
		NonIdempotent: k.nonIdempotent,
		Deadline:      k.deadline,
	}
}

func (c *control) requestConfig() request.Config {
	return request.Config{
		Reservations:      c.entry.config.Reservations,
		Strict:            c.entry.config.StrictAttempts,
		QueryFailureLimit: maxQueryFailures,
		ReadFailureLimit:  maxReadFailures,
		RetryAfter:        c.entry.config.RetryAfter,
	}
}

// callEvent is an event for one call; it is dropped if the call has ended.
type callEvent struct {
	key   uint64
	event request.Event
}

func (m callEvent) handle(c *control, now time.Duration) {
	k, ok := c.calls[m.key]
	if !ok {
		return
	}
	c.recordRefusal(now, k, m.event)
	c.run(now, step{call: k, event: m.event})
}

// recordRefusal tells the placement which agent refused a dispatch, since that
// concerns all calls.
func (c *control) recordRefusal(now time.Duration, k *call, event request.Event) {
	report, ok := event.(request.StreamReported)
	if ok && report.Kind == request.StreamRefused {
		c.placement.BackOff(now, k.machine.Agent(), report.RetryAfter)
	}
}

// run executes a step and all steps that it causes, in order.
func (c *control) run(now time.Duration, first step) {
	c.pendingSteps = append(c.pendingSteps, first)
	for len(c.pendingSteps) > 0 {
		next := c.pendingSteps[0]
		c.pendingSteps = c.pendingSteps[1:]
		c.step(now, next)
	}
}

// step passes one event to a call's state machine and executes the effects.
func (c *control) step(now time.Duration, s step) {
	k := s.call
	if k.machine.Phase() == request.PhaseEnded {
		return
	}
	for _, effect := range k.machine.Step(now, s.event) {
		c.execute(now, k, effect)
	}
	c.updateQueue(now, k)
}

// updateQueue adds a call to the queue when it starts to wait for a place, removes it when
// it stops, and forgets it when it has ended.
func (c *control) updateQueue(now time.Duration, k *call) {
	phase := k.machine.Phase()
	waits := phase <= request.PhaseReserving
	switch {
	case waits && !k.queued:
		k.queued = true
		c.enqueue(now, k)
	case !waits && k.queued:
		k.queued = false
		served := phase != request.PhaseEnded
		item, admit := c.queue.Remove(k.endpoint.Name, k.key, served)
		k.queueItem = item
		c.addStep(admit, request.Admitted{})
	}
	if phase == request.PhaseEnded {
		delete(c.calls, k.key)
	}
	c.entry.metrics.inProgress.Store(int64(len(c.calls)))
	c.entry.metrics.waiting.Store(int64(c.queue.Len()))
}

func (c *control) enqueue(now time.Duration, k *call) {
	if k.queueItem.Key == 0 {
		k.queueItem = request.Item{
			Key:     k.key,
			Pool:    k.endpoint.Name,
			Tier:    k.tier.Name,
			Rank:    k.tier.Rank,
			Account: k.account.Name,
			Weight:  k.account.Weight,
			Cost:    expectedCost(k),
		}
	}
	admit, revoke := c.queue.Add(k.queueItem)
	c.addStep(revoke, request.AdmissionRevoked{})
	c.addStep(admit, request.Admitted{})
	c.shedOverflow(now, k)
}

// addStep appends a step for a call unless it has ended. Key 0 is no call.
func (c *control) addStep(key uint64, event request.Event) {
	if k, ok := c.calls[key]; ok {
		c.pendingSteps = append(c.pendingSteps, step{call: k, event: event})
	}
}

// expectedCost returns the expected work of a call in tokens, and at least 1.
func expectedCost(k *call) float64 {
	return 1 + float64(k.request.PromptTokens) + float64(expectedTokens(k))
}
