package quota

import (
	"time"

	"primrosespoke.dev/coord/invariant"
)

// entryLease is the newest lease of an account's limits to one entry.
type entryLease struct {
	amounts Amounts
	demand  Amounts
	expires time.Duration
}

// Home leases the limits of the accounts whose home this entry is. It is not
// safe for concurrent use.
type Home struct {
	leaseLength time.Duration
	accounts    map[string]map[string]*entryLease // by account, then entry
}

// NewHome returns a home whose leases are valid for the given length.
func NewHome(length time.Duration) *Home {
	return &Home{leaseLength: length, accounts: map[string]map[string]*entryLease{}}
}

// Grant leases to an entry what it demands, at most its part of the limits and
// at most what the other entries do not hold. When the demands exceed a limit,
// each entry's part of it is proportional to its demand; what another entry
// holds beyond its part becomes free when that entry renews its lease.
func (h *Home) Grant(now time.Duration, account, entry string, demand, limits Amounts) Lease {
	h.expire(now, account)
	holders, ok := h.accounts[account]
	if !ok {
		holders = map[string]*entryLease{}
		h.accounts[account] = holders
	}
	var held Amounts
	totalDemand := demand
	for name, l := range holders {
		if name != entry {
			held = held.plus(l.amounts)
			totalDemand = totalDemand.plus(l.demand)
		}
	}
	granted := Amounts{
		Requests:    leasePart(limits.Requests, demand.Requests, totalDemand.Requests, held.Requests),
		Tokens:      leasePart(limits.Tokens, demand.Tokens, totalDemand.Tokens, held.Tokens),
		Concurrency: int(leasePart(float64(limits.Concurrency), float64(demand.Concurrency), float64(totalDemand.Concurrency), float64(held.Concurrency))),
	}
	holders[entry] = &entryLease{amounts: granted, demand: demand, expires: now + h.leaseLength}
	checkWithinLimits(account, held, granted, limits)
	return Lease{Amounts: granted, Length: h.leaseLength}
}

// roundingTolerance is a factor that allows for floating-point rounding in sums.
const roundingTolerance = 1 + 1e-9

// checkWithinLimits asserts that a grant does not take the sum of leases beyond the
// limits. After a limit was lowered, the leases of the other entries alone may
// exceed it until they expire.
func checkWithinLimits(account string, held, granted, limits Amounts) {
	sum := held.plus(granted)
	within := sum.Requests <= max(limits.Requests, held.Requests)*roundingTolerance &&
		sum.Tokens <= max(limits.Tokens, held.Tokens)*roundingTolerance &&
		sum.Concurrency <= max(limits.Concurrency, held.Concurrency)
	invariant.Check(within, "quota/leases-within-limits", "account %s: leases add up to %+v, limits are %+v", account, sum, limits)
}

// leasePart returns the part of one limit that is leased to an entry with a demand,
// when all entries together demand totalDemand and the other entries hold held.
func leasePart(limit, demand, totalDemand, held float64) float64 {
	if limit <= 0 || demand <= 0 {
		return 0
	}
	fair := min(demand, limit)
	if totalDemand > limit {
		fair = limit * demand / totalDemand
	}
	return max(0, min(fair, limit-held))
}

func (h *Home) expire(now time.Duration, account string) {
	holders := h.accounts[account]
	for name, l := range holders {
		if now >= l.expires {
			delete(holders, name)
		}
	}
	if len(holders) == 0 {
		delete(h.accounts, account)
	}
}

// Sweep removes the accounts without valid leases.
func (h *Home) Sweep(now time.Duration) {
	for account := range h.accounts {
		h.expire(now, account)
	}
}
