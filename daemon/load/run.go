package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// maxIdleConnsPerHost bounds the idle connections kept to each target.
const maxIdleConnsPerHost = 2048

// Run sends the requests of a plan at their times, without waiting for earlier
// answers, and returns one result for each. Every request ends by its deadline, so
// Run ends too. When ctx is done, it sends no more; the results of the requests left
// out are zero.
func Run(ctx context.Context, plan Plan, target Target) []Result {
	if target.Scale == 0 {
		target.Scale = 1
	}
	if target.Client == nil {
		transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
		target.Client = &http.Client{Transport: transport}
		defer transport.CloseIdleConnections()
	}
	results := make([]Result, len(plan.Requests))
	var wg sync.WaitGroup
	start := time.Now()
	for i, r := range plan.Requests {
		if !sleepUntil(ctx, start.Add(target.toRunTime(r.At))) {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := call{target: target, mix: plan.Mix, request: r, index: i}
			results[i] = c.run(ctx)
		}()
	}
	wg.Wait()
	return results
}

// sleepUntil waits until a time; false = ctx was done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
