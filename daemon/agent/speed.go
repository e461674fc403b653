package agent

import (
	"time"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/speed"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// What is assumed of an endpoint until its own completions tell better.
const (
	assumedStep       = 10 * time.Millisecond
	assumedStepPerRun = 500 * time.Microsecond
	assumedPrefill    = 4000 // tokens per second
	initialPlaces     = 4
	maxPlaces         = 64
	// stallThreshold is how long no run has had a token before the endpoint counts as stalled.
	stallThreshold = 250 * time.Millisecond
)

func newLearner() *speed.Learner {
	return speed.New(speed.Config{
		Step: assumedStep, StepPerRun: assumedStepPerRun, PrefillPerSecond: assumedPrefill,
		FirstPlaces: initialPlaces, MaxPlaces: maxPlaces,
	})
}

// progressMessage reports what a run has done so far.
type progressMessage struct {
	run       *run
	generated int
	buffered  int64
	tokens    int           // generated since the last report
	elapsed   time.Duration // the time since the last report
}

func (m progressMessage) apply(c *control) {
	running := c.machine.Status().Running
	if m.tokens > 0 {
		c.speed.Interval(running, m.elapsed/time.Duration(m.tokens))
	}
	c.lastToken = c.cfg.Now()
	left := int(m.run.header.MaxTokens) - m.generated
	if left <= 0 {
		left = m.generated / 2 // longer than expected: the estimate grows with the run
	}
	c.step(endpoint.Progress{
		Attempt:   m.run.key,
		Context:   int(m.run.header.PromptTokens) + m.generated,
		Remaining: time.Duration(left) * c.speed.TokenInterval(running),
		Buffered:  m.buffered,
	})
}

// cost is the expected time of service of a request.
func (c *control) cost(req *nodepb.ReserveRequest) time.Duration {
	return c.speed.Cost(req.PrefixHash, int(req.PromptTokens), int(req.MaxTokens), c.machine.Status().Running+1)
}

// prefill is the expected time until a request's first token when it is prefilled alone.
func (c *control) prefill(req *nodepb.ReserveRequest) time.Duration {
	if c.cfg.Kind != table.EndpointEngine {
		return 0
	}
	return c.speed.Cost(req.PrefixHash, int(req.PromptTokens), 0, 1)
}

func (c *control) addSpeed(status *nodepb.AgentStatus) {
	interval := c.speed.TokenInterval(int(status.Running) + 1)
	status.TokensPerSecond = 1 / interval.Seconds()
	status.PrefillPerSecond = c.speed.PrefillPerSecond()
}

// adjustPlaces sets how many runs the endpoint is given at a time: what the
// operators' table says, or else what is learned.
func (c *control) adjustPlaces() {
	t := c.cfg.Table()
	if t == nil {
		return
	}
	c.speed.Promise(shortestInterval(t))
	c.detectStall()
	places := t.Endpoints[c.cfg.Pool].Concurrency
	if places == 0 {
		places = c.backend.places(c.speed)
	}
	c.step(endpoint.SetPlaces{Places: places})
}

// shortestInterval returns the shortest token interval that a tier promises; 0 = none.
func shortestInterval(t *table.Table) time.Duration {
	var shortest time.Duration
	for _, row := range t.Tiers {
		if row.TokenInterval > 0 && (shortest == 0 || row.TokenInterval < shortest) {
			shortest = row.TokenInterval
		}
	}
	return shortest
}

// detectStall tells the learner when no run has had a token for long. A run that
// started since the last token may still be in its prefill, for which it has the
// time that is expected, and as much again.
func (c *control) detectStall() {
	if !c.hasStreamingRun() {
		return
	}
	since, allowed := c.lastToken, stallThreshold
	if c.lastStart > since {
		since, allowed = c.lastStart, stallThreshold+2*c.lastPrefill
	}
	if silent := c.cfg.Now() - since; silent > allowed {
		c.speed.Stall(c.machine.Status().Running, silent)
	}
}

// hasStreamingRun tells whether a run in service streams its answer, so that its tokens are seen.
func (c *control) hasStreamingRun() bool {
	for _, r := range c.runs {
		if r.header.Stream && !r.hasEnded() && !r.gate.isClosed() {
			return true
		}
	}
	return false
}

// recordEnd counts what an ended run cost and learns from it.
func (c *control) recordEnd(r *run, out outcome) {
	if out.kind == endpoint.Complete {
		c.speed.Cached(r.header.PrefixHash, out.cachedTokens)
		if out.timeToFirstToken > 0 {
			c.speed.Prefill(out.prefillTokens, r.runningAtStart, out.timeToFirstToken)
		}
	}
	tier := tierAttribute(r.header.Tier)
	c.metrics.ended.Add(c.ctx, 1, outcomeAttributes(r.header.Tier, out.kind.String()))
	c.metrics.prefill.Add(c.ctx, int64(out.prefillTokens), tier)
	c.metrics.wasted.Add(c.ctx, int64(out.wastedTokens), tier)
	c.metrics.generated.Add(c.ctx, int64(out.generatedTokens), tier)
}
