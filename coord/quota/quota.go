// Package quota enforces the rate and concurrency limits of client accounts
// across several entries. One entry, the account's home, leases parts of the
// limits to all entries; the leases of a Home never add up to more than the
// limits. Each entry admits requests through a Client: within its lease, or
// within an even share of the limits while it has no lease.
package quota

import "time"

// Amounts holds the limits of one account, a part of them, or a demand.
type Amounts struct {
	// Requests is a rate in requests per second; as a limit, 0 means no limit.
	Requests float64
	// Tokens is a rate in tokens per second; as a limit, 0 means no limit.
	Tokens float64
	// Concurrency is a number of concurrent requests; as a limit, 0 means no limit.
	Concurrency int
}

// limited reports whether any limit is set.
func (a Amounts) limited() bool {
	return a.Requests > 0 || a.Tokens > 0 || a.Concurrency > 0
}

func (a Amounts) plus(b Amounts) Amounts {
	return Amounts{
		Requests:    a.Requests + b.Requests,
		Tokens:      a.Tokens + b.Tokens,
		Concurrency: a.Concurrency + b.Concurrency,
	}
}

// Lease gives an entry a part of an account's limits for a limited time.
type Lease struct {
	Amounts
	// Length is how long the lease is valid. The entry counts it from the moment it
	// sent the request, the home from the moment it answered, so that the entry
	// never uses the lease longer than the home reserves it.
	Length time.Duration
}

// burstPeriod sets the capacity of a bucket: what its rate adds in this time.
const burstPeriod = time.Second

// bucket is a token bucket. One admission may take its level below zero.
type bucket struct {
	level      float64
	refilledAt time.Duration
}

// refill adds what the rate (per second) has produced since the last refill. The
// capacity is the rate times burstPeriod, or minCapacity if that is more.
func (b *bucket) refill(now time.Duration, rate, minCapacity float64) {
	b.level += rate * (now - b.refilledAt).Seconds()
	b.refilledAt = now
	b.level = min(b.level, max(rate*burstPeriod.Seconds(), minCapacity))
}

// wait returns how long the bucket takes to reach an amount at a rate per second.
func (b *bucket) wait(amount, rate float64) time.Duration {
	if b.level >= amount || rate <= 0 {
		return 0
	}
	return time.Duration((amount - b.level) / rate * float64(time.Second))
}
