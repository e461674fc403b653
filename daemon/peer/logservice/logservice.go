// Package logservice is an HTTP client of the platform's append-only log service. No
// other package knows the service's paths and bodies.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultTimeout is the timeout of one call, to which a read adds its long-poll wait.
	DefaultTimeout = 5 * time.Second
	// DefaultLimit is the number of records per read when the caller gives none.
	DefaultLimit = 500
	// maxResponseBytes is the largest response body that is read into memory.
	maxResponseBytes = 64 << 20
)

var (
	// ErrUnavailable means for an append that the record was not added: the service
	// refused the call or the connection could not be established. Every error of a
	// read wraps it.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrUnknownOutcome means that an append was sent and its answer was lost: the
	// record may be in the stream once, several times or not at all.
	ErrUnknownOutcome = errors.New("log append outcome unknown")
)

// Record is one record of a stream.
type Record struct {
	// Offset is the record's position in the stream.
	Offset int64 `json:"offset"`
	// TimeMS is the time of the append by the service's clock, in milliseconds.
	TimeMS int64 `json:"time_ms"`
	// Data is the record's body.
	Data []byte `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// Earliest is the lowest offset that the service still holds.
	Earliest int64 `json:"earliest"`
	// Next is the offset to read from next.
	Next int64 `json:"next"`
	// NowMS is the time of the answer by the service's clock, in milliseconds.
	NowMS int64 `json:"now_ms"`
	// Records are in order of their offsets; there may be none.
	Records []Record `json:"records"`
}

// Options configures a Client. Zero values take their defaults.
type Options struct {
	// Timeout is the timeout of one call, to which a read adds its long-poll wait.
	Timeout time.Duration
	// HTTP is the HTTP client to use; nil = a new one.
	HTTP *http.Client
}

// Client calls one log service. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

// New returns a client for the service at a base URL such as http://127.0.0.1:9000.
func New(baseURL string, opts Options) *Client {
	c := &Client{baseURL: strings.TrimRight(baseURL, "/"), timeout: opts.Timeout, http: opts.HTTP}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
	}
	return c
}

// Append adds one record to a stream and returns its offset. An error wraps
// ErrUnavailable if the record was not added, and ErrUnknownOutcome if it may
// have been.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	// Without GetBody the transport cannot retry the append on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	answer, err := c.http.Do(req)
	if err != nil {
		return 0, appendError(err)
	}
	defer answer.Body.Close()
	return readOffset(answer)
}

// readOffset reads the answer to an append. Statuses 503 and 4xx prove that the record
// was not added; any other failure leaves the outcome unknown.
func readOffset(answer *http.Response) (int64, error) {
	switch {
	case answer.StatusCode == http.StatusServiceUnavailable, answer.StatusCode == http.StatusTooManyRequests:
		return 0, errors.Wrap(ErrUnavailable, answer.Status)
	case answer.StatusCode >= 400 && answer.StatusCode < 500:
		return 0, errors.Wrap(ErrUnavailable, answer.Status)
	case answer.StatusCode != http.StatusOK:
		return 0, errors.Wrap(ErrUnknownOutcome, answer.Status)
	}
	var body struct {
		Offset *int64 `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes)).Decode(&body); err != nil {
		return 0, errors.Wrap(ErrUnknownOutcome, err.Error())
	}
	if body.Offset == nil {
		return 0, errors.Wrap(ErrUnknownOutcome, "answer without an offset")
	}
	return *body.Offset, nil
}

// Read returns up to limit records from an offset on and waits up to wait for the
// first one. If the page's Earliest is above the requested offset, the service no
// longer holds the records in between. An error wraps ErrUnavailable.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	if limit <= 0 {
		limit = DefaultLimit
	}
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	answer, err := c.http.Do(req)
	if err != nil {
		return Page{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return Page{}, errors.Wrap(ErrUnavailable, answer.Status)
	}
	var page Page
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes)).Decode(&page); err != nil {
		return Page{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return page, nil
}

// recordsURL returns the URL at which the records of a stream are appended and read.
func (c *Client) recordsURL(stream string) string {
	return fmt.Sprintf("%s/v1/streams/%s/records", c.baseURL, url.PathEscape(stream))
}
