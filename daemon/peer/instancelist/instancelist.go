// Package instancelist reads the platform's list of live and leaving instances over
// HTTP and keeps a view of it current by polling.
package instancelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/membership"
)

// readTimeout bounds one read of the list.
const readTimeout = 5 * time.Second

// Client reads the list at one base URL. If the platform sends an ETag, later reads
// are conditional and an unchanged list is not transferred again.
type Client struct {
	url  string
	http *http.Client

	mu   sync.Mutex
	etag string
	rows []membership.Instance // the list that has this ETag
}

// New returns a client for the list at a base URL.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Timeout: readTimeout}}
}

// listResponse is the body of the platform's answer.
type listResponse struct {
	Instances []membership.Instance `json:"instances"`
}

// List reads the list once. A row without an ID or address makes the whole list an
// error, so that a list that is only half written never removes instances.
func (c *Client) List(ctx context.Context) ([]membership.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/v1/instances", nil)
	if err != nil {
		return nil, errors.Wrap(err, "instance list: create request")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "instance list: send request")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return c.decodeRows(resp)
	case http.StatusNotModified:
		return c.rows, nil
	default:
		return nil, errors.Errorf("instance list: status %d", resp.StatusCode)
	}
}

// decodeRows decodes a list and keeps it with its ETag. It reads the body to the end
// so that the connection can be reused.
func (c *Client) decodeRows(resp *http.Response) ([]membership.Instance, error) {
	var list listResponse
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "instance list: decode body")
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, errors.Wrap(err, "instance list: read body")
	}
	for _, i := range list.Instances {
		if i.ID == "" || i.Address == "" {
			return nil, errors.Errorf("instance list: row %q has no ID or no address", i.ID)
		}
	}
	c.etag = resp.Header.Get("ETag")
	c.rows = list.Instances
	return list.Instances, nil
}

// Poller keeps a view of the list current. While the list cannot be read, the last
// view remains in use.
type Poller struct {
	// Client reads the list.
	Client *Client
	// Interval is the time between reads.
	Interval time.Duration
	// Tolerance is the age of the view above which a failed read is logged as a warning
	// and not at debug level; 0 = ten intervals.
	Tolerance time.Duration
	// Log receives the poller's log lines.
	Log zerolog.Logger

	lastRead atomic.Int64         // time of the last successful read, Unix nanoseconds
	rowCount int                  // rows published last
	firstRow *membership.Instance // the first of them; the same pointer means the same list
}

// Run polls until ctx ends and calls publish, always from one goroutine, after each
// successful read unless the platform reports a list with rows as unchanged. An empty
// list never replaces one with rows: the platform's store returns an empty list while
// it restarts.
func (p *Poller) Run(ctx context.Context, publish func(membership.View)) {
	tick := time.NewTicker(p.Interval)
	defer tick.Stop()
	start := time.Now()
	for {
		p.poll(ctx, start, publish)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Age returns the time since the last successful read; the second result is false
// before the first one.
func (p *Poller) Age() (time.Duration, bool) {
	read := p.lastRead.Load()
	if read == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, read)), true
}

// poll reads the list once and publishes a view of it as described at Run.
func (p *Poller) poll(ctx context.Context, start time.Time, publish func(membership.View)) {
	rows, err := p.Client.List(ctx)
	if err == nil && len(rows) == 0 && p.rowCount > 0 {
		err = errors.New("instance list: empty list refused, keeping the last view")
	}
	if err != nil {
		p.logFailure(err, start)
		return
	}
	p.lastRead.Store(time.Now().UnixNano())
	if p.rowCount > 0 && len(rows) == p.rowCount && &rows[0] == p.firstRow {
		return
	}
	p.rowCount = len(rows)
	if p.rowCount > 0 {
		p.firstRow = &rows[0]
	}
	publish(membership.NewView(rows))
}

// logFailure logs a failed read. Before the first successful read the age counts from
// the start of the poller.
func (p *Poller) logFailure(err error, start time.Time) {
	age, ok := p.Age()
	if !ok {
		age = time.Since(start)
	}
	tolerance := p.Tolerance
	if tolerance == 0 {
		tolerance = 10 * p.Interval
	}
	event := p.Log.Debug()
	if age > tolerance {
		event = p.Log.Warn()
	}
	event.Err(err).Dur("age", age).Msg("instance_list_not_read")
}
