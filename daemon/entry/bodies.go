package entry

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"primrosespoke.dev/daemon/peer/caller"
)

// bodyMemory limits the bytes of all request bodies in memory. The tiers below the most
// urgent one together get three quarters of it, or the largest body if that is more,
// so that they cannot use up the memory for the most urgent one.
type bodyMemory struct {
	all        *semaphore.Weighted
	lowerTiers *semaphore.Weighted
}

func newBodyMemory(limit, largest int64) *bodyMemory {
	return &bodyMemory{
		all:        semaphore.NewWeighted(limit),
		lowerTiers: semaphore.NewWeighted(max(limit/4*3, largest)),
	}
}

// acquire waits until there is memory for a body and returns the function that
// releases it.
func (m *bodyMemory) acquire(ctx context.Context, urgent bool, size int64) (func(), error) {
	if !urgent {
		if err := m.lowerTiers.Acquire(ctx, size); err != nil {
			return nil, err
		}
	}
	if err := m.all.Acquire(ctx, size); err != nil {
		if !urgent {
			m.lowerTiers.Release(size)
		}
		return nil, err
	}
	return func() {
		m.all.Release(size)
		if !urgent {
			m.lowerTiers.Release(size)
		}
	}, nil
}

// AcquireBodyMemory implements caller.Handler. It waits for memory for a request's
// body, at most until the deadline, and deducts the time waited from it.
func (e *Entry) AcquireBodyMemory(ctx context.Context, r *caller.Request, size int64) (func(), *caller.Problem) {
	limit := r.Deadline
	if limit == 0 {
		limit = e.config.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	release, err := e.bodies.acquire(ctx, e.isMostUrgent(r), size)
	if err != nil {
		return nil, e.notRunProblem("deadline", http.StatusGatewayTimeout, "the deadline has passed", 0)
	}
	r.Deadline = max(limit-time.Since(start), time.Millisecond)
	return release, nil
}

// isMostUrgent reports whether a request is of the most urgent tier of the table.
func (e *Entry) isMostUrgent(r *caller.Request) bool {
	t := e.config.Table()
	account, problem := e.account(t, r.KeyDigest)
	if problem != nil {
		return false
	}
	own, problem := e.tier(t, account, r.Tier)
	if problem != nil {
		return false
	}
	for _, other := range t.Tiers {
		if other.Rank < own.Rank {
			return false
		}
	}
	return true
}
