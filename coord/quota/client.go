package quota

import (
	"math"
	"sort"
	"time"
)

// LeaseRequest asks the home of an account for a lease.
type LeaseRequest struct {
	// Account is the name of the account.
	Account string
	// Demand is the demand seen by this entry, increased to leave room for growth.
	Demand Amounts
}

// Verdict says whether a request is admitted.
type Verdict struct {
	// OK is set when the request is admitted.
	OK bool
	// Reason names the limit that was reached: "requests", "tokens" or "concurrency".
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// accountState is what a Client knows about one account.
type accountState struct {
	lease               Lease
	leaseExpires        time.Duration
	leaseRequestPending bool
	leaseRequestedAt    time.Duration
	requestBucket       bucket
	tokenBucket         bucket
	running             int
	peakRunning         int     // highest value of running since the last lease request
	arrivals            float64 // requests since the last lease request, admitted or not
	demandedTokens      float64 // since the last lease request, by requests admitted or not
	lastSeen            time.Duration
}

// Client admits or refuses requests at one entry. It is not safe for concurrent use.
type Client struct {
	accounts      map[string]*accountState
	renewInterval time.Duration // between two lease requests for one account
}

const (
	demandGrowth  = 1.25                   // factor from the demand seen to the demand asked for
	idleTimeout   = time.Minute            // an account unused for longer is removed
	minRetryAfter = 100 * time.Millisecond // shortest RetryAfter of a refusal; also the shortest period that demand divides by
)

// NewClient returns a client that asks for a new lease of each account in use
// at the given interval, which must be shorter than the length of a lease.
func NewClient(renewInterval time.Duration) *Client {
	return &Client{accounts: map[string]*accountState{}, renewInterval: renewInterval}
}

// Admit decides whether a request that costs a number of tokens is admitted.
// entries is the number of entries that may receive requests of the account.
func (c *Client) Admit(now time.Duration, account string, limits Amounts, entries int, tokens float64) Verdict {
	s := c.account(now, account)
	s.lastSeen = now
	s.arrivals++
	s.demandedTokens += tokens
	if v := s.checkLimits(now, limits, s.allowance(now, limits, entries)); !v.OK {
		return v
	}
	s.requestBucket.level--
	s.tokenBucket.level -= tokens
	s.running++
	s.peakRunning = max(s.peakRunning, s.running)
	return Verdict{OK: true}
}

// Done records the end of an admitted request; refund is the number of tokens
// that it was charged for and did not use.
func (c *Client) Done(now time.Duration, account string, refund float64) {
	s := c.account(now, account)
	s.running--
	s.tokenBucket.level += refund
}

// account returns the state of an account and creates it if it is missing. A new
// account can ask for a lease at once, and its buckets admit one request.
func (c *Client) account(now time.Duration, account string) *accountState {
	s, ok := c.accounts[account]
	if !ok {
		s = &accountState{requestBucket: bucket{refilledAt: now, level: 1}, tokenBucket: bucket{refilledAt: now, level: 1}, leaseRequestedAt: now - c.renewInterval, lastSeen: now}
		c.accounts[account] = s
	}
	return s
}

// allowance is what this entry may use now: its lease while that is valid, otherwise an
// even share of the limits. An even share of a concurrency limit is at least 1.
func (s *accountState) allowance(now time.Duration, limits Amounts, entries int) Amounts {
	if now < s.leaseExpires {
		return s.lease.Amounts
	}
	n := max(1, entries)
	share := Amounts{Requests: limits.Requests / float64(n), Tokens: limits.Tokens / float64(n)}
	if limits.Concurrency > 0 {
		share.Concurrency = max(1, limits.Concurrency/n)
	}
	return share
}

// checkLimits refills the buckets at the rates of the allowance and decides whether
// one more request is admitted. It needs a positive token level only, whatever the
// request costs.
func (s *accountState) checkLimits(now time.Duration, limits, allowance Amounts) Verdict {
	s.requestBucket.refill(now, allowance.Requests, 1)
	s.tokenBucket.refill(now, allowance.Tokens, 1)
	switch {
	case limits.Requests > 0 && s.requestBucket.level < 1:
		return refuse("requests", s.requestBucket.wait(1, allowance.Requests))
	case limits.Tokens > 0 && s.tokenBucket.level <= 0:
		return refuse("tokens", s.tokenBucket.wait(1, allowance.Tokens))
	case limits.Concurrency > 0 && s.running >= allowance.Concurrency:
		return refuse("concurrency", burstPeriod)
	}
	return Verdict{OK: true}
}

func refuse(reason string, wait time.Duration) Verdict {
	return Verdict{Reason: reason, RetryAfter: max(wait, minRetryAfter)}
}

// DueLeaseRequests returns the lease requests to send now: one for each account that
// has limits, is in use, and has not sent one for the renew interval. It removes
// the accounts that have been idle.
func (c *Client) DueLeaseRequests(now time.Duration, limits func(account string) Amounts) []LeaseRequest {
	var requests []LeaseRequest
	for name, s := range c.accounts {
		if s.running == 0 && !s.leaseRequestPending && now-s.lastSeen > idleTimeout {
			delete(c.accounts, name)
			continue
		}
		used := s.arrivals > 0 || s.running > 0
		if s.leaseRequestPending || now-s.leaseRequestedAt < c.renewInterval || !used || !limits(name).limited() {
			continue
		}
		requests = append(requests, LeaseRequest{Account: name, Demand: s.demand(now)})
		s.leaseRequestPending = true
		s.leaseRequestedAt = now
		s.arrivals, s.demandedTokens, s.peakRunning = 0, 0, s.running
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].Account < requests[j].Account })
	return requests
}

// demand is the demand per second since the last lease request, increased by
// demandGrowth to leave room for growth until the next renewal.
func (s *accountState) demand(now time.Duration) Amounts {
	period := math.Max((now - s.leaseRequestedAt).Seconds(), minRetryAfter.Seconds())
	return Amounts{
		Requests:    (s.arrivals/period)*demandGrowth + 1,
		Tokens:      (s.demandedTokens/period)*demandGrowth + 1,
		Concurrency: int(float64(s.peakRunning)*demandGrowth) + 1,
	}
}

// Granted records the lease that the home gave for an account.
func (c *Client) Granted(account string, lease Lease) {
	s, ok := c.accounts[account]
	if !ok || !s.leaseRequestPending {
		return
	}
	s.leaseRequestPending = false
	s.lease = lease
	s.leaseExpires = s.leaseRequestedAt + lease.Length
}

// Failed records that the home did not answer a lease request. The current lease
// stays in use until it expires; after that the even share applies.
func (c *Client) Failed(account string) {
	if s, ok := c.accounts[account]; ok {
		s.leaseRequestPending = false
	}
}
