package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/peer/engine"
)

const (
	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
	// maxEvictions is how many evictions the cache view takes before what was
	// learned about prefixes is dropped.
	maxEvictions = 4096
)

// cacheView is what the engine's cache events say of its prefix cache. They come
// late and with gaps, so that it is never exact.
type cacheView struct {
	blocks  map[string]struct{}
	next    int64
	missed  int64
	evicted int
}

// update applies events and tells whether learned prefixes are out of date.
func (v *cacheView) update(events []engine.CacheEvent, next int64) bool {
	if next < v.next {
		// The engine has begun anew.
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

// cacheMessage brings cache events to the control goroutine.
type cacheMessage struct {
	events []engine.CacheEvent
	next   int64
}

func (m cacheMessage) apply(c *control) {
	if c.cache.update(m.events, m.next) {
		c.speed.Evicted()
	}
}

// loadMessage brings the engine's lagging load report to the control goroutine.
type loadMessage struct{ load engine.Load }

func (m loadMessage) apply(c *control) {
	c.load = m.load
}

// background implements backend: it reads the engine's load reports and cache events.
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

// poll repeats a reading until ctx ends or the engine says that it lacks the call.
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
