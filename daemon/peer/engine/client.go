// Package engine is the client of the model engines' HTTP API: completions, their
// streams of events, and control calls. The format of the API is confined to this
// package.
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
	maxReplyBytes = 1 << 20 // of a reply to a control call
)

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	baseURL string
	pooled  *http.Client
	// unpooled sends requests that must not run twice, each over a new connection: a
	// pooled connection may be one that the engine has just closed.
	unpooled *http.Client
}

// New returns a client of the engine at a base URL.
func New(baseURL string) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), pooled: newHTTPClient(false), unpooled: newHTTPClient(true)}
}

// newHTTPClient returns a client that follows no redirects and, if unpooled is set, uses
// a new connection for each request.
func newHTTPClient(unpooled bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableKeepAlives:   unpooled,
			DisableCompression:  true,
		},
		// Following a redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Header is a header field of a request.
type Header struct {
	// Name and Value of the field, as they are sent.
	Name, Value string
}

// Request is a request for a completion.
type Request struct {
	// ID is the request ID, by which the engine also identifies the stream.
	ID string
	// Path is the path and the query; empty = the path of chat completions.
	Path string
	// Headers are sent with the request.
	Headers []Header
	// Body is the JSON body.
	Body []byte
}

// Answer is the engine's answer. It is read with Next if Stream is set and with Body
// otherwise, and must be closed.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header is the header of the answer.
	Header http.Header
	// Stream is set if the body consists of server-sent events.
	Stream bool

	body   io.ReadCloser
	events *eventReader
}

// NotSentError means that a request did not reach the engine, and so was not run.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// UnknownStreamError means that the engine has no stream with the ID.
type UnknownStreamError struct{ id string }

// Error implements error.
func (e *UnknownStreamError) Error() string { return "engine does not know stream " + e.id }

// AnswerMismatchError means that the engine sent the answer to another request.
type AnswerMismatchError struct{ want, got string }

// Error implements error.
func (e *AnswerMismatchError) Error() string { return "answer to " + e.got + " came for " + e.want }

// Start sends a request to the engine, once. After a NotSentError the request has not
// reached the engine; after any other error it may have.
func (c *Client) Start(ctx context.Context, r Request) (*Answer, error) {
	path := r.Path
	if path == "" {
		path = completionsPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	// Without GetBody the transport cannot retry the request on its own.
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

// Resume requests the events of a stream that follow the event with the ID last, or all
// events if last is negative. It returns an UnknownStreamError if the engine does not
// know the stream.
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

// send sends a request and checks that the answer, if it carries a request ID, belongs
// to it.
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

// Next returns the next event of a stream. io.EOF means that the body ended between two
// events. The answer may still be incomplete: see Event.Done.
func (a *Answer) Next() (Event, error) {
	return a.events.next()
}

// Body reads a body that is not a stream. It returns an error if the body is longer than
// limit bytes.
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

// Close closes the body of the answer.
func (a *Answer) Close() {
	a.body.Close()
}

// isDialError reports whether no connection could be established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// call makes a control call and returns the status of the reply. It decodes the JSON body
// of a successful reply into out, unless out is nil.
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
