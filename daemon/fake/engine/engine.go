// Package engine is a fake model engine for tests and benchmarks. It simulates
// continuous batching in real time and a prefix cache of limited size, streams
// server-sent events, and records what it executed, so that tests and benchmarks
// can check the system against it. Token texts are deterministic and contain the ID
// of their request.
package engine

import (
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Defaults for options and request fields left at zero.
const (
	defaultMaxBatch     = 16      // runs
	defaultKVTokens     = 1 << 20 // tokens
	defaultCacheTokens  = 1 << 18 // tokens
	defaultPrefillChunk = 128     // tokens a step
	defaultRetained     = 4096    // streams
	defaultMaxTokens    = 16      // tokens; for requests without max_tokens
)

// Options describes an engine. Without any durations or rates it answers without delay.
type Options struct {
	// Model is the name of the model that the engine serves; default "model".
	Model string
	// PrefillPerSecond is the speed of prefill in prompt tokens a second; 0 = instant.
	PrefillPerSecond float64
	// PrefillChunk bounds the prompt tokens computed in one step, over the whole batch.
	PrefillChunk int
	// StepBase is the duration of a step apart from its runs and its prefill.
	StepBase time.Duration
	// StepPerRun is added to a step for each run in the batch.
	StepPerRun time.Duration
	// MaxBatch bounds the runs in the batch; further runs wait in order of arrival.
	MaxBatch int
	// KVTokens is the KV memory for the runs in the batch, in tokens.
	KVTokens int
	// CacheTokens is the memory of the prefix cache, in tokens.
	CacheTokens int
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// CacheEventLag is the delay before a cache event becomes visible.
	CacheEventLag time.Duration
	// CacheEventLoss is the probability that a cache event is never published.
	CacheEventLoss float64
	// CheckFence makes the engine refuse orders with an outdated fencing number.
	CheckFence bool
	// NoKVExport makes the engine refuse to export the KV cache of a run.
	NoKVExport bool
	// Directory is told of the cached blocks of several engines; may be nil.
	Directory *Directory
	// Retained bounds the ended streams that can still be resumed.
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

// Engine is a fake model engine. It is an http.Handler.
type Engine struct {
	opts Options
	echo *echo.Echo

	mu              sync.Mutex
	faultsChanged   *sync.Cond // also signalled by cancellations
	stepLoopRunning bool
	active          []*run          // the batch
	waiting         []*run          // in order of arrival
	streams         map[string]*run // newest run of each request ID
	ended           []*run          // oldest first
	records         []*Record
	attempts        map[string]int // accepted POSTs of each request ID
	kvUsed          int            // tokens
	cache           *prefixCache
	eventLog        eventLog
	loadHistory     loadHistory
	faults          Faults
	faultsApplied   int // counted against Faults.Times
	newestFence     int64
	orders          []Order
	rng             *rand.Rand
	stepEndsAt      time.Time // scheduled end of the current or last step
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

// enqueue adds a run to the waiting runs and starts the step loop if it is not
// running. The caller holds mu.
func (e *Engine) enqueue(r *run) {
	e.waiting = append(e.waiting, r)
	e.recordLoad()
	if !e.stepLoopRunning {
		e.stepLoopRunning = true
		e.stepEndsAt = time.Now()
		go e.runSteps()
	}
}

// runSteps executes steps until no run is left.
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

// removeStopped removes runs that were cancelled or suspended during the last step
// from the batch.
func (e *Engine) removeStopped() {
	kept := e.active[:0:0]
	for _, r := range e.active {
		if r.state == stateRunning {
			kept = append(kept, r)
		}
	}
	e.active = kept
}

// admit moves waiting runs into the batch in order of arrival while there is room.
// A run that does not fit blocks those behind it.
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

// matchPrefix looks up the prompt in the prefix cache and takes the cached part off
// the run's prefill.
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

// planStep divides the prefill of the next step among the batch and returns the
// duration of the step.
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

// waitForStepEnd waits for the end of a step of duration d with mu released. Steps
// keep to an absolute schedule, so that timer errors do not add up; if the schedule
// is more than a step late, it starts again from the current time.
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

// finishStep applies the finished step to the runs of the batch.
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

// advance applies one step to a run: its share of the prefill and, once the prefill
// is complete, one token.
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

// end moves a run to a final state and frees its memory. It forgets the oldest ended
// stream when there are more than Options.Retained. The caller holds mu.
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
