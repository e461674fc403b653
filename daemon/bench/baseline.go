package bench

import (
	"bytes"
	"context"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"primrosespoke.dev/daemon/fake/engine"
)

// chooser picks an engine for the next request. It is called with the router's lock held.
type chooser func(r *router) *poolEngine

// router is a baseline. It chooses an engine for each request when the request arrives.
type router struct {
	pool   *pool
	choose chooser
	queued bool // queue first come first served in front of each engine, which gets at most maxBatch runs
	client *http.Client
	lastID atomic.Int64

	mu        sync.Mutex
	rng       *rand.Rand
	lastIndex int // of roundRobin, modulo the number of engines
	queues    map[*poolEngine]*queue
}

// queue counts the requests that run in an engine, and holds those that wait for it in
// order of arrival.
type queue struct {
	running int
	waiting []chan struct{}
}

func newRouter(p *pool, choose chooser, queued bool, seed int64) *router {
	r := &router{
		pool: p, choose: choose, queued: queued,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * maxBatch}},
		rng:    rand.New(rand.NewSource(seed)),
		queues: map[*poolEngine]*queue{},
	}
	for _, e := range p.engines {
		r.queues[e] = &queue{}
	}
	return r
}

func roundRobin(r *router) *poolEngine {
	for range r.pool.engines {
		r.lastIndex++
		e := r.pool.engines[r.lastIndex%len(r.pool.engines)]
		if !e.failed.Load() {
			return e
		}
	}
	return r.pool.engines[0]
}

func randomChoice(r *router) *poolEngine {
	for {
		e := r.pool.engines[r.rng.Intn(len(r.pool.engines))]
		if !e.failed.Load() {
			return e
		}
	}
}

// leastLoaded picks the engine with the fewest requests by its reported load, which
// lags behind.
func leastLoaded(r *router) *poolEngine {
	return r.pickLowest(r.pool.engines, func(e *poolEngine) int { return reportedRequests(e.engine.ReportedLoad()) })
}

func reportedRequests(l engine.Load) int {
	return l.Running + l.Waiting
}

// twoChoices picks two random engines and takes the one with fewer requests by the
// router's own counts, which don't lag.
func twoChoices(r *router) *poolEngine {
	pair := []*poolEngine{randomChoice(r), randomChoice(r)}
	return r.pickLowest(pair, func(e *poolEngine) int {
		q := r.queues[e]
		return q.running + len(q.waiting)
	})
}

// pickLowest picks one of the engines with the lowest load, at random.
func (r *router) pickLowest(from []*poolEngine, load func(*poolEngine) int) *poolEngine {
	var best []*poolEngine
	lowest := 0
	for _, e := range from {
		if e.failed.Load() {
			continue
		}
		n := load(e)
		if len(best) == 0 || n < lowest {
			best, lowest = nil, n
		}
		if n == lowest {
			best = append(best, e)
		}
	}
	return best[r.rng.Intn(len(best))]
}

// ServeHTTP forwards a request to an engine and copies its answer.
func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	ctx, cancel := withDeadline(req)
	defer cancel()
	e, admitted := r.admit(ctx)
	if !admitted {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.release(e)
	r.forward(ctx, w, e, body)
}

func withDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(req.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(ms)*time.Millisecond)
}

// admit chooses an engine and, if requests queue, waits for its turn there. It returns
// false if the context ends first.
func (r *router) admit(ctx context.Context) (*poolEngine, bool) {
	r.mu.Lock()
	e := r.choose(r)
	q := r.queues[e]
	if !r.queued || q.running < maxBatch {
		q.running++
		r.mu.Unlock()
		return e, true
	}
	turn := make(chan struct{})
	q.waiting = append(q.waiting, turn)
	r.mu.Unlock()
	select {
	case <-turn:
		return e, true
	case <-ctx.Done():
		return e, r.leaveQueue(q, turn)
	}
}

// leaveQueue takes a waiting request out of its queue. It returns true if the request
// was admitted before that.
func (r *router) leaveQueue(q *queue, turn chan struct{}) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, t := range q.waiting {
		if t == turn {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// release frees the request's capacity at the engine, or passes it to the next in the queue.
func (r *router) release(e *poolEngine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[e]
	if r.queued && len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		return
	}
	q.running--
}

func (r *router) forward(ctx context.Context, w http.ResponseWriter, e *poolEngine, body []byte) {
	id := "baseline-" + strconv.FormatInt(r.lastID.Add(1), 10)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.url()+"/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", id)
	resp, err := r.client.Do(req)
	if err != nil {
		r.cancelRun(e, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	if !copyFlushing(w, resp.Body) {
		r.cancelRun(e, id)
		panic(http.ErrAbortHandler)
	}
}

// cancelRun cancels a run in the engine when its caller has disconnected or the engine
// gave no whole answer.
func (r *router) cancelRun(e *poolEngine, id string) {
	req, _ := http.NewRequest(http.MethodDelete, e.url()+"/v1/streams/"+id, nil)
	if resp, err := r.client.Do(req); err == nil {
		resp.Body.Close()
	}
}

// copyFlushing copies a body and flushes after each read. It returns false if the body
// was not copied whole.
func copyFlushing(w http.ResponseWriter, from io.Reader) bool {
	out := http.NewResponseController(w)
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return false
			}
			_ = out.Flush()
		}
		if err != nil {
			return err == io.EOF
		}
	}
}
