package entry

import (
	"math"
	"net/http"
	"time"

	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/coord/table"
)

// lowestTier allows to shed the least urgent tier of the table: nothing lower
// than it can be in service.
type lowestTier struct {
	table func() *table.Table
}

// MayShed implements ShedPermit.
func (l lowestTier) MayShed(_ time.Duration, _, tier string) bool {
	t := l.table()
	if t == nil {
		return false
	}
	own, ok := t.Tiers[tier]
	if !ok {
		return false
	}
	for _, other := range t.Tiers {
		if other.Rank > own.Rank {
			return false
		}
	}
	return true
}

// displace makes room when too many requests wait: the newcomer where its tier
// is full, and otherwise the request of the pool that would be served last. One
// that may not be shed waits on, and the queue grows by it.
func (c *control) displace(now time.Duration, newcomer *call) {
	pool := newcomer.endpoint.Name
	limit := newcomer.tier.QueueLimit
	victim := newcomer.item
	switch {
	case limit > 0 && c.queue.Waiting(pool, newcomer.tier.Rank) > limit:
	case c.queue.Len() > c.entry.config.MaxWaiting:
		victim, _ = c.queue.Last(pool)
	default:
		return
	}
	if !c.permit.MayShed(now, pool, victim.Tier) {
		return
	}
	c.later(victim.Key, request.Shed{
		Status:     http.StatusServiceUnavailable,
		Reason:     "too many requests wait for this endpoint",
		RetryAfter: c.retryAfter(pool),
	})
}

// shedLate gives up what has waited longer than its tier allows, where it may be shed.
func (c *control) shedLate(now time.Duration) {
	for _, k := range c.calls {
		if !k.queued || k.tier.MaxWait == 0 || now-k.arrived < k.tier.MaxWait {
			continue
		}
		if c.permit.MayShed(now, k.endpoint.Name, k.tier.Name) {
			c.run(now, step{call: k, event: request.Shed{
				Status:     http.StatusServiceUnavailable,
				Reason:     "no place became free within the tier's limit of waiting",
				RetryAfter: c.retryAfter(k.endpoint.Name),
			}})
		}
	}
}

// retryAfter estimates when a pool will have room again: when half of what
// waits now has been served, by the rate of the last while.
func (c *control) retryAfter(pool string) time.Duration {
	estimate := c.rates.drainTime(pool, c.queue.PoolLen(pool)/2)
	return min(max(estimate, c.entry.config.RetryAfter), maxRetryAfter)
}

const (
	maxRetryAfter = 5 * time.Minute
	rateWindow    = 10 * time.Second // over which dispatches are averaged
)

// rates averages the dispatches of each pool.
type rates struct {
	pools map[string]*rate
}

type rate struct {
	perSecond float64
	at        time.Duration
}

// dispatched counts one dispatch to a pool.
func (r *rates) dispatched(now time.Duration, pool string) {
	p, ok := r.pools[pool]
	if !ok {
		p = &rate{at: now}
		r.pools[pool] = p
	}
	fade := math.Exp(-(now - p.at).Seconds() / rateWindow.Seconds())
	p.perSecond = p.perSecond*fade + 1/rateWindow.Seconds()
	p.at = now
}

// drainTime is the time that a number of dispatches takes at the average rate; 0 = not known.
func (r *rates) drainTime(pool string, count int) time.Duration {
	p, ok := r.pools[pool]
	if !ok || p.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(count) / p.perSecond * float64(time.Second))
}
