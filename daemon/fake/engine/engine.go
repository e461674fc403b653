// Package engine is a stand-in for a model engine. It batches continuously in
// time, keeps a prefix cache of limited memory, streams server-sent events, and
// records what it really executed, so that tests and the bench can judge
// the system by it. Contents are deterministic and name their request.
package engine

import (
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Defaults for options left at zero.
const (
	defaultMaxBatch     = 16
	defaultKVTokens     = 1 << 20
	defaultCacheTokens  = 1 << 18
	defaultPrefillChunk = 128
	defaultRetained     = 4096
	defaultMaxTokens    = 16
)

// Options describe one engine. With no times set it answers without delay.
type Options struct {
	// Model is the name the engine serves; default "model".
	Model string
	// PrefillPerSecond is the speed of prefill in tokens; 0 = instant.
	PrefillPerSecond float64
	// PrefillChunk bounds the prompt tokens computed in one step.
	PrefillChunk int
	// StepBase is the time of a decode step, whatever the batch.
	StepBase time.Duration
	// StepPerRun is added to a step for each run in the batch.
	StepPerRun time.Duration
	// MaxBatch bounds the runs in the batch; others wait in order of arrival.
	MaxBatch int
	// KVTokens is the memory for running requests, in tokens.
	KVTokens int
	// CacheTokens is the memory of the prefix cache, in tokens.
	CacheTokens int
	// LoadLag is how old the load report is.
	LoadLag time.Duration
	// CacheEventLag is how late cache events are published.
	CacheEventLag time.Duration
	// CacheEventLoss is the probability that a cache event is never published.
	CacheEventLoss float64
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// NoKVExport makes the engine refuse to export KV cache.
	NoKVExport bool
	// Directory is told of the cached blocks of several engines; may be nil.
	Directory *Directory
	// Retained bounds the ended streams kept for resuming.
	Retained int
	// Seed decides which cache events are lost.
	Seed int64
}

func (o Options) withDefaults() Options {
	if o.Model == "" {
		o.Model = "model"
	}
	setDefault(&o.PrefillChunk, defaultPrefillChunk)
	setDefault(&o.MaxBatch, defaultMaxBatch)
	setDefault(&o.KVTokens, defaultKVTokens)
	setDefault(&o.CacheTokens, defaultCacheTokens)
	setDefault(&o.Retained, defaultRetained)
	return o
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Engine is one stand-in. It is an http.Handler.
type Engine struct {
	opts Options
	echo *echo.Echo

	mu              sync.Mutex
	faultsChanged   *sync.Cond
	stepLoopRunning bool
	active          []*run
	waiting         []*run
	streams         map[string]*run
	ended           []*run
	records         []*Record
	attempts        map[string]int
	kvUsed          int
	cache           *prefixCache
	eventLog        eventLog
	loadHistory     loadHistory
	faults          Faults
	faultsApplied   int
	newestFence     int64
	orders          []Order
	rng             *rand.Rand
	stepEndsAt      time.Time
}

// New returns an idle engine.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:     opts,
		streams:  make(map[string]*run),
		attempts: make(map[string]int),
		rng:      rand.New(rand.NewSource(opts.Seed)),
	}
	e.faultsChanged = sync.NewCond(&e.mu)
	e.cache = newPrefixCache(opts.CacheTokens, e.cacheChanged)
	e.echo = e.routes()
	return e
}

// ServeHTTP serves the engine's protocol and its control paths.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.echo.ServeHTTP(w, r)
}

// enqueue admits a run in order of arrival and starts the step loop. The lock is held.
func (e *Engine) enqueue(r *run) {
	e.waiting = append(e.waiting, r)
	e.recordLoad()
	if !e.stepLoopRunning {
		e.stepLoopRunning = true
		e.stepEndsAt = time.Now()
		go e.runSteps()
	}
}

// runSteps makes steps until nothing is left to run.
func (e *Engine) runSteps() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		for e.faults.Hang {
			e.faultsChanged.Wait()
			e.stepEndsAt = time.Now()
		}
		e.removeStopped()
		e.admit()
		if len(e.active) == 0 {
			e.stepLoopRunning = false
			return
		}
		e.waitForStepEnd(e.planStep())
		e.finishStep()
	}
}

// removeStopped drops what was cancelled or suspended during the last step.
func (e *Engine) removeStopped() {
	kept := e.active[:0:0]
	for _, r := range e.active {
		if r.state == stateRunning {
			kept = append(kept, r)
		}
	}
	e.active = kept
}

// admit moves waiting runs into the batch while there is room. Nothing overtakes.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.active) < e.opts.MaxBatch {
		r := e.waiting[0]
		if e.kvUsed > 0 && e.kvUsed+r.kvReservation() > e.opts.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.kvUsed += r.kvReservation()
		e.active = append(e.active, r)
		if !r.admitted {
			e.matchPrefix(r)
		}
	}
	e.recordLoad()
}

// matchPrefix takes the cached part of the prompt off the run's prefill.
func (e *Engine) matchPrefix(r *run) {
	r.admitted = true
	r.rec.Admitted = time.Now()
	blocks := e.cache.match(r.blocks)
	r.rec.Cached = min(blocks*BlockTokens, r.rec.Prompt)
	r.prefillLeft = r.rec.Prompt - r.rec.Cached
	if e.opts.Directory != nil {
		best := min(e.opts.Directory.longestPrefix(r.blocks)*BlockTokens, r.rec.Prompt)
		r.rec.HeldElsewhere = max(0, best-r.rec.Cached)
	}
}

// planStep shares the prefill of the next step among the batch and returns its time.
func (e *Engine) planStep() time.Duration {
	budget := e.opts.PrefillChunk
	prefill := 0
	for _, r := range e.active {
		r.stepPrefill = min(budget, r.prefillLeft)
		budget -= r.stepPrefill
		prefill += r.stepPrefill
	}
	d := e.opts.StepBase + time.Duration(len(e.active))*e.opts.StepPerRun
	if e.opts.PrefillPerSecond > 0 {
		d += time.Duration(float64(prefill) / e.opts.PrefillPerSecond * float64(time.Second))
	}
	if e.faults.Slow > 0 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	return d
}

// waitForStepEnd waits for the end of a step, without the lock. Steps keep to an
// absolute schedule, so that the timer's error does not add up.
func (e *Engine) waitForStepEnd(d time.Duration) {
	if d <= 0 {
		return
	}
	now := time.Now()
	e.stepEndsAt = e.stepEndsAt.Add(d)
	if e.stepEndsAt.Before(now.Add(-d)) {
		e.stepEndsAt = now
	}
	wait := e.stepEndsAt.Sub(now)
	e.mu.Unlock()
	time.Sleep(wait)
	e.mu.Lock()
}

// finishStep books the step's prefill and tokens.
func (e *Engine) finishStep() {
	batch := e.active
	e.active = nil
	for _, r := range batch {
		if r.state != stateRunning {
			continue
		}
		e.advance(r)
		if r.state == stateRunning {
			e.active = append(e.active, r)
		}
	}
}

// advance gives one run its part of a step.
func (e *Engine) advance(r *run) {
	if r.prefillLeft > 0 {
		r.prefillLeft -= r.stepPrefill
		r.rec.Computed += r.stepPrefill
		r.stepPrefill = 0
		if r.prefillLeft > 0 {
			return
		}
		e.cache.store(r.blocks)
	}
	if r.rec.Tokens == 0 {
		r.rec.FirstToken = time.Now()
	}
	r.rec.Tokens++
	if r.rec.Tokens >= r.maxTokens {
		e.end(r, stateEnded)
	}
	r.notifyReaders()
}

// end takes a run out of service for good. The lock is held.
func (e *Engine) end(r *run, state runState) {
	if r.state == stateRunning && r.admitted && !r.inQueue(e.waiting) {
		e.kvUsed -= r.kvReservation()
	}
	e.removeWaiting(r)
	r.state = state
	r.rec.End = time.Now()
	r.rec.State = state.String()
	if state != stateEnded {
		r.rec.Wasted = r.rec.Computed
	}
	e.ended = append(e.ended, r)
	if len(e.ended) > e.opts.Retained {
		oldest := e.ended[0]
		e.ended = e.ended[1:]
		if e.streams[oldest.rec.RequestID] == oldest {
			delete(e.streams, oldest.rec.RequestID)
		}
	}
	e.recordLoad()
	r.notifyReaders()
}

func (e *Engine) removeWaiting(r *run) {
	for i, w := range e.waiting {
		if w == r {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
}
