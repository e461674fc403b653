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
	tickInterval  = 100 * time.Millisecond
	livenessLimit = 10 * time.Second // without a turn of the control goroutine
	statusAge     = 2 * time.Second  // after which an agent's word counts for half
	domainCost    = 3 * time.Millisecond
	deniedFor     = 200 * time.Millisecond
	prefixLimit   = 65_536 // prefixes remembered
	resolveLimit  = 12     // questions in vain before an attempt is given up
	readLimit     = 12     // broken streams without progress
)

// message is something for the control goroutine.
type message interface {
	handle(c *control, now time.Duration)
}

// control owns all state machines of the entry. Only its goroutine touches it.
type control struct {
	entry     *Entry
	calls     map[uint64]*call
	queue     *request.Queue
	quota     *quota.Client
	home      *quota.Home
	budget    *retry.Budget
	placement *placement.Placement
	rates     rates
	rng       *rand.Rand
	permit    ShedPermit
	requester *shed.Requester
	witness   *shed.Witness
	pending   []step // steps that earlier steps led to
	attempts  int    // further attempts, for the dump
}

// step is an event for one call.
type step struct {
	call  *call
	event request.Event
}

func newControl(e *Entry) *control {
	rng := rand.New(rand.NewSource(e.config.Seed))
	c := &control{
		entry:  e,
		calls:  map[uint64]*call{},
		queue:  request.NewQueue(e.config.Window),
		quota:  quota.NewClient(quotaRenewal),
		home:   quota.NewHome(quotaLease),
		budget: retry.New(retryConfig(e.config), rng),
		rates:  rates{pools: map[string]*rate{}},
		rng:    rng,
		permit: e.config.Permit,

		requester: shed.NewRequester(shed.Config{}),
		witness:   newWitness(e),
		placement: placement.New(placement.Config{
			Self:           e.config.ID,
			FailureDomain:  e.config.FailureDomain,
			SubsetSize:     e.config.Subset,
			StatusHalfLife: statusAge,
			DomainCost:     domainCost,
			DenialBackoff:  deniedFor,
			MaxPrefixes:    prefixLimit,
			PrefixAffinity: !e.config.NoAffinity,
		}, rng),
	}
	if c.permit == nil {
		c.permit = permits{control: c, lowest: lowestTier{table: e.config.Table}}
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

// post hands a message to the control goroutine.
func (e *Entry) post(m message) {
	select {
	case e.inbox <- m:
	case <-e.stopped:
	}
}

func (c *control) tick(now time.Duration) {
	c.entry.beat.Store(int64(now))
	c.placement.SetView(c.entry.config.Members())
	c.shedLate(now)
	c.tickPermits(now)
	c.renewQuotas(now)
}

// arrived brings a new call.
type arrived struct{ call *call }

func (m arrived) handle(c *control, now time.Duration) {
	k := m.call
	if !c.admitWithinQuota(now, k) {
		return
	}
	c.calls[k.key] = k
	c.budget.RecordRequest(now, k.account.Name)
	k.machine = request.New(c.spec(k), c.requestConfig(), &policy{control: c, call: k})
	c.run(now, step{call: k, event: request.TimerFired{}})
}

func (c *control) spec(k *call) request.Spec {
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
		QueryFailureLimit: resolveLimit,
		ReadFailureLimit:  readLimit,
		RetryAfter:        c.entry.config.RetryAfter,
	}
}

// happened brings an event for a call.
type happened struct {
	key   uint64
	event request.Event
}

func (m happened) handle(c *control, now time.Duration) {
	k, ok := c.calls[m.key]
	if !ok {
		return
	}
	c.observe(now, k, m.event)
	c.run(now, step{call: k, event: m.event})
}

// observe learns from a stream's report what concerns the whole entry.
func (c *control) observe(now time.Duration, k *call, event request.Event) {
	report, ok := event.(request.StreamReported)
	if ok && report.Kind == request.StreamRefused {
		c.placement.BackOff(now, k.machine.Agent(), report.RetryAfter)
	}
}

// run carries out a step and all the steps that it leads to.
func (c *control) run(now time.Duration, first step) {
	c.pending = append(c.pending, first)
	for len(c.pending) > 0 {
		next := c.pending[0]
		c.pending = c.pending[1:]
		c.step(now, next)
	}
}

func (c *control) step(now time.Duration, s step) {
	k := s.call
	if k.machine.Phase() == request.PhaseEnded {
		return
	}
	for _, effect := range k.machine.Step(now, s.event) {
		c.carryOut(now, k, effect)
	}
	c.requeue(now, k)
}

// requeue keeps a call in the queue as long as it waits for a place.
func (c *control) requeue(now time.Duration, k *call) {
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
		k.item = item
		c.later(admit, request.Admitted{})
	}
	if phase == request.PhaseEnded {
		delete(c.calls, k.key)
	}
	c.entry.metrics.inProgress.Store(int64(len(c.calls)))
	c.entry.metrics.waiting.Store(int64(c.queue.Len()))
}

func (c *control) enqueue(now time.Duration, k *call) {
	if k.item.Key == 0 {
		k.item = request.Item{
			Key:     k.key,
			Pool:    k.endpoint.Name,
			Tier:    k.tier.Name,
			Rank:    k.tier.Rank,
			Account: k.account.Name,
			Weight:  k.account.Weight,
			Cost:    cost(k),
		}
	}
	admit, hold := c.queue.Add(k.item)
	c.later(hold, request.AdmissionRevoked{})
	c.later(admit, request.Admitted{})
	c.displace(now, k)
}

func (c *control) later(key uint64, event request.Event) {
	if k, ok := c.calls[key]; ok {
		c.pending = append(c.pending, step{call: k, event: event})
	}
}

// cost is the expected work of a call, in tokens.
func cost(k *call) float64 {
	return 1 + float64(k.request.PromptTokens) + float64(expectedTokens(k))
}
