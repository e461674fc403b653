// Package scheduler decides, in one entry, which waiting request is sent to which
// endpoint next, which one is turned away, and when it should come back.
//
// Requests wait in the entry and are bound to an endpoint only when a slot is
// free, so that order is decided here and not in an endpoint's own queue, which is
// first come, first served. What other entries hold at an endpoint is known from
// their reports; while slots are short, each entry keeps to the share of them that
// its demand is of the demand of all, so that a failure domain with few entries
// does not turn away what another one would serve.
//
// A backlog is ordered by worth per second of a slot: the urgency of the request,
// its size, and whether it can still be on time. A burst leaves many requests that
// are already late; serving them in order of arrival would make every later one
// late too.
//
// A long prompt holds up the tokens of all its neighbours. On slow endpoints that
// breaks the promised gap between events, so long prompts go where they are read
// within it, and wait a little for such a place.
//
// The package has no I/O, clock or goroutine. Times are of one clock that the caller chooses.
package scheduler

import (
	"math"
	"time"
)

// Request is one request that waits for an endpoint.
type Request struct {
	// ID is unique within the entry.
	ID      uint64
	Service string
	// Class names requests that are alike; their sizes are compared.
	Class string
	// AccountPriority is the rank of its client account, which goes before Priority, the
	// rank of its kind; 0 is the most urgent.
	AccountPriority, Priority int
	// Stream tells that the answer is a series of events.
	Stream bool
	// PromptTokens are to be read, OutputTokens are expected to be generated; 0 for plain services.
	PromptTokens, OutputTokens int
	// Arrived is when the entry had read it.
	Arrived time.Duration
	// Due is when its answer, or its first event, stops being on time.
	Due time.Duration
	// GapTarget is the longest pause between events that is on time; 0 = none.
	GapTarget time.Duration
	// EventTimeout is how long its caller waits for an event of its stream; 0 = unknown.
	EventTimeout time.Duration
	// StreamStarted tells that its caller has events of its stream already. It goes before
	// all others, since its caller would get a broken answer in place of a refusal.
	StreamStarted bool
	// NextByteDeadline is when its caller stops waiting for a first byte, or for the next event.
	NextByteDeadline time.Duration
	// Deadline is when its caller stops waiting for the end.
	Deadline time.Duration
	// Retried tells that it was refused before and came back.
	Retried bool
	// Repeatable requests may be sent again after they have run.
	Repeatable bool
	// Avoid are endpoints that it was sent to already.
	Avoid map[string]bool
}

// Worth of a generation by its size, as the platform's users state it: a base and a
// part in proportion to its size against the mean of its like, bounded.
const (
	baseWorth     = 0.3
	sizeWorth     = 0.7
	maxSizeRatio  = 4.0
	outputWeight  = 10.0 // an output token against a prompt token
	urgencyBase   = 2.0  // worth of one rank of a kind against the next
	accountBase   = 4.0  // worth of one rank of an account against the next
	lateWorth     = 0.29 // worth of a late answer against one on time
	returnedWorth = 0.6  // worth of what came back: late, and not to be refused again
)

// size is the measure of a generation: prompt tokens plus weighted output tokens.
func (r *Request) size() float64 {
	return float64(r.PromptTokens) + outputWeight*float64(r.OutputTokens)
}

// worth is the value of an answer on time, in units of size.
func (r *Request) worth(meanSize float64) float64 {
	urgency := math.Pow(urgencyBase, -float64(r.Priority)) * math.Pow(accountBase, -float64(r.AccountPriority))
	if meanSize <= 0 {
		return urgency
	}
	ratio := min(r.size()/meanSize, maxSizeRatio)
	return urgency * meanSize * (baseWorth + sizeWorth*ratio)
}

// Placement sends a request to an endpoint.
type Placement struct {
	Request  uint64
	Endpoint string
	Address  string
	// Waited is how long the request was in the queue.
	Waited time.Duration
	// Running is how many requests the endpoint held by this entry's knowledge, and Slots how many it runs.
	Running, Slots int
	// PendingPromptTokens is how many prompt tokens were to be read there before this request's.
	PendingPromptTokens int
	// EventInterval is the endpoint's time between events, and PromptRate the prompt tokens that it reads a second.
	EventInterval time.Duration
	PromptRate    float64
	// ExpectedFirstEvent is the expected time to the first event.
	ExpectedFirstEvent time.Duration
	// Score is the expected cost in seconds that won.
	Score float64
	// ReportAge is the age of the oldest report of another entry that was used.
	ReportAge time.Duration
}

// Reason says why a request is turned away.
type Reason string

// Reasons of a refusal.
const (
	// ReasonBacklog: the queue is longer than the request's caller waits.
	ReasonBacklog Reason = "backlog"
	// ReasonWaited: no slot became free while its caller was waiting.
	ReasonWaited Reason = "waited"
	// ReasonNoEndpoint: no endpoint of the service is usable.
	ReasonNoEndpoint Reason = "no_endpoint"
)

// Refusal turns a request away that was not sent.
type Refusal struct {
	Request uint64
	Reason  Reason
	// RetryAfter is when the request is expected to find room.
	RetryAfter time.Duration
	Waited     time.Duration
	// Queued is how many requests waited for the service.
	Queued int
}

// Plan is what is to be done now.
type Plan struct {
	Placements []Placement
	Refusals   []Refusal
	// Failovers are running requests to be ended and sent elsewhere: their endpoint went silent.
	Failovers []uint64
}
