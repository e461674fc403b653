package entry

import (
	"math"
	"net/http"
	"time"

	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/coord/table"
)

// lowestTierPermit allows shedding only for the least urgent tier of the table, since
// no request of a lower tier can be in service.
type lowestTierPermit struct {
	table func() *table.Table
}

// MayShed implements ShedPermit.
func (l lowestTierPermit) MayShed(_ time.Duration, _, tier string) bool {
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

// shedOverflow sheds a request when too many wait: the newcomer if its tier's queue in
// the pool is over its limit, or the request of the pool that would be served last if
// the entry's queue is over its own. A request that may not be shed keeps waiting, and
// the queue exceeds its limit.
func (c *control) shedOverflow(now time.Duration, newcomer *call) {
	pool := newcomer.endpoint.Name
	limit := newcomer.tier.QueueLimit
	candidate := newcomer.queueItem
	switch {
	case limit > 0 && c.queue.Waiting(pool, newcomer.tier.Rank) > limit:
	case c.queue.Len() > c.entry.config.MaxWaiting:
		candidate, _ = c.queue.Last(pool)
	default:
		return
	}
	if !c.permit.MayShed(now, pool, candidate.Tier) {
		return
	}
	c.addStep(candidate.Key, request.Shed{
		Status:     http.StatusServiceUnavailable,
		Reason:     "too many requests wait for this endpoint",
		RetryAfter: c.retryAfter(pool),
	})
}

// shedOverdue sheds requests that have waited longer than their tier allows, if they
// may be shed.
func (c *control) shedOverdue(now time.Duration) {
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

// retryAfter estimates when a pool can take requests again: when half of the requests
// that wait now have been dispatched, at the recent rate.
func (c *control) retryAfter(pool string) time.Duration {
	estimate := c.rates.timeToDispatch(pool, c.queue.PoolLen(pool)/2)
	return min(max(estimate, c.entry.config.RetryAfter), maxRetryAfter)
}

const (
	maxRetryAfter = 5 * time.Minute
	rateWindow    = 10 * time.Second // time constant of the average of dispatches
)

// rates holds the average rate of dispatches to each pool.
type rates struct {
	pools map[string]*rate
}

// rate is an exponentially weighted average of dispatches per second.
type rate struct {
	perSecond float64
	updatedAt time.Duration
}

// dispatched counts one dispatch to a pool.
func (r *rates) dispatched(now time.Duration, pool string) {
	p, ok := r.pools[pool]
	if !ok {
		p = &rate{updatedAt: now}
		r.pools[pool] = p
	}
	decay := math.Exp(-(now - p.updatedAt).Seconds() / rateWindow.Seconds())
	p.perSecond = p.perSecond*decay + 1/rateWindow.Seconds()
	p.updatedAt = now
}

// timeToDispatch returns the time that a number of dispatches takes at the average rate; 0 =
// not known.
func (r *rates) timeToDispatch(pool string, count int) time.Duration {
	p, ok := r.pools[pool]
	if !ok || p.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(count) / p.perSecond * float64(time.Second))
}
