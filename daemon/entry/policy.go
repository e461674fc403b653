package entry

import (
	"time"

	"primrosespoke.dev/coord/placement"
	"primrosespoke.dev/coord/retry"
)

const (
	backoffBase       = 10 * time.Millisecond // delay after the first failure
	maxBackoff        = time.Second           // longest delay between attempts
	maxAttempts       = 4                     // of one request, including the first
	accountRetryBurst = 10                    // further attempts that one account may make at once
	totalRetryBurst   = 50                    // further attempts that all accounts together may make at once
	retryIdleTimeout  = 10 * time.Minute      // after which the budget of an unused account is deleted
	overloadDivisor   = 4                     // a pool is overloaded when more than Window/overloadDivisor requests wait for it
)

func retryConfig(config Config) retry.Config {
	return retry.Config{
		Ratio: config.RetryRatio, AccountBurst: accountRetryBurst, TotalBurst: totalRetryBurst, MaxAttempts: maxAttempts,
		BaseDelay: backoffBase, MaxDelay: maxBackoff, IdleTimeout: retryIdleTimeout,
	}
}

// policy makes the decisions of one request's state machine that depend on the
// state of the whole entry.
type policy struct {
	control *control
	call    *call
}

// Pick implements request.Policy.
func (p *policy) Pick(now time.Duration, exclude []string, n int) []string {
	k := p.call
	return p.control.placement.Pick(now, placement.Query{
		Pool:         k.endpoint.Name,
		Key:          idempotencyRouteKey(k),
		Prefixes:     k.request.Prefixes,
		PromptTokens: int(k.request.PromptTokens),
		MaxTokens:    int(expectedTokens(k)),
		Exclude:      exclude,
		Count:        n,
	})
}

// idempotencyRouteKey returns the placement key that sends all requests of an account
// with the same idempotency key to the same agent; empty if the request needs none.
func idempotencyRouteKey(k *call) string {
	if !k.nonIdempotent || k.request.IdempotencyKey == "" {
		return ""
	}
	return k.account.Name + "\x00" + k.endpoint.Name + "\x00" + k.request.IdempotencyKey
}

// Retry implements request.Policy. It decides about attempts after one that ran.
func (p *policy) Retry(now time.Duration, attempt uint32) (time.Duration, bool) {
	c := p.control
	overloaded := c.queue.PoolLen(p.call.endpoint.Name) > c.entry.config.Window/overloadDivisor
	delay, ok := c.budget.Retry(now, p.call.account.Name, attempt, overloaded)
	c.entry.metrics.retryDecided(p.call, ok)
	if ok {
		c.furtherAttempts++
	}
	return delay, ok
}

// Backoff implements request.Policy.
func (p *policy) Backoff(failures int) time.Duration {
	return p.control.budget.Backoff(failures)
}
