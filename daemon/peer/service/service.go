// Package service is an HTTP client for plain services, with any method, path and body.
// It sends each request once and never retries.
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

// Header is a header field of a request.
type Header struct {
	// Name and Value of the field, as they are sent.
	Name, Value string
}

// Request is a request to a service.
type Request struct {
	// ID is sent as X-Request-Id; empty = none.
	ID string
	// Method and Path are as the caller sent them; Path includes the query.
	Method, Path string
	// Headers are sent with the request, without those that apply to one connection
	// only.
	Headers []Header
	// IdempotencyKey is sent as Idempotency-Key; empty = none.
	IdempotencyKey string
	// NonIdempotent marks a request that must not run twice. It is sent over a new
	// connection, because a pooled one may be one that the service has just closed.
	NonIdempotent bool
	// Body is the body of the request; nil = none.
	Body io.Reader
	// Length is the length of the body in bytes; negative = unknown.
	Length int64
}

// Answer is the answer of a service. Its Body must be closed.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header is the header of the answer, without the fields that apply to one connection only.
	Header http.Header
	// Body is the body of the answer. A read error other than io.EOF means that it is incomplete.
	Body io.ReadCloser
}

// NotSentError means that no byte of a request reached the service, so that it was not run.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Client is a client of one service. It is safe for concurrent use.
type Client struct {
	baseURL  string
	pooled   *http.Client
	unpooled *http.Client // uses a new connection for each request
}

// New returns a client of the service at a base URL.
func New(baseURL string) *Client {
	return &Client{
		baseURL:  strings.TrimRight(baseURL, "/"),
		pooled:   newHTTPClient(false),
		unpooled: newHTTPClient(true),
	}
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
		// Redirects are left to the caller: following one would send the request a second
		// time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// noRetryBody keeps the HTTP transport from retrying a request: a body of this type has
// no GetBody, and the transport cannot tell that it is empty. Otherwise it would retry a
// request with an Idempotency-Key and no body over a new connection.
type noRetryBody struct{ io.Reader }

// Close implements io.Closer.
func (noRetryBody) Close() error { return nil }

// Do sends a request. After a NotSentError the request has not reached the service;
// after any other error it may have.
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

// newRequest builds the HTTP request.
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

// hopByHopHeaders lists the header fields that apply to one connection only (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// dropHopByHop removes the header fields that apply to one connection only, including
// those that the Connection field names.
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
