package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/peer/engine"
)

const (
	// pollInterval is the time between two reads of the engine's reports.
	pollInterval = time.Second
	// pollTimeout bounds one read.
	pollTimeout = 2 * time.Second
	// maxEvictions is the number of evictions after which the estimator forgets what
	// it knows about cached prefixes.
	maxEvictions = 4096
)

// cacheView is the content of the engine's prefix cache according to its cache events.
// It is approximate, since events come late and some are lost.
type cacheView struct {
	blocks  map[string]struct{} // IDs of the cached blocks
	next    int64               // sequence number of the next event
	missed  int64               // events that were lost
	evicted int                 // evictions since the estimator last forgot its prefixes
}

// update applies events and reports whether what was learned about prefixes is out of
// date. The event after them has the sequence number next.
func (v *cacheView) update(events []engine.CacheEvent, next int64) bool {
	if next < v.next {
		// The engine has restarted, so its cache is empty.
		*v = cacheView{blocks: map[string]struct{}{}, missed: v.missed, next: next}
		return true
	}
	for _, event := range events {
		if event.Sequence < v.next {
			continue
		}
		v.missed += event.Sequence - v.next
		v.next = event.Sequence + 1
		if event.Kind == engine.CacheStored {
			v.blocks[event.Block] = struct{}{}
			continue
		}
		delete(v.blocks, event.Block)
		v.evicted++
	}
	v.next = max(v.next, next)
	stale := v.evicted > maxEvictions
	if stale {
		v.evicted = 0
	}
	return stale
}

// cacheMessage passes cache events to the control goroutine.
type cacheMessage struct {
	events []engine.CacheEvent
	next   int64
}

func (m cacheMessage) apply(c *control) {
	if c.cache.update(m.events, m.next) {
		c.speed.ClearCache()
	}
}

// loadMessage passes the engine's load report to the control goroutine.
type loadMessage struct{ load engine.Load }

func (m loadMessage) apply(c *control) {
	c.load = m.load
}

// background implements backend. It polls the engine's load reports and cache events.
func (b *engineBackend) background(ctx context.Context, post func(message)) {
	go b.poll(ctx, func(ctx context.Context) error {
		load, err := b.client.Load(ctx)
		if err == nil {
			post(loadMessage{load: load})
		}
		return err
	})
	var next int64
	go b.poll(ctx, func(ctx context.Context) error {
		events, following, err := b.client.CacheEvents(ctx, next)
		if err == nil {
			next = following
			post(cacheMessage{events: events, next: following})
		}
		return err
	})
}

// poll repeats a read every pollInterval until ctx ends or the engine does not support it.
func (b *engineBackend) poll(ctx context.Context, read func(context.Context) error) {
	for ctx.Err() == nil {
		limited, stop := context.WithTimeout(ctx, pollTimeout)
		err := read(limited)
		stop()
		if errors.Is(err, engine.ErrUnsupported) {
			return
		}
		sleep(ctx, pollInterval)
	}
}
