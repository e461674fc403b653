package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// CancelState is the state of a stream, as the engine reports it in reply to a cancel call.
type CancelState string

// States in the reply to a cancel call.
const (
	// CancelCancelled means that the stream was running and the call ended it.
	CancelCancelled CancelState = "cancelled"
	// CancelEnded means that the stream had ended before the call.
	CancelEnded CancelState = "ended"
	// CancelUnknown means that the engine does not know the stream.
	CancelUnknown CancelState = "unknown"
)

// CancelReply is the reply to a cancel call.
type CancelReply struct {
	// State is the state of the stream.
	State CancelState `json:"state"`
	// PrefillTokens is the number of prompt tokens computed for the stream.
	PrefillTokens int `json:"prefill_tokens"`
	// GeneratedTokens is the number of tokens generated for the stream.
	GeneratedTokens int `json:"generated_tokens"`
}

// Cancel ends a stream. It is idempotent.
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

// ErrUnsupported means that the engine does not implement a call.
var ErrUnsupported = errors.New("engine does not support this")

// Export suspends a stream and saves its KV cache.
func (c *Client) Export(ctx context.Context, id string) error {
	return c.postKV(ctx, id, "/export")
}

// Import restores the KV cache of a suspended stream, which can then be resumed.
func (c *Client) Import(ctx context.Context, id string) error {
	return c.postKV(ctx, id, "/import")
}

// postKV makes a call about the KV cache of a stream.
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

// Load is the engine's report of its load, which may be out of date.
type Load struct {
	// Running is the number of running requests.
	Running int `json:"running"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// KVUsed is the KV cache in use, in blocks or tokens depending on the engine.
	KVUsed int64 `json:"kv_used"`
	// KVTotal is the capacity of the KV cache, in the same unit.
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

// CacheEvent reports that a block was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	// Sequence numbers the engine's events. A missing number means a lost event.
	Sequence int64 `json:"seq"`
	// Kind is CacheStored or CacheEvicted.
	Kind string `json:"kind"`
	// Block identifies the block.
	Block string `json:"block"`
}

// Kinds of a CacheEvent.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

type cacheEvents struct {
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvents returns the cache events from a sequence number on, and the sequence number
// for the next call. Events may be reported late or not at all.
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

// Order is an order to load a model, an adapter or a version, or to change the role.
type Order struct {
	// Action is what the engine is to do.
	Action string `json:"order"`
	// Model is the model that the action applies to.
	Model string `json:"model"`
	// Version is the version of the model.
	Version string `json:"version"`
	// Fence is the fencing number. Some engines refuse orders whose number is lower than
	// the highest that they have seen.
	Fence int64 `json:"fence"`
}

// StaleFenceError means that the engine has seen a higher fencing number than the order's.
type StaleFenceError struct{ Fence int64 }

// Error implements error.
func (e *StaleFenceError) Error() string {
	return "engine refused fencing number " + strconv.FormatInt(e.Fence, 10)
}

// SendOrder sends an order to the engine. It returns a StaleFenceError if the engine
// refuses the fencing number.
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
