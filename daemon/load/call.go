package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Result is what became of one request. Times are on the plan's scale.
type Result struct {
	// Request is the index in the plan.
	Request int
	// Attempts is how often the caller asked.
	Attempts int
	// Status is the last HTTP status; 0 = none came.
	Status int
	// Outcome is the last refusal's machine-readable outcome.
	Outcome string
	// Whole tells that the complete answer to this very request came.
	Whole bool
	// Foreign tells that part of another answer was seen.
	Foreign bool
	// Tokens counts those that arrived.
	Tokens int
	// FirstToken and Total are counted from the first asking.
	FirstToken time.Duration
	Total      time.Duration
	// MeanInterval and MaxInterval are times between tokens.
	MeanInterval time.Duration
	MaxInterval  time.Duration
}

// Target is where a plan is sent.
type Target struct {
	// URLs are base URLs, used in turn.
	URLs []string
	// Client sends the requests; nil = one made for the run.
	Client *http.Client
	// Scale divides all of the plan's times; 0 = 1.
	Scale float64
	// ChooseIDs sends a request ID of the caller's own with each request.
	ChooseIDs bool
}

func (t Target) toRunTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / t.Scale)
}

func (t Target) toPlanTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.Scale)
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// call is one request on its way.
type call struct {
	target      Target
	mix         Mix
	request     Request
	index       int
	start       time.Time
	result      Result
	lastTokenAt time.Time
	retryAfter  time.Duration // asked by the last refusal
}

// run asks until the answer is whole, the retries are spent or the deadline has passed.
func (c *call) run(ctx context.Context) Result {
	c.start = time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.start.Add(c.target.toRunTime(c.request.Class.Deadline)))
	defer cancel()
	for {
		c.result.Attempts++
		c.attempt(ctx)
		if c.result.Whole || ctx.Err() != nil || c.result.Attempts > c.mix.Retries {
			break
		}
		c.waitBeforeRetry(ctx)
	}
	c.result.Request = c.index
	c.result.Total = c.target.toPlanTime(time.Since(c.start))
	return c.result
}

func (c *call) waitBeforeRetry(ctx context.Context) {
	wait := 20 * time.Millisecond
	if c.mix.HonourRetryAfter && c.retryAfter > 0 {
		wait = c.retryAfter
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt asks once.
func (c *call) attempt(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	impatience := c.startPatienceTimer(cancel)
	defer impatience.Stop()
	req, err := c.newRequest(ctx)
	if err != nil {
		return
	}
	resp, err := c.target.Client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	c.result.Status = resp.StatusCode
	if c.request.Class.Service != "" {
		_, err := io.Copy(io.Discard, resp.Body)
		c.result.Whole = err == nil && resp.StatusCode < 300
		return
	}
	if resp.StatusCode != http.StatusOK {
		c.recordRefusal(resp)
		return
	}
	c.read(resp.Body, impatience)
}

func (c *call) startPatienceTimer(giveUp func()) *time.Timer {
	if c.mix.Patience <= 0 {
		return time.AfterFunc(time.Hour, func() {})
	}
	return time.AfterFunc(c.target.toRunTime(c.mix.Patience), giveUp)
}

func (c *call) recordRefusal(resp *http.Response) {
	c.result.Outcome = resp.Header.Get("X-Outcome")
	_, _ = io.Copy(io.Discard, resp.Body)
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		c.retryAfter = c.target.toRunTime(time.Duration(seconds) * time.Second)
	}
}

func (c *call) newRequest(ctx context.Context) (*http.Request, error) {
	// A further attempt goes to the next address, as a balancer would send it.
	turn := c.index + c.result.Attempts - 1
	base := c.target.URLs[turn%len(c.target.URLs)]
	path, body := "/v1/chat/completions", []byte(nil)
	if c.request.Class.Service != "" {
		path = "/services/" + c.request.Class.Service + "/bookings"
		body = []byte(`{"booking":"` + c.request.Digest + `"}`)
	} else {
		body, _ = json.Marshal(chatBody{
			Model: c.mix.Model, Stream: true, MaxTokens: c.request.MaxTokens,
			Messages: []chatMessage{{Role: "user", Content: c.request.Prompt}},
		})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.request.Key)
	req.Header.Set("X-Tier", c.request.Class.Tier)
	if c.target.ChooseIDs {
		req.Header.Set("X-Request-Id", "load-"+c.request.Digest)
	}
	if c.request.Class.Service != "" {
		req.Header.Set("Idempotency-Key", c.request.Digest)
	}
	left := c.target.toRunTime(c.request.Class.Deadline) - time.Since(c.start)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	return req, nil
}

var (
	dataField    = []byte("data: ")
	contentField = []byte(`"content":"`)
)

// read takes an answer's events and checks that each belongs to this request.
func (c *call) read(body io.Reader, impatience *time.Timer) {
	c.result.Tokens = 0
	var sum time.Duration
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			c.result.Whole = c.result.Tokens == c.request.MaxTokens && !c.result.Foreign
			return
		}
		at := bytes.Index(data, contentField)
		if at < 0 {
			continue
		}
		impatience.Stop()
		c.recordToken(data[at+len(contentField):], &sum)
	}
}

func (c *call) recordToken(text []byte, sum *time.Duration) {
	now := time.Now()
	c.result.Tokens++
	want := fmt.Sprintf(":%s:%d ", c.request.Digest, c.result.Tokens)
	end := bytes.IndexByte(text, '"')
	if end < 0 || !bytes.HasSuffix(text[:end], []byte(want)) {
		c.result.Foreign = true
	}
	if c.result.Tokens == 1 {
		c.result.FirstToken = c.target.toPlanTime(now.Sub(c.start))
		c.lastTokenAt = now
		return
	}
	gap := c.target.toPlanTime(now.Sub(c.lastTokenAt))
	c.lastTokenAt = now
	*sum += gap
	c.result.MaxInterval = max(c.result.MaxInterval, gap)
	c.result.MeanInterval = *sum / time.Duration(c.result.Tokens-1)
}
