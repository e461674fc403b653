// Package retry decides whether a request may be attempted again and after which
// delay. Every further attempt takes a token from the budget of its client
// account and one from the total budget. Both fill in proportion to the requests
// made. No further attempt is allowed while the pool is overloaded.
package retry

import (
	"math/rand"
	"time"

	"primrosespoke.dev/coord/invariant"
)

// Config holds the settings of a Budget.
type Config struct {
	// Ratio is the number of further attempts allowed per request in the long run.
	Ratio float64
	// AccountBurst is the number of further attempts that an account may make at
	// once, and TotalBurst the number that all accounts together may.
	AccountBurst float64
	TotalBurst   float64
	// MaxAttempts is the largest number of attempts of one request, including the first.
	MaxAttempts uint32
	// BaseDelay is the initial delay. It doubles with each failure up to MaxDelay,
	// and up to half of the result is then taken off at random.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// IdleTimeout is the time after which the budget of an unused account is deleted.
	IdleTimeout time.Duration
}

// Resize sets both the burst of an account and the total burst.
func (b *Budget) Resize(burst float64) {
	b.config.AccountBurst, b.config.TotalBurst = burst, burst
	b.totalTokens = min(b.totalTokens, burst)
	for _, a := range b.accounts {
		a.tokens = min(a.tokens, burst)
	}
}

// account is the budget of one client account.
type account struct {
	tokens   float64
	lastUsed time.Duration
}

// Budget is a retry budget. It is not safe for concurrent use.
type Budget struct {
	config      Config
	rng         *rand.Rand
	accounts    map[string]*account
	totalTokens float64
	lastSweep   time.Duration
}

// New returns a budget that holds the full bursts.
func New(config Config, rng *rand.Rand) *Budget {
	return &Budget{config: config, rng: rng, accounts: map[string]*account{}, totalTokens: config.TotalBurst}
}

// RecordRequest counts a request's first attempt, which adds Ratio to its
// account's budget and to the total budget.
func (b *Budget) RecordRequest(now time.Duration, name string) {
	a := b.account(now, name)
	a.tokens = min(a.tokens+b.config.Ratio, b.config.AccountBurst)
	b.totalTokens = min(b.totalTokens+b.config.Ratio, b.config.TotalBurst)
	b.forgetIdle(now)
}

// Retry tells whether a further attempt may follow the one with the given
// number, and after which delay. If so, it takes a token from both budgets.
func (b *Budget) Retry(now time.Duration, name string, attempt uint32, overloaded bool) (time.Duration, bool) {
	if overloaded || attempt >= b.config.MaxAttempts {
		return 0, false
	}
	a := b.account(now, name)
	if a.tokens < 1 || b.totalTokens < 1 {
		return 0, false
	}
	a.tokens--
	b.totalTokens--
	invariant.Check(a.tokens >= 0 && b.totalTokens >= 0, "retry/budget-not-overdrawn", "retry budget overdrawn: account %q has %g tokens, total %g", name, a.tokens, b.totalTokens)
	return b.Backoff(int(attempt)), true
}

// Backoff returns the delay after a number of consecutive failures. It doubles
// with each failure up to MaxDelay, and half of it is random.
func (b *Budget) Backoff(failures int) time.Duration {
	delay := b.config.BaseDelay
	for range failures {
		if delay >= b.config.MaxDelay/2 {
			delay = b.config.MaxDelay
			break
		}
		delay *= 2
	}
	half := delay / 2
	return half + time.Duration(b.rng.Int63n(int64(half)+1))
}

func (b *Budget) account(now time.Duration, name string) *account {
	a, ok := b.accounts[name]
	if !ok {
		a = &account{tokens: b.config.AccountBurst}
		b.accounts[name] = a
	}
	a.lastUsed = now
	return a
}

// forgetIdle deletes the budgets of idle accounts, to bound the memory used.
func (b *Budget) forgetIdle(now time.Duration) {
	if now-b.lastSweep < b.config.IdleTimeout {
		return
	}
	b.lastSweep = now
	for name, a := range b.accounts {
		if now-a.lastUsed >= b.config.IdleTimeout {
			delete(b.accounts, name)
		}
	}
}
