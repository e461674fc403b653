package front

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/routing"
)

// Call is one request of a caller, decoded.
type Call struct {
	// ID is the request's, as its caller sent it.
	ID string
	// Key is the caller's key; empty = none.
	Key string
	// Deadline is how long the caller waits; 0 = not stated.
	Deadline time.Duration
	// HasTokenCounts tells that the token counts were stated.
	HasTokenCounts bool
	// PromptTokens are to be read and MaxOutputTokens may be generated.
	PromptTokens, MaxOutputTokens int
	// OutputHint is the caller's estimate of the tokens generated; 0 = none.
	OutputHint int
	// LastEvent is the ID of the last event that the caller has; empty = none.
	LastEvent string
	// Header holds what is passed on to an endpoint, whichever it is.
	Header http.Header
}

// Attempt is what an endpoint is told beside the call.
type Attempt struct {
	// Endpoint is the ID of the only endpoint that may run it.
	Endpoint string
	// TimeLeft is the time until the deadline; 0 = none.
	TimeLeft time.Duration
	// Account is the holder of the key; empty = none.
	Account string
	// LastEvent is the ID of the event after which the stream goes on.
	LastEvent string
}

// Head is what the header of an endpoint's answer says.
type Head struct {
	// RequestID is the request that it answers.
	RequestID string
	// NotRun tells that the request was not run.
	NotRun bool
	// Sealed tells that the endpoint vouches for the answer.
	Sealed bool
	// Encoded tells that the body is not as the endpoint made it.
	Encoded bool
}

// Wire is the format of calls and answers.
type Wire interface {
	// ReadCall decodes a caller's request, but for its body.
	ReadCall(r *http.Request) (Call, error)
	// RequestHeader returns what an endpoint is sent.
	RequestHeader(c *Call, a Attempt) http.Header
	// ReadHead decodes the header of an answer with a status.
	ReadHead(status int, h http.Header) Head
	// RequestIDHeader is the name of the header with the request's ID.
	RequestIDHeader() string
}

// Topic is what a process follows or writes in the store.
type Topic int

// Topics of the store.
const (
	// TopicConfiguration holds the operators' configuration under one key.
	TopicConfiguration Topic = iota + 1
	// TopicEndpoints holds a row for each endpoint, under its ID.
	TopicEndpoints
	// TopicMembers holds a row for each entry, under its ID.
	TopicMembers
)

var topicNames = map[Topic]string{
	TopicConfiguration: "configuration", TopicEndpoints: "endpoints", TopicMembers: "members",
}

// ErrTrimmed means that the records asked for are gone: the newest must be read instead.
var ErrTrimmed = errors.New("records were trimmed")

// ErrForeignRow means that a row does not belong to the topic and names nothing.
var ErrForeignRow = errors.New("foreign row")

// Store is the platform's store, where everything lasting is kept.
type Store interface {
	// Newest returns the newest record of each key, and where to read on.
	Newest(ctx context.Context, topic Topic) (mirror.Batch, error)
	// Read returns the records from an offset on. It waits for the first one.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (mirror.Batch, error)
	// Put writes a row; a nil value removes it.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// DecodeConfiguration decodes the row of the configuration. Other rows are ErrForeignRow.
	DecodeConfiguration(r mirror.Record) (*routing.Table, error)
	// DecodeEndpoint decodes the row of an endpoint.
	DecodeEndpoint(r mirror.Record) (directory.Endpoint, error)
}
