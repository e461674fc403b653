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

type loadSample struct {
	at   time.Time
	load Load
}

// loadHistory keeps samples as far back as the lag needs.
type loadHistory struct {
	samples []loadSample
}

func (h *loadHistory) add(now time.Time, lag time.Duration, load Load) {
	h.samples = append(h.samples, loadSample{at: now, load: load})
	for len(h.samples) > 1 && !h.samples[1].at.After(now.Add(-lag)) {
		h.samples = h.samples[1:]
	}
}

// at returns the load as it was at a time.
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

// ReportedLoad returns what the engine reports now, its lag included.
func (e *Engine) ReportedLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loadHistory.at(time.Now().Add(-e.opts.LoadLag))
	load.KVTotal = e.opts.KVTokens
	return load
}

// CacheEvent tells that a block was stored in the prefix cache or evicted.
type CacheEvent struct {
	Seq   int64  `json:"seq"`
	Kind  string `json:"kind"` // stored or evicted
	Block string `json:"block"`
}

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

// maxCacheEvents bounds the cache events kept.
const maxCacheEvents = 1 << 16

type eventLog struct {
	nextSeq int64
	events  []timedEvent
}

// cacheChanged publishes a cache event, or loses it and leaves a gap.
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

// cacheEvents returns the events from a sequence number on that are old enough to be seen.
func (e *Engine) cacheEvents(from int64) cacheEventsReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := cacheEventsReply{Next: from, Events: []CacheEvent{}}
	visible := time.Now().Add(-e.opts.CacheEventLag)
	for _, d := range e.eventLog.events {
		if d.at.After(visible) {
			break
		}
		if d.event.Seq < from {
			continue
		}
		reply.Events = append(reply.Events, d.event)
		reply.Next = d.event.Seq + 1
	}
	return reply
}
