// Package service speaks to plain services: any method, path and body. Each
// request is sent once; the package never repeats one.
package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"

	dialTimeout  = 2 * time.Second
	maxIdleConns = 256
)

// Header is one header line of a request.
type Header struct {
	// Name and Value as sent.
	Name, Value string
}

// Request is one request to a service.
type Request struct {
	// ID is passed on as X-Request-Id.
	ID string
	// Method and Path, with the query, as the caller sent them.
	Method, Path string
	// Headers are passed on but for those that concern one connection only.
	Headers []Header
	// IdempotencyKey is passed on when it is set.
	IdempotencyKey string
	// NonIdempotent marks a request that must not run twice. It gets a connection of its
	// own, so that it can't meet one that the service has just closed.
	NonIdempotent bool
	// Body is the request's body; nil = none.
	Body io.Reader
	// Length is the body's length in bytes; below 0 = unknown.
	Length int64
}

// Answer is a service's answer. The body must be closed.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the answer's headers, without those that concern one connection only.
	Header http.Header
	// Body streams the answer's body; an error other than io.EOF means that it is cut.
	Body io.ReadCloser
}

// NotSentError says that no byte of a request can have reached the service.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Client reaches one service. It is safe for concurrent use.
type Client struct {
	baseURL  string
	pooled   *http.Client
	unpooled *http.Client
}

// New returns a client of the service at a base URL.
func New(base string) *Client {
	return &Client{
		baseURL:  strings.TrimRight(base, "/"),
		pooled:   newHTTPClient(false),
		unpooled: newHTTPClient(true),
	}
}

func newHTTPClient(single bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableKeepAlives:   single,
			DisableCompression:  true,
		},
		// A redirect is the caller's to follow: following it would send again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// noRetryBody keeps the transport from sending a request again by itself: it has
// no GetBody, and hides that the body is empty. Without it a request that
// carries an Idempotency-Key and no body would be repeated on a new connection.
type noRetryBody struct{ io.Reader }

// Close implements io.Closer.
func (noRetryBody) Close() error { return nil }

// Do sends a request. A NotSentError says that it never reached the service;
// any other error leaves that open.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, errors.WithStack(&NotSentError{cause: err})
	}
	client := c.pooled
	if r.NonIdempotent {
		client = c.unpooled
	}
	answer, err := client.Do(req)
	switch {
	case err != nil && !connected.Load():
		return nil, errors.WithStack(&NotSentError{cause: err})
	case err != nil:
		return nil, errors.Wrap(err, "service")
	}
	dropHopByHop(answer.Header)
	return &Answer{Status: answer.StatusCode, Header: answer.Header, Body: answer.Body}, nil
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	body := r.Body
	if body == nil {
		body = strings.NewReader("")
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.baseURL+r.Path, noRetryBody{body})
	if err != nil {
		return nil, err
	}
	req.ContentLength = r.Length
	req.GetBody = nil
	for _, h := range r.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	dropHopByHop(req.Header)
	req.Header.Del("Host")
	req.Header.Del("Content-Length")
	if r.ID != "" {
		req.Header.Set(requestIDHeader, r.ID)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(idempotencyKeyHeader, r.IdempotencyKey)
	}
	return req, nil
}

// hopByHopHeaders lists the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func dropHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
