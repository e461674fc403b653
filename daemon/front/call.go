package front

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/rollout"
	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
)

// Call is one request of a caller, decoded.
type Call struct {
	// ID is the request ID that the caller sent.
	ID string
	// Key is the caller's key; empty = none.
	Key string
	// Deadline is how long the caller waits for the answer; 0 = not stated.
	Deadline time.Duration
	// HasTokenCounts is set if the caller stated PromptTokens and MaxOutputTokens.
	HasTokenCounts bool
	// PromptTokens is the length of the prompt, and MaxOutputTokens is how many tokens may
	// be generated.
	PromptTokens, MaxOutputTokens int
	// PromptParts are the IDs of the parts of the prompt in order, without the last one, which
	// belongs to the request or its session alone.
	PromptParts []string
	// OutputHint is the caller's estimate of the number of generated tokens; 0 = none.
	OutputHint int
	// LastEvent is the ID of the last event that the caller received; empty = none.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream, if
	// LastEvent is set; empty = not stated.
	Resumes string
	// Header holds the headers that are passed on to every endpoint.
	Header http.Header
}

// Attempt holds what an endpoint is sent in addition to the call.
type Attempt struct {
	// Endpoint is the ID of the only endpoint that may run it.
	Endpoint string
	// TimeLeft is the time until the deadline; 0 = none.
	TimeLeft time.Duration
	// Account is the name of the client account that holds the key; empty = none.
	Account string
	// LastEvent is the ID of the event after which the stream continues; empty = from the
	// start.
	LastEvent string
}

// Head holds what the status and headers of an endpoint's answer say.
type Head struct {
	// RequestID is the ID of the request that it answers; empty = not stated.
	RequestID string
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is set if the answer is another endpoint's, which has the address now.
	Misdirected bool
	// Sealed is set if the answer carries a seal, by which the endpoint vouches for it.
	Sealed bool
	// Leaving is set if the endpoint states that it leaves.
	Leaving bool
	// Encoded is set if the body has a content encoding, so it is not as the endpoint
	// produced it.
	Encoded bool
	// Limit is the most requests a second that the endpoint takes from all entries together,
	// if HasLimit.
	Limit    float64
	HasLimit bool
	// Rest is for how long the endpoint wants nothing from this entry; 0 = it did not say so.
	Rest time.Duration
	// Load is what the endpoint states of its load; nil = nothing usable.
	Load *scheduler.Statement
	// UnusableLimit is a stated limit that is no rate; empty = none.
	UnusableLimit string
}

// Wire decodes and encodes the formats of calls and answers.
type Wire interface {
	// ReadCall decodes a caller's request, without its body.
	ReadCall(r *http.Request) (Call, error)
	// RequestHeader returns the headers of the request to an endpoint.
	RequestHeader(c *Call, a Attempt) http.Header
	// ReadHead decodes the status and headers of an endpoint's answer.
	ReadHead(status int, h http.Header) Head
	// IncarnationRequest returns the method and the URI of the request for what an endpoint says
	// of itself. It is answered without a run.
	IncarnationRequest() (method, uri string)
	// ReadIncarnation returns which incarnation of the endpoint such an answer states, as
	// directory.Endpoint.Born; false = none.
	ReadIncarnation(body []byte) (born int64, ok bool)
	// RequestIDHeader returns the name of the header with the request ID.
	RequestIDHeader() string
}

// Topic identifies a stream of records in the store.
type Topic int

// Topics of the store.
const (
	// TopicConfiguration holds the operators' configuration under one key.
	TopicConfiguration Topic = iota + 1
	// TopicEndpoints holds a row for each endpoint, under its ID.
	TopicEndpoints
	// TopicMembers holds a row for each entry, under its ID.
	TopicMembers
	// TopicOrigins holds the origins of streams, without keys, in the order in which they were
	// saved. The store drops the oldest ones.
	TopicOrigins
	// TopicStatuses holds the system's answers to the operators' orders, under the keys of those.
	TopicStatuses
)

var topicNames = map[Topic]string{
	TopicConfiguration: "configuration", TopicEndpoints: "endpoints", TopicMembers: "members", TopicOrigins: "origins",
	TopicStatuses: "statuses",
}

// ErrTrimmed means that the store no longer has the records at the offset: the newest
// record of each key must be read instead.
var ErrTrimmed = errors.New("records at the offset were trimmed")

// ErrForeignRow means that a row does not belong to the topic and is to be ignored.
var ErrForeignRow = errors.New("foreign row")

// ErrMoved means that a conditional write did not take effect, since the topic has grown.
var ErrMoved = errors.New("the topic has grown")

// Store is the platform's store, which holds all persistent data.
type Store interface {
	// Newest returns the newest record of each key, and the offset to read from next.
	Newest(ctx context.Context, topic Topic) (mirror.Batch, error)
	// Read returns the records from an offset on. If there is none, it waits for the first
	// one, at most for the time wait.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (mirror.Batch, error)
	// ReadLog returns the records of a topic without keys from an offset on, or from the oldest one
	// that the store has if that is higher. Of more than limit records it returns the newest ones.
	ReadLog(ctx context.Context, topic Topic, from, limit int64) (mirror.Batch, error)
	// Append adds a record to a topic without keys.
	Append(ctx context.Context, topic Topic, value []byte) error
	// Put writes a row; a nil value removes it.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// PutAt writes a row if the topic still ends at an offset, and returns ErrMoved if it does not.
	// After any other error the write may have taken effect, or may do so later.
	PutAt(ctx context.Context, topic Topic, key string, value []byte, at int64) error
	// DecodeOrder decodes a row that orders a roll-out, without the order's ID. For other rows it
	// returns ErrForeignRow.
	DecodeOrder(r mirror.Record) (rollout.Order, error)
	// DecodeStatus decodes the status of a roll-out. For other rows it returns ErrForeignRow.
	DecodeStatus(r mirror.Record) (StatusRow, error)
	// EncodeStatus returns the key and the value of the row of a status.
	EncodeStatus(row StatusRow) (key string, value []byte, err error)
	// DecodeConfiguration decodes the row of the configuration. For other rows it returns
	// ErrForeignRow.
	DecodeConfiguration(r mirror.Record) (*routing.Table, error)
	// DecodeEndpoint decodes the row of an endpoint.
	DecodeEndpoint(r mirror.Record) (directory.Endpoint, error)
}
