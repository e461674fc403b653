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

// Result is the outcome of one request. Its times are in the time of the plan,
// before Target.Scale is applied.
type Result struct {
	// Request is the request's index in the plan.
	Request int
	// Attempts is how often the request was sent.
	Attempts int
	// Status is the last HTTP status received; 0 = none.
	Status int
	// Outcome is the X-Outcome header of the last refusal.
	Outcome string
	// Whole is true if the complete answer to this request arrived.
	Whole bool
	// Foreign is true if part of the answer to another request arrived.
	Foreign bool
	// Tokens counts the tokens of the last answer, whether whole or not.
	Tokens int
	// FirstToken and Total are measured from the start of the first attempt.
	FirstToken time.Duration
	Total      time.Duration
	// MeanInterval and MaxInterval are times between consecutive tokens.
	MeanInterval time.Duration
	MaxInterval  time.Duration
}

// Target is where and how a plan is sent.
type Target struct {
	// URLs are base URLs, used in rotation.
	URLs []string
	// Client sends the requests; nil = a client of this run alone.
	Client *http.Client
	// Scale divides all times of the plan, so that 2 runs it twice as fast; 0 = 1.
	Scale float64
	// ChooseIDs makes the client send its own request ID with each request.
	ChooseIDs bool
}

// toRunTime converts a duration of the plan to one of the run.
func (t Target) toRunTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / t.Scale)
}

// toPlanTime converts a duration of the run to one of the plan.
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

// call is a request of the plan with its attempts.
type call struct {
	target      Target
	mix         Mix
	request     Request
	index       int
	start       time.Time
	result      Result
	lastTokenAt time.Time
	retryAfter  time.Duration // of the last refusal that had the header, in the time of the run
}

// run sends the request until the answer is whole, the retries are used up or the
// deadline has passed.
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

// waitBeforeRetry waits as long as the last refusal asked if the mix honours that,
// else 20ms.
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

// attempt sends the request once and reads the answer.
func (c *call) attempt(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patienceTimer := c.startPatienceTimer(cancel)
	defer patienceTimer.Stop()
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
	c.read(resp.Body, patienceTimer)
}

// startPatienceTimer starts the timer that calls giveUp after the mix's Patience.
// Without a limit the timer does nothing.
func (c *call) startPatienceTimer(giveUp func()) *time.Timer {
	if c.mix.Patience <= 0 {
		return time.AfterFunc(time.Hour, func() {})
	}
	return time.AfterFunc(c.target.toRunTime(c.mix.Patience), giveUp)
}

// recordRefusal keeps the outcome and the Retry-After time of a refusal.
func (c *call) recordRefusal(resp *http.Response) {
	c.result.Outcome = resp.Header.Get("X-Outcome")
	_, _ = io.Copy(io.Discard, resp.Body)
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		c.retryAfter = c.target.toRunTime(time.Duration(seconds) * time.Second)
	}
}

func (c *call) newRequest(ctx context.Context) (*http.Request, error) {
	// Each retry goes to the next address, as a load balancer would send it.
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
	remaining := c.target.toRunTime(c.request.Class.Deadline) - time.Since(c.start)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	return req, nil
}

var (
	dataField    = []byte("data: ")
	contentField = []byte(`"content":"`)
)

// read reads the events of an answer and checks by the digest in each token that it
// belongs to this request.
func (c *call) read(body io.Reader, patienceTimer *time.Timer) {
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
		patienceTimer.Stop()
		c.recordToken(data[at+len(contentField):], &sum)
	}
}

// recordToken counts a token, checks its text and measures the time since the token before.
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
	interval := c.target.toPlanTime(now.Sub(c.lastTokenAt))
	c.lastTokenAt = now
	*sum += interval
	c.result.MaxInterval = max(c.result.MaxInterval, interval)
	c.result.MeanInterval = *sum / time.Duration(c.result.Tokens-1)
}
