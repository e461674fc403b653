package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type cachedTokens struct {
	Cached int `json:"cached_tokens"`
}

type usage struct {
	Prompt     int          `json:"prompt_tokens"`
	Completion int          `json:"completion_tokens"`
	Total      int          `json:"total_tokens"`
	Details    cachedTokens `json:"prompt_tokens_details"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// created is the creation time in every answer, in seconds since the Unix epoch.
// It is constant so that answers are deterministic.
const created = 1700000000

// chunk returns event n of a run: a token or, after the last token, the finish
// reason and the usage.
func (e *Engine) chunk(r *run, n int) completion {
	out := completion{ID: r.rec.RequestID, Object: "chat.completion.chunk", Created: created, Model: e.opts.Model}
	if n <= r.maxTokens {
		out.Choices = []choice{{Delta: &delta{Content: r.tokenText(n)}}}
		return out
	}
	reason := "length"
	out.Choices = []choice{{Delta: &delta{}, FinishReason: &reason}}
	out.Usage = usageOf(r)
	return out
}

func usageOf(r *run) *usage {
	return &usage{
		Prompt:     r.rec.Prompt,
		Completion: r.rec.Tokens,
		Total:      r.rec.Prompt + r.rec.Tokens,
		Details:    cachedTokens{Cached: r.rec.Cached},
	}
}

// sendableEvents returns the number of the last event of a run that may be sent now.
// Events 1 to maxTokens are tokens; the finish reason and [DONE] follow.
func (e *Engine) sendableEvents(r *run) int {
	if r.state == stateEnded {
		return r.maxTokens + 2
	}
	return r.rec.Tokens
}

// stream writes a run's events, starting with number next, until the run is no
// longer running.
func (e *Engine) stream(c echo.Context, r *run, next int) error {
	w := c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.rec.RequestID)
	w.WriteHeader(http.StatusOK)
	w.Flush()
	sent := 0
	for {
		e.mu.Lock()
		upTo, state, changed := e.sendableEvents(r), r.state, r.changed
		cut, lose := e.applyStreamFaults(r, sent, &upTo, next)
		text := e.formatEvents(r, next, upTo)
		e.recordSent(r, upTo, len(text))
		e.mu.Unlock()
		if _, err := w.Write([]byte(text)); err != nil {
			return nil
		}
		w.Flush()
		sent += max(0, upTo-next+1)
		next = max(next, upTo+1)
		if cut {
			panic(http.ErrAbortHandler)
		}
		if lose || state != stateRunning {
			return nil
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// applyStreamFaults applies the faults that end a response: it lowers upTo to the
// last event to send, and returns whether the connection is then aborted or the
// run is lost.
func (e *Engine) applyStreamFaults(r *run, sent int, upTo *int, next int) (cut, lose bool) {
	if n := e.faults.CutAfter; n > 0 && sent+*upTo-next+1 >= n && e.consumeFault() {
		*upTo = next + n - sent - 1
		return true, false
	}
	if n := e.faults.EndEarly; n > 0 && *upTo >= n && next <= n && e.consumeFault() {
		*upTo = n
		if r.state == stateRunning {
			e.end(r, stateLost)
		}
		r.state = stateLost
		r.rec.State = r.state.String()
		r.rec.Wasted = r.rec.Computed
		return false, true
	}
	return false, false
}

// formatEvents returns the given range of a run's events as server-sent events.
func (e *Engine) formatEvents(r *run, from, upTo int) string {
	var b strings.Builder
	for n := from; n <= upTo; n++ {
		data := []byte("[DONE]")
		if n <= r.maxTokens+1 {
			data, _ = json.Marshal(e.chunk(r, n))
		}
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, data)
	}
	return b.String()
}

// recordSent counts what is about to be sent. The caller holds mu.
func (e *Engine) recordSent(r *run, upTo, bytes int) {
	r.rec.Delivered = max(r.rec.Delivered, min(upTo, r.maxTokens))
	r.rec.BytesSent += int64(bytes)
}

// writeWhenEnded waits until the run has ended and then answers with one JSON body.
func (e *Engine) writeWhenEnded(c echo.Context, r *run) error {
	for {
		e.mu.Lock()
		state, changed := r.state, r.changed
		e.mu.Unlock()
		switch state {
		case stateEnded:
			return e.writeCompletion(c, r)
		case stateCancelled:
			return c.JSON(http.StatusConflict, errorReply{"cancelled"})
		case stateLost:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (e *Engine) writeCompletion(c echo.Context, r *run) error {
	var b strings.Builder
	for n := 1; n <= r.maxTokens; n++ {
		b.WriteString(r.tokenText(n))
	}
	reason := "length"
	out := completion{ID: r.rec.RequestID, Object: "chat.completion", Created: created, Model: e.opts.Model}
	out.Choices = []choice{{Message: &message{Role: "assistant", Content: b.String()}, FinishReason: &reason}}
	e.mu.Lock()
	out.Usage = usageOf(r)
	body, _ := json.Marshal(out)
	e.recordSent(r, r.maxTokens, len(body))
	e.mu.Unlock()
	c.Response().Header().Set("X-Request-Id", r.rec.RequestID)
	return c.JSONBlob(http.StatusOK, body)
}
