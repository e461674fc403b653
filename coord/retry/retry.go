// Package retry decides whether a request may be attempted again. Attempts
// spend a budget, one for each client account and one in all, that fills in
// proportion to the requests made; none are made while the pool is overloaded.
package retry

import (
	"math/rand"
	"time"

	"primrosespoke.dev/coord/invariant"
)

// Config of a Budget.
type Config struct {
	// Ratio is how many further attempts are allowed for each request, in the long run.
	Ratio float64
	// AccountBurst is how many further attempts an account may make at once; the budget
	// in all holds BurstAll.
	AccountBurst float64
	TotalBurst   float64
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts uint32
	// BaseDelay and Limit bound the delay before a further attempt.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// IdleTimeout is the time after which an account without requests is forgotten.
	IdleTimeout time.Duration
}

// Resize changes how many further attempts may be made at once, by an account and in all.
func (b *Budget) Resize(burst float64) {
	b.config.AccountBurst, b.config.TotalBurst = burst, burst
	b.totalTokens = min(b.totalTokens, burst)
	for _, a := range b.accounts {
		a.tokens = min(a.tokens, burst)
	}
}

// account is one account's budget.
type account struct {
	tokens   float64
	lastUsed time.Duration
}

// Budget is the retry budget of one process. It is used by one goroutine.
type Budget struct {
	config      Config
	rng         *rand.Rand
	accounts    map[string]*account
	totalTokens float64
	lastSweep   time.Duration
}

// New returns a full budget.
func New(config Config, rng *rand.Rand) *Budget {
	return &Budget{config: config, rng: rng, accounts: map[string]*account{}, totalTokens: config.TotalBurst}
}

// RecordRequest counts a first attempt, which fills the budgets.
func (b *Budget) RecordRequest(now time.Duration, name string) {
	a := b.account(now, name)
	a.tokens = min(a.tokens+b.config.Ratio, b.config.AccountBurst)
	b.totalTokens = min(b.totalTokens+b.config.Ratio, b.config.TotalBurst)
	b.forgetIdle(now)
}

// Retry tells whether attempt number attempt+1 may be made, and after which
// delay. It spends the budgets when it may.
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
	invariant.Check(a.tokens >= 0 && b.totalTokens >= 0, "retry/budget-not-overdrawn", "account %s: %g, all: %g", name, a.tokens, b.totalTokens)
	return b.Backoff(int(attempt)), true
}

// Backoff returns the delay after a number of failures in a row: it doubles
// with each, half of it is random, and it is bounded.
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

// forgetIdle forgets idle accounts, so that the budget does not grow.
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
