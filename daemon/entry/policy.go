package entry

import (
	"time"

	"primrosespoke.dev/coord/placement"
	"primrosespoke.dev/coord/retry"
)

const (
	backoffBase    = 10 * time.Millisecond
	backoffLimit   = time.Second
	maxAttempts    = 4
	retryBurst     = 10 // further attempts of one account at once
	retryBurstAll  = 50 // further attempts at once
	retryIdle      = 10 * time.Minute
	overloadedPart = 4 // a pool is overloaded when the window's part of requests wait for it
)

func retryConfig(config Config) retry.Config {
	return retry.Config{
		Ratio: config.RetryRatio, AccountBurst: retryBurst, TotalBurst: retryBurstAll, MaxAttempts: maxAttempts,
		BaseDelay: backoffBase, MaxDelay: backoffLimit, IdleTimeout: retryIdle,
	}
}

// policy answers a call's machine from the state of the whole entry.
type policy struct {
	control *control
	call    *call
}

// Pick implements request.Policy.
func (p *policy) Pick(now time.Duration, exclude []string, n int) []string {
	k := p.call
	return p.control.placement.Pick(now, placement.Query{
		Pool:         k.endpoint.Name,
		Key:          routeKey(k),
		Prefixes:     k.request.Prefixes,
		PromptTokens: int(k.request.PromptTokens),
		MaxTokens:    int(expectedTokens(k)),
		Exclude:      exclude,
		Count:        n,
	})
}

// routeKey sends requests with one idempotency key of one account to one agent.
func routeKey(k *call) string {
	if !k.nonIdempotent || k.request.IdempotencyKey == "" {
		return ""
	}
	return k.account.Name + "\x00" + k.endpoint.Name + "\x00" + k.request.IdempotencyKey
}

// Retry implements request.Policy. It is asked for attempts after one that ran.
func (p *policy) Retry(now time.Duration, attempt uint32) (time.Duration, bool) {
	c := p.control
	overloaded := c.queue.PoolLen(p.call.endpoint.Name) > c.entry.config.Window/overloadedPart
	delay, ok := c.budget.Retry(now, p.call.account.Name, attempt, overloaded)
	c.entry.metrics.retried(p.call, ok)
	if ok {
		c.attempts++
	}
	return delay, ok
}

// Backoff implements request.Policy.
func (p *policy) Backoff(failures int) time.Duration {
	return p.control.budget.Backoff(failures)
}
