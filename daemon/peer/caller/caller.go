// Package caller implements the HTTP API for callers: chat completions in the
// published format, the list of models, and plain services below one path
// prefix. It parses and validates requests and writes answers and problems; its
// Handler decides whether and how a request is carried out.
package caller

import (
	"context"
	"time"
)

// Header fields of callers' requests and of their answers.
const (
	// HeaderTier is the tier that the caller asks for.
	HeaderTier = "X-Tier"
	// HeaderDeadline is the time within which the whole answer must arrive, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRequestID is the request ID. The caller may choose it; every answer carries it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey marks a request to a service that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome is the outcome in a problem's body, one of the Outcome constants.
	HeaderOutcome = "X-Outcome"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Request is a caller's parsed request.
type Request struct {
	// ID is the request ID. ChosenID is set if the caller chose it.
	ID       string
	ChosenID bool
	// KeyDigest is the SHA-256 of the bearer key in lower-case hex; empty = no key.
	KeyDigest string
	// Tier is the tier that the caller asks for; empty = the account's default.
	Tier string
	// Deadline is the time within which the whole answer must arrive; 0 = not given.
	Deadline time.Duration
	// IdempotencyKey is the caller's idempotency key; empty = none.
	IdempotencyKey string
	// Endpoint is the name of a service if Service is set, and of a model otherwise.
	Endpoint string
	Service  bool
	// Method and Path are those of the request to the endpoint; Path includes the query.
	Method string
	Path   string
	// Headers are the header fields to forward to the endpoint.
	Headers []Header
	// Body is forwarded to the endpoint unchanged.
	Body []byte
	// Stream is set if the caller asked for server-sent events.
	Stream bool
	// PromptTokens is an estimate of the prompt's length in tokens.
	PromptTokens uint32
	// MaxTokens is the caller's limit on generated tokens; 0 = none.
	MaxTokens uint32
	// Prefixes are hashes of prefixes of the prompt, the shortest first. Prompts with
	// the same beginning share their first hashes.
	Prefixes []uint64
}

// Handler carries out requests.
type Handler interface {
	// Admit checks a request's key, tier and endpoint before its body is read. The
	// endpoint is empty if only the body names it.
	Admit(ctx context.Context, r *Request) *Problem
	// AcquireBodyMemory waits until size bytes of memory are available for the
	// request's body. The returned function gives them back.
	AcquireBodyMemory(ctx context.Context, r *Request, size int64) (release func(), problem *Problem)
	// Handle carries out a request and writes the answer to w. It returns when the
	// answer has ended. ctx is cancelled when the caller disconnects.
	Handle(ctx context.Context, r *Request, w *Response)
	// Models returns the names of the models that the holder of a key may use.
	Models(keyDigest string) ([]string, *Problem)
	// Ready reports whether new requests are accepted.
	Ready() bool
}
