package entry

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"primrosespoke.dev/daemon/peer/caller"
)

// bodyMemory bounds the bytes of all request bodies held. Tiers below the most
// urgent one use three quarters of it at most, so that they cannot take it all.
type bodyMemory struct {
	all   *semaphore.Weighted
	lower *semaphore.Weighted
}

func newBodyMemory(limit, largest int64) *bodyMemory {
	return &bodyMemory{
		all:   semaphore.NewWeighted(limit),
		lower: semaphore.NewWeighted(max(limit/4*3, largest)),
	}
}

// hold waits for room for a body and returns what gives it back.
func (m *bodyMemory) hold(ctx context.Context, urgent bool, size int64) (func(), error) {
	if !urgent {
		if err := m.lower.Acquire(ctx, size); err != nil {
			return nil, err
		}
	}
	if err := m.all.Acquire(ctx, size); err != nil {
		if !urgent {
			m.lower.Release(size)
		}
		return nil, err
	}
	return func() {
		m.all.Release(size)
		if !urgent {
			m.lower.Release(size)
		}
	}, nil
}

// AcquireBodyMemory implements caller.Handler.
func (e *Entry) AcquireBodyMemory(ctx context.Context, r *caller.Request, size int64) (func(), *caller.Problem) {
	limit := r.Deadline
	if limit == 0 {
		limit = e.config.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	release, err := e.bodies.hold(ctx, e.urgent(r), size)
	if err != nil {
		return nil, e.problem("deadline", http.StatusGatewayTimeout, "the deadline has passed", 0)
	}
	r.Deadline = max(limit-time.Since(start), time.Millisecond)
	return release, nil
}

// urgent tells whether a request is of the most urgent tier of the table.
func (e *Entry) urgent(r *caller.Request) bool {
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
