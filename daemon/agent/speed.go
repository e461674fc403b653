package agent

import (
	"time"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/coord/speed"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// Assumptions about an endpoint until enough of its runs have been measured.
const (
	assumedStep       = 10 * time.Millisecond  // decode step without runs
	assumedStepPerRun = 500 * time.Microsecond // added for each concurrent run
	assumedPrefill    = 4000                   // tokens per second
	initialPlaces     = 4                      // concurrent runs
	maxPlaces         = 64                     // concurrent runs
	// stallThreshold is how long no run has got a token before the endpoint counts as stalled.
	stallThreshold = 250 * time.Millisecond
)

// newEstimator returns the estimator of the endpoint's speed.
func newEstimator() *speed.Estimator {
	return speed.New(speed.Config{
		Step: assumedStep, StepPerRun: assumedStepPerRun, PrefillPerSecond: assumedPrefill,
		FirstPlaces: initialPlaces, MaxPlaces: maxPlaces,
	})
}

// progressMessage reports the progress of a run.
type progressMessage struct {
	run       *run
	generated int
	buffered  int64
	tokens    int           // generated since the previous report
	elapsed   time.Duration // time since the previous report
}

func (m progressMessage) apply(c *control) {
	running := c.machine.Status().Running
	if m.tokens > 0 {
		c.speed.ObserveInterval(running, m.elapsed/time.Duration(m.tokens))
	}
	c.lastToken = c.cfg.Now()
	left := int(m.run.header.MaxTokens) - m.generated
	if left <= 0 {
		left = m.generated / 2 // longer than expected: the estimate grows with the output
	}
	c.step(endpoint.Progress{
		Attempt:   m.run.key,
		Context:   int(m.run.header.PromptTokens) + m.generated,
		Remaining: time.Duration(left) * c.speed.TokenInterval(running),
		Buffered:  m.buffered,
	})
}

// cost returns the expected service time of a request.
func (c *control) cost(req *nodepb.ReserveRequest) time.Duration {
	return c.speed.ServiceTime(req.PrefixHash, int(req.PromptTokens), int(req.MaxTokens), c.machine.Status().Running+1)
}

// prefill returns the expected time to a request's first token if the endpoint computes
// no other prompt; 0 for a plain service.
func (c *control) prefill(req *nodepb.ReserveRequest) time.Duration {
	if c.cfg.Kind != table.EndpointEngine {
		return 0
	}
	return c.speed.ServiceTime(req.PrefixHash, int(req.PromptTokens), 0, 1)
}

// addSpeed adds the speed that one more run can expect to a status.
func (c *control) addSpeed(status *nodepb.AgentStatus) {
	interval := c.speed.TokenInterval(int(status.Running) + 1)
	status.TokensPerSecond = 1 / interval.Seconds()
	status.PrefillPerSecond = c.speed.PrefillPerSecond()
}

// adjustPlaces sets the number of concurrent runs to that of the table, or to the
// learned one if the table has none.
func (c *control) adjustPlaces() {
	t := c.cfg.Table()
	if t == nil {
		return
	}
	c.speed.SetTargetInterval(shortestInterval(t))
	c.detectStall()
	places := t.Endpoints[c.cfg.Pool].Concurrency
	if places == 0 {
		places = c.backend.places(c.speed)
	}
	c.step(endpoint.SetPlaces{Places: places})
}

// shortestInterval returns the shortest target that a tier has for the token interval; 0 = none
// has one.
func shortestInterval(t *table.Table) time.Duration {
	var shortest time.Duration
	for _, row := range t.Tiers {
		if row.TokenInterval > 0 && (shortest == 0 || row.TokenInterval < shortest) {
			shortest = row.TokenInterval
		}
	}
	return shortest
}

// detectStall tells the estimator if no run has got a token for stallThreshold. A run that
// started after the last token may still be in its prefill; it has twice the expected
// prefill time in addition.
func (c *control) detectStall() {
	if !c.hasStreamingRun() {
		return
	}
	since, allowed := c.lastToken, stallThreshold
	if c.lastStart > since {
		since, allowed = c.lastStart, stallThreshold+2*c.lastPrefill
	}
	if silent := c.cfg.Now() - since; silent > allowed {
		c.speed.ObserveStall(c.machine.Status().Running, silent)
	}
}

// hasStreamingRun reports whether a run in service streams its answer. Only the tokens of
// such runs are seen one by one.
func (c *control) hasStreamingRun() bool {
	for _, r := range c.runs {
		if r.header.Stream && !r.hasEnded() && !r.gate.isClosed() {
			return true
		}
	}
	return false
}

// recordEnd counts the tokens of an ended run and passes its measurements to the estimator.
func (c *control) recordEnd(r *run, out outcome) {
	if out.kind == endpoint.Complete {
		c.speed.ObserveCached(r.header.PrefixHash, out.cachedTokens)
		if out.timeToFirstToken > 0 {
			c.speed.ObservePrefill(out.prefillTokens, r.runningAtStart, out.timeToFirstToken)
		}
	}
	tier := tierAttribute(r.header.Tier)
	c.metrics.ended.Add(c.ctx, 1, outcomeAttributes(r.header.Tier, out.kind.String()))
	c.metrics.prefill.Add(c.ctx, int64(out.prefillTokens), tier)
	c.metrics.wasted.Add(c.ctx, int64(out.wastedTokens), tier)
	c.metrics.generated.Add(c.ctx, int64(out.generatedTokens), tier)
}
