// Package node implements the protocol between primrosespoke's own processes:
// twirp for control calls and length-delimited protobuf frames for answers, both
// over HTTP/2 without TLS on the internal network.
package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// Paths of the requests that are not twirp calls.
const (
	// DispatchPath takes a dispatch by POST: a length-delimited DispatchHeader, then the body.
	DispatchPath = "/node/v1/dispatch"
	// RunsPath serves the answer of a run by GET, with query parameters request_id, attempt and offset.
	RunsPath = "/node/v1/runs"
)

const (
	dialTimeout  = 2 * time.Second
	pingInterval = 2 * time.Second // an idle connection gets a ping after this long
	pingTimeout  = 3 * time.Second // a ping without an answer for this long closes the connection
)

// Client calls other processes of the system at their HOST:PORT. It is safe for
// concurrent use.
type Client struct {
	http *http.Client

	mu      sync.Mutex // guards the maps, which hold clients by address
	agents  map[string]nodepb.Agent
	entries map[string]nodepb.Entry
	tables  map[string]nodepb.Table
	relays  map[string]nodepb.Relay
}

// NewClient returns a client with its own pool of connections.
func NewClient() *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext,
		Protocols:   protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval,
			PingTimeout:     pingTimeout,
		},
	}
	return &Client{
		http:    &http.Client{Transport: transport},
		agents:  map[string]nodepb.Agent{},
		entries: map[string]nodepb.Entry{},
		tables:  map[string]nodepb.Table{},
		relays:  map[string]nodepb.Relay{},
	}
}

// Agent returns a client for the control calls of the agent at an address.
func (c *Client) Agent(address string) nodepb.Agent {
	return cachedClient(c, c.agents, address, func(base string) nodepb.Agent {
		return nodepb.NewAgentProtobufClient(base, c.http)
	})
}

// Entry returns a client for the control calls of the entry at an address.
func (c *Client) Entry(address string) nodepb.Entry {
	return cachedClient(c, c.entries, address, func(base string) nodepb.Entry {
		return nodepb.NewEntryProtobufClient(base, c.http)
	})
}

// Table returns a client for the table calls of the process at an address.
func (c *Client) Table(address string) nodepb.Table {
	return cachedClient(c, c.tables, address, func(base string) nodepb.Table {
		return nodepb.NewTableProtobufClient(base, c.http)
	})
}

// Relay returns a client for the relay calls of the front at an address.
func (c *Client) Relay(address string) nodepb.Relay {
	return cachedClient(c, c.relays, address, func(base string) nodepb.Relay {
		return nodepb.NewRelayProtobufClient(base, c.http)
	})
}

// cachedClient returns the known client of an address, or creates and keeps one.
func cachedClient[T any](c *Client, known map[string]T, address string, create func(base string) T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := known[address]
	if !ok {
		client = create("http://" + address)
		known[address] = client
	}
	return client
}

// Retain drops the cached clients of the addresses for which keep returns false, so
// that the cache does not grow as instances are replaced.
func (c *Client) Retain(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	retain(c.agents, keep)
	retain(c.entries, keep)
	retain(c.tables, keep)
	retain(c.relays, keep)
}

func retain[T any](known map[string]T, keep func(string) bool) {
	for address := range known {
		if !keep(address) {
			delete(known, address)
		}
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Dispatch sends a request to an agent and returns the frames of its answer. After
// an error it is unknown whether the agent took the dispatch: the caller must
// resolve that. Cancelling ctx resets the HTTP/2 stream, from which the agent sees
// that the entry has gone.
func (c *Client) Dispatch(ctx context.Context, address string, header *nodepb.DispatchHeader, body io.Reader) (*FrameReader, error) {
	var prefix bytes.Buffer
	if _, err := protodelim.MarshalTo(&prefix, header); err != nil {
		return nil, errors.Wrap(err, "encode dispatch header")
	}
	if body == nil {
		body = http.NoBody
	}
	target := "http://" + address + DispatchPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, io.MultiReader(&prefix, body))
	if err != nil {
		return nil, errors.Wrap(err, "dispatch")
	}
	// Without GetBody the transport cannot retry the dispatch on its own.
	req.GetBody = nil
	return c.openFrames(req)
}

// ReadRun reads the answer of a run from a byte offset on. A StatusError with status
// 404 means that the agent does not know the run.
func (c *Client) ReadRun(ctx context.Context, address, requestID string, attempt uint32, offset int64) (*FrameReader, error) {
	query := url.Values{}
	query.Set("request_id", requestID)
	query.Set("attempt", strconv.FormatUint(uint64(attempt), 10))
	query.Set("offset", strconv.FormatInt(offset, 10))
	target := "http://" + address + RunsPath + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request to read run")
	}
	return c.openFrames(req)
}

// StatusError is returned when another process answers with an HTTP status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("peer answered status %d", e.Status)
}

// openFrames sends a request and returns a reader of the frames in its response.
func (c *Client) openFrames(req *http.Request) (*FrameReader, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.WithStack(&StatusError{Status: resp.StatusCode})
	}
	return newFrameReader(resp.Body), nil
}
