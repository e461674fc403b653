package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// CancelState is the engine's word on a stream that it was asked to cancel.
type CancelState string

// States of a cancelled stream.
const (
	// CancelCancelled: it was going on and has been ended.
	CancelCancelled CancelState = "cancelled"
	// CancelEnded: it had ended before.
	CancelEnded CancelState = "ended"
	// CancelUnknown: the engine does not know it.
	CancelUnknown CancelState = "unknown"
)

// CancelReply answers a cancel.
type CancelReply struct {
	// State of the stream.
	State CancelState `json:"state"`
	// PrefillTokens were computed for it.
	PrefillTokens int `json:"prefill_tokens"`
	// GeneratedTokens were generated.
	GeneratedTokens int `json:"generated_tokens"`
}

// Cancel ends a stream. It may be repeated.
func (c *Client) Cancel(ctx context.Context, id string) (CancelReply, error) {
	var reply CancelReply
	status, err := c.call(ctx, http.MethodDelete, streamsPath+url.PathEscape(id), nil, &reply)
	if err != nil {
		return CancelReply{}, err
	}
	if status == http.StatusNotFound {
		return CancelReply{State: CancelUnknown}, nil
	}
	if status != http.StatusOK {
		return CancelReply{}, errors.Errorf("cancel: engine answered status %d", status)
	}
	return reply, nil
}

// ErrUnsupported says that this engine lacks a call altogether.
var ErrUnsupported = errors.New("engine does not support this")

// Export suspends a stream and keeps its KV cache.
func (c *Client) Export(ctx context.Context, id string) error {
	return c.postKV(ctx, id, "/export")
}

// Import brings a suspended stream's KV cache back; the stream is then resumed.
func (c *Client) Import(ctx context.Context, id string) error {
	return c.postKV(ctx, id, "/import")
}

func (c *Client) postKV(ctx context.Context, id, action string) error {
	status, err := c.call(ctx, http.MethodPost, kvPath+url.PathEscape(id)+action, nil, nil)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusNotImplemented:
		return errors.WithStack(ErrUnsupported)
	case http.StatusNotFound:
		return errors.WithStack(&UnknownStreamError{id: id})
	}
	if status/100 != 2 {
		return errors.Errorf("kv%s: engine answered status %d", action, status)
	}
	return nil
}

// Load is the engine's own report; it lags.
type Load struct {
	// Running requests.
	Running int `json:"running"`
	// Waiting requests.
	Waiting int `json:"waiting"`
	// KVUsed and KVTotal count blocks or tokens of KV cache, in the engine's unit.
	KVUsed int64 `json:"kv_used"`
	// KVTotal is the capacity.
	KVTotal int64 `json:"kv_total"`
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	status, err := c.call(ctx, http.MethodGet, "/v1/load", nil, &load)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("load: engine answered status %d", status)
	}
	return load, err
}

// CacheEvent tells that a block was stored in the prefix cache or evicted.
type CacheEvent struct {
	// Sequence counts the engine's events; a hole in it is a lost event.
	Sequence int64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Block names the block.
	Block string `json:"block"`
}

// Kinds of cache event.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

type cacheEvents struct {
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvents reads the cache events from a sequence number on, and the number
// to ask for next. They come late, and some never.
func (c *Client) CacheEvents(ctx context.Context, from int64) ([]CacheEvent, int64, error) {
	var reply cacheEvents
	path := "/v1/cache/events?from=" + strconv.FormatInt(from, 10)
	status, err := c.call(ctx, http.MethodGet, path, nil, &reply)
	if err != nil {
		return nil, from, err
	}
	if status == http.StatusNotFound || status == http.StatusNotImplemented {
		return nil, from, errors.WithStack(ErrUnsupported)
	}
	if status != http.StatusOK {
		return nil, from, errors.Errorf("cache events: engine answered status %d", status)
	}
	return reply.Events, reply.Next, nil
}

// Order tells the engine to load a model, an adapter or a version, or to change role.
type Order struct {
	// Action is what to do.
	Action string `json:"order"`
	// Model and Version say with what.
	Model string `json:"model"`
	// Version of the model.
	Version string `json:"version"`
	// Fence is the fencing number; some engines refuse one older than the last they saw.
	Fence int64 `json:"fence"`
}

// StaleFenceError says that the engine has seen a newer fencing number.
type StaleFenceError struct{ Fence int64 }

// Error implements error.
func (e *StaleFenceError) Error() string {
	return "engine refused fencing number " + strconv.FormatInt(e.Fence, 10)
}

// SendOrder gives an order.
func (c *Client) SendOrder(ctx context.Context, o Order) error {
	status, err := c.call(ctx, http.MethodPost, "/v1/orders", o, nil)
	if err != nil {
		return err
	}
	if status == http.StatusConflict {
		return errors.WithStack(&StaleFenceError{Fence: o.Fence})
	}
	if status/100 != 2 {
		return errors.Errorf("order: engine answered status %d", status)
	}
	return nil
}
