package engine

import (
	"fmt"
	"time"
)

// Load is the engine's load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	KVUsed  int `json:"kv_used"`
	KVTotal int `json:"kv_total"`
}

// loadSample is the load at one time.
type loadSample struct {
	at   time.Time
	load Load
}

// loadHistory keeps load samples, oldest first, as far back as the lag of the load
// report needs.
type loadHistory struct {
	samples []loadSample
}

func (h *loadHistory) add(now time.Time, lag time.Duration, load Load) {
	h.samples = append(h.samples, loadSample{at: now, load: load})
	for len(h.samples) > 1 && !h.samples[1].at.After(now.Add(-lag)) {
		h.samples = h.samples[1:]
	}
}

// at returns the load as it was at time t.
func (h *loadHistory) at(t time.Time) Load {
	var load Load
	for _, s := range h.samples {
		if s.at.After(t) {
			break
		}
		load = s.load
	}
	return load
}

func (e *Engine) recordLoad() {
	e.loadHistory.add(time.Now(), e.opts.LoadLag, e.currentLoad())
}

func (e *Engine) currentLoad() Load {
	return Load{
		Running: len(e.active),
		Waiting: len(e.waiting),
		KVUsed:  e.kvUsed,
		KVTotal: e.opts.KVTokens,
	}
}

// ReportedLoad returns the load that the engine reports now, which is
// Options.LoadLag old.
func (e *Engine) ReportedLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loadHistory.at(time.Now().Add(-e.opts.LoadLag))
	load.KVTotal = e.opts.KVTokens
	return load
}

// CacheEvent reports that a block was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	Seq   int64  `json:"seq"`
	Kind  string `json:"kind"` // stored or evicted
	Block string `json:"block"`
}

// timedEvent is a cache event and the time of the change.
type timedEvent struct {
	at    time.Time
	event CacheEvent
}

// maxCacheEvents bounds the cache events kept for readers; the oldest are dropped first.
const maxCacheEvents = 1 << 16

// eventLog holds the published cache events, oldest first.
type eventLog struct {
	nextSeq int64
	events  []timedEvent
}

// cacheChanged appends a cache event to the log. With probability
// Options.CacheEventLoss it drops the event, which leaves a gap in the sequence
// numbers.
func (e *Engine) cacheChanged(hash uint64, stored bool) {
	if e.opts.Directory != nil {
		e.opts.Directory.update(hash, stored)
	}
	seq := e.eventLog.nextSeq
	e.eventLog.nextSeq++
	if e.rng.Float64() < e.opts.CacheEventLoss {
		return
	}
	kind := "evicted"
	if stored {
		kind = "stored"
	}
	event := CacheEvent{Seq: seq, Kind: kind, Block: fmt.Sprintf("%016x", hash)}
	e.eventLog.events = append(e.eventLog.events, timedEvent{at: time.Now(), event: event})
	if len(e.eventLog.events) > maxCacheEvents {
		e.eventLog.events = e.eventLog.events[1:]
	}
}

type cacheEventsReply struct {
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// cacheEvents returns the events from a sequence number on that are at least
// Options.CacheEventLag old.
func (e *Engine) cacheEvents(from int64) cacheEventsReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := cacheEventsReply{Next: from, Events: []CacheEvent{}}
	visible := time.Now().Add(-e.opts.CacheEventLag)
	for _, timed := range e.eventLog.events {
		if timed.at.After(visible) {
			break
		}
		if timed.event.Seq < from {
			continue
		}
		reply.Events = append(reply.Events, timed.event)
		reply.Next = timed.event.Seq + 1
	}
	return reply
}
