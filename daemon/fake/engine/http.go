package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"primrosespoke.dev/daemon/fake/internal/path"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// prompt returns the contents of all messages, joined without a separator.
func (r chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

type stateReply struct {
	State     string `json:"state"`
	Prefill   int    `json:"prefill_tokens"`
	Generated int    `json:"generated_tokens"`
	KVTokens  int    `json:"kv_tokens,omitempty"`
}

type errorReply struct {
	Error string `json:"error"`
}

func (e *Engine) routes() *echo.Echo {
	r := echo.New()
	r.POST("/v1/chat/completions", e.complete)
	r.GET("/v1/streams/:id", e.resume)
	r.DELETE("/v1/streams/:id", e.cancel)
	r.POST("/v1/kv/:id/export", e.export)
	r.POST("/v1/kv/:id/import", e.importKV)
	r.GET("/v1/models", e.models)
	r.GET("/v1/load", func(c echo.Context) error { return c.JSON(http.StatusOK, e.ReportedLoad()) })
	r.GET("/v1/cache/events", e.getCacheEvents)
	r.POST("/v1/orders", e.order)
	r.GET("/control/records", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Records()) })
	r.POST("/control", e.control)
	return r
}

func (e *Engine) complete(c echo.Context) error {
	var req chatRequest
	if err := c.Bind(&req); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{"body is not a chat request"})
	}
	id := c.Request().Header.Get("X-Request-Id")
	if id == "" {
		return c.JSON(http.StatusBadRequest, errorReply{"X-Request-Id is missing"})
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	r, refused := e.start(id, req)
	if refused != 0 {
		return c.JSON(refused, errorReply{"refused"})
	}
	if req.Stream {
		return e.stream(c, r, 1)
	}
	return e.writeWhenEnded(c, r)
}

// start accepts a request and enqueues its run, or returns the HTTP status of a refusal.
func (e *Engine) start(id string, req chatRequest) (*run, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse != 0 {
		return nil, e.faults.Refuse
	}
	e.attempts[id]++
	r := newRun(id, req.prompt(), req.MaxTokens, e.attempts[id])
	e.records = append(e.records, r.rec)
	e.streams[id] = r
	e.enqueue(r)
	return r, 0
}

func (e *Engine) resume(c echo.Context) error {
	last, err := strconv.Atoi(c.Request().Header.Get("Last-Event-ID"))
	if err != nil {
		last = 0
	}
	e.mu.Lock()
	r, ok := e.streams[path.Param(c, "id")]
	ok = ok && r.state != stateLost
	shift := e.faults.ResumeShift
	e.mu.Unlock()
	if !ok {
		return c.JSON(http.StatusNotFound, errorReply{"no such stream"})
	}
	return e.stream(c, r, max(1, last+1+shift))
}

func (e *Engine) cancel(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.streams[path.Param(c, "id")]
	if !ok || r.state == stateLost {
		return c.JSON(http.StatusOK, stateReply{State: "unknown"})
	}
	if r.state == stateRunning || r.state == stateSuspended {
		e.end(r, stateCancelled)
		e.faultsChanged.Broadcast()
	}
	return c.JSON(http.StatusOK, r.reply())
}

func (r *run) reply() stateReply {
	return stateReply{
		State:     r.state.String(),
		Prefill:   r.rec.Computed,
		Generated: r.rec.Tokens,
	}
}

// export suspends a run: its KV cache leaves the engine's memory and is kept for
// a later import.
func (e *Engine) export(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.streams[path.Param(c, "id")]
	if !ok {
		return c.JSON(http.StatusNotFound, errorReply{"no such stream"})
	}
	if e.opts.NoKVExport {
		return c.JSON(http.StatusNotImplemented, errorReply{"no KV export here"})
	}
	if r.state != stateRunning {
		return c.JSON(http.StatusConflict, r.reply())
	}
	if r.admitted && !r.inQueue(e.waiting) {
		e.kvUsed -= r.kvReservation()
	}
	e.removeWaiting(r)
	r.state = stateSuspended
	r.rec.State = r.state.String()
	r.rec.Suspensions++
	e.recordLoad()
	r.notifyReaders()
	reply := r.reply()
	reply.KVTokens = r.rec.Prompt - r.prefillLeft + r.rec.Tokens
	return c.JSON(http.StatusOK, reply)
}

// importKV resumes a suspended run ahead of all waiting runs.
func (e *Engine) importKV(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.streams[path.Param(c, "id")]
	if !ok {
		return c.JSON(http.StatusNotFound, errorReply{"no such stream"})
	}
	if r.state != stateSuspended {
		return c.JSON(http.StatusConflict, r.reply())
	}
	for _, a := range e.active {
		if a == r {
			// The step in which the run was suspended has not ended yet, so the run
			// is still in the batch and continues.
			r.state = stateRunning
			r.rec.State = r.state.String()
			e.kvUsed += r.kvReservation()
			r.notifyReaders()
			return c.JSON(http.StatusOK, r.reply())
		}
	}
	r.state = stateRunning
	r.rec.State = r.state.String()
	e.enqueue(r)
	e.waiting = append([]*run{r}, e.waiting[:len(e.waiting)-1]...)
	r.notifyReaders()
	return c.JSON(http.StatusOK, r.reply())
}

type modelRow struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelsReply struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

func (e *Engine) models(c echo.Context) error {
	rows := []modelRow{{ID: e.opts.Model, Object: "model"}}
	return c.JSON(http.StatusOK, modelsReply{Object: "list", Data: rows})
}

func (e *Engine) getCacheEvents(c echo.Context) error {
	from, err := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	if err != nil {
		from = 0
	}
	return c.JSON(http.StatusOK, e.cacheEvents(from))
}

func (e *Engine) order(c echo.Context) error {
	var o Order
	if err := c.Bind(&o); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{"body is not an order"})
	}
	if !e.applyOrder(o) {
		return c.JSON(http.StatusConflict, errorReply{"old fence"})
	}
	return c.JSON(http.StatusOK, o)
}

func (e *Engine) control(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return c.JSON(http.StatusBadRequest, errorReply{"body is not a set of faults"})
	}
	e.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}
