// Package engine speaks the model engines' HTTP protocol. Nothing outside this
// package knows its format.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	completionsPath = "/v1/chat/completions"
	streamsPath     = "/v1/streams/"
	kvPath          = "/v1/kv/"
	requestIDHeader = "X-Request-Id"
	lastEventHeader = "Last-Event-ID"

	dialTimeout   = 2 * time.Second
	maxIdleConns  = 256
	maxReplyBytes = 1 << 20
)

// Client reaches one engine. It is safe for use from several goroutines.
type Client struct {
	baseURL string
	pooled  *http.Client
	// unpooled carries requests that must not run twice, each on a connection of its
	// own, so that none meets one that the engine has just closed.
	unpooled *http.Client
}

// New returns a client of the engine at a base URL.
func New(base string) *Client {
	return &Client{baseURL: strings.TrimRight(base, "/"), pooled: newHTTPClient(false), unpooled: newHTTPClient(true)}
}

func newHTTPClient(once bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableKeepAlives:   once,
			DisableCompression:  true,
		},
		// Following a redirect would send again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Header is one header line of a request or an answer.
type Header struct {
	// Name and Value as sent.
	Name, Value string
}

// Request is one request for a completion.
type Request struct {
	// ID names it at the engine.
	ID string
	// Path with the query; empty = the chat completions.
	Path string
	// Headers are passed on.
	Headers []Header
	// Body is the JSON body.
	Body []byte
}

// Answer is the engine's answer: its events when Stream is set, its body otherwise.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the answer's headers.
	Header http.Header
	// Stream tells server-sent events from a plain body.
	Stream bool

	body   io.ReadCloser
	events *eventReader
}

// NotSentError says that a request never reached the engine.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// UnknownStreamError says that the engine does not know the stream.
type UnknownStreamError struct{ id string }

// Error implements error.
func (e *UnknownStreamError) Error() string { return "engine does not know stream " + e.id }

// AnswerMismatchError says that the engine answered with another request's answer.
type AnswerMismatchError struct{ want, got string }

// Error implements error.
func (e *AnswerMismatchError) Error() string { return "answer to " + e.got + " came for " + e.want }

// Start hands a request to the engine. It is sent once; a NotSentError says
// that it never arrived, any other error leaves that open.
func (c *Client) Start(ctx context.Context, r Request) (*Answer, error) {
	path := r.Path
	if path == "" {
		path = completionsPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	// Without GetBody the transport cannot send the request again by itself.
	req.GetBody = nil
	for _, h := range r.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	if req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set(requestIDHeader, r.ID)
	answer, err := c.send(c.unpooled, req, r.ID)
	if isDialError(err) {
		return nil, &NotSentError{cause: err}
	}
	return answer, err
}

// Resume reads a stream's events after the last one seen; last below 0 means from the start.
func (c *Client) Resume(ctx context.Context, id string, last int64) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+streamsPath+url.PathEscape(id), nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if last >= 0 {
		req.Header.Set(lastEventHeader, strconv.FormatInt(last, 10))
	}
	answer, err := c.send(c.pooled, req, id)
	if err != nil {
		return nil, err
	}
	switch {
	case answer.Status == http.StatusNotFound:
		answer.Close()
		return nil, errors.WithStack(&UnknownStreamError{id: id})
	case answer.Status != http.StatusOK:
		answer.Close()
		return nil, errors.Errorf("resume: engine answered status %d", answer.Status)
	}
	return answer, nil
}

func (c *Client) send(client *http.Client, req *http.Request, id string) (*Answer, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if got := resp.Header.Get(requestIDHeader); got != "" && got != id {
		resp.Body.Close()
		return nil, errors.WithStack(&AnswerMismatchError{want: id, got: got})
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, body: resp.Body}
	answer.Stream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	answer.events = newEventReader(resp.Body)
	return answer, nil
}

// Next returns the next event of a stream. io.EOF means that the connection
// ended between two events, which is no sign that the answer is whole.
func (a *Answer) Next() (Event, error) {
	return a.events.next()
}

// Body reads a plain body whole, at most limit bytes of it.
func (a *Answer) Body(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("answer is longer than %d bytes", limit)
	}
	return data, nil
}

// Close ends the reading.
func (a *Answer) Close() {
	a.body.Close()
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// call sends a control call and decodes its JSON reply into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, body, out any) (int, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, errors.WithStack(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	if out == nil || resp.StatusCode/100 != 2 {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, errors.Wrapf(json.Unmarshal(data, out), "%s %s", method, path)
}
