// Package caller is the HTTP interface towards callers: the published shape of
// chat completions, the list of models, and plain services below one path
// prefix. It knows HTTP and JSON; what is done with a request is its Handler's
// business.
package caller

import (
	"context"
	"time"
)

// Headers that callers send and get.
const (
	// HeaderTier names the tier of the request.
	HeaderTier = "X-Tier"
	// HeaderDeadline is the time left for the whole answer, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRequestID is the request's ID; the caller may choose it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey marks a request to a service that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome repeats a refusal's outcome.
	HeaderOutcome = "X-Outcome"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Request is a caller's request as it was read from the wire.
type Request struct {
	// ID is the request ID, and ChosenID tells that the caller chose it.
	ID       string
	ChosenID bool
	// KeyDigest is the SHA-256 of the bearer key in lower-case hex; empty without a key.
	KeyDigest string
	// Tier is the asked tier; empty = the account's default.
	Tier string
	// Deadline is the time left for the whole answer; 0 = not given.
	Deadline time.Duration
	// IdempotencyKey is the caller's key; empty = none.
	IdempotencyKey string
	// Endpoint is the model's or the service's name, and Service tells which.
	Endpoint string
	Service  bool
	// Method and Path (with the query) are for the endpoint.
	Method string
	Path   string
	// Headers are those to pass on to the endpoint.
	Headers []Header
	// Body is passed on as it is.
	Body []byte
	// Stream is set when the caller asked for server-sent events.
	Stream bool
	// PromptTokens is an estimate of the prompt's length.
	PromptTokens uint32
	// MaxTokens is the caller's bound on generated tokens; 0 = none.
	MaxTokens uint32
	// Prefixes are hashes of ever longer prefixes of the prompt.
	Prefixes []uint64
}

// Handler carries out requests.
type Handler interface {
	// Admit looks at a request's key, tier and endpoint before its body is read.
	// The endpoint is empty when only the body names it.
	Admit(ctx context.Context, r *Request) *Problem
	// AcquireBodyMemory waits until there is room for a body of a size, and returns what
	// gives the room back.
	AcquireBodyMemory(ctx context.Context, r *Request, size int64) (release func(), problem *Problem)
	// Handle answers a request through the response. It returns when the answer
	// has ended; ctx ends when the caller goes.
	Handle(ctx context.Context, r *Request, w *Response)
	// Models returns the names of the models that a key may use.
	Models(keyDigest string) ([]string, *Problem)
	// Ready tells whether new requests are taken.
	Ready() bool
}
