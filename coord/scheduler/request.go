// Package scheduler decides, within one entry, which waiting request is sent to which
// endpoint next, which requests are refused, and when a refused request should be sent
// again.
//
// Requests wait in the entry and are assigned to an endpoint only when a slot is
// free, so that their order is decided here and not by the endpoint's own queue, which
// is first come, first served. What other entries run at an endpoint is known from
// their reports. While slots are scarce, each entry limits itself to a share of them
// in proportion to its share of the total demand, so that a failure domain with few
// entries does not refuse requests that another one would serve.
//
// A backlog is ordered by rank: the priority of the client account, then that of the
// request's class. Requests of equal rank go by the time until which they can be started and
// still be answered before their callers leave. So a request with much work goes as early as
// its work requires, and none waits without end. Those that can't be answered in time any
// more go last. Whether a request was refused before does not matter.
//
// The prefill of a long prompt delays the tokens of all other requests at the same
// endpoint. On slow endpoints the delay exceeds the target gap between events, so long
// prompts go to endpoints that prefill them within it where one of these has a free slot.
//
// The package has no I/O, clock or goroutine. Times are offsets on a single clock that
// the caller chooses.
package scheduler

import "time"

// Request is a request that waits for an endpoint.
type Request struct {
	// ID is unique within the entry.
	ID      uint64
	Service string
	// AccountPriority is the priority of the client account and weighs more than
	// Priority, that of the request's class. 0 is the most urgent.
	AccountPriority, Priority int
	// Stream tells that the answer is a stream of events.
	Stream bool
	// PromptTokens are the tokens of the prompt, OutputTokens those expected to be
	// generated; both are 0 for plain services.
	PromptTokens, OutputTokens int
	// MaxOutputTokens is the most that may be generated; 0 = unknown.
	MaxOutputTokens int
	// Account is the name of the client account; empty = none.
	Account string
	// Arrived is when the entry had read the request.
	Arrived time.Duration
	// GapTarget is the longest gap between events that the route intends; 0 = none. It has a part in
	// the choice of the endpoint alone.
	GapTarget time.Duration
	// EventTimeout is how long the caller waits for an event of the stream; 0 = unknown.
	EventTimeout time.Duration
	// StreamStarted tells that the caller has received events of the stream. Such a
	// request precedes all others, since its caller would get a broken answer instead of
	// a refusal.
	StreamStarted bool
	// NextByteDeadline is the time until which the caller waits for the first byte, or for the next event.
	NextByteDeadline time.Duration
	// Deadline is the time until which the caller waits for the end of the answer.
	Deadline time.Duration
	// Repeatable tells that the request may be sent again after it has run.
	Repeatable bool
	// Avoid holds the IDs of endpoints to which the request was sent before.
	Avoid map[string]bool
	// Version is the software version of the endpoints that may run the request; empty = any.
	Version string
	// Route is the name of the request's route; see Versions.
	Route string

	prospect prospect // as of the last plan
	versions Versions // nil = any
	class    int      // see prospect.class, as of the last classification
	offered  bool     // counted in the recent work of its account
	// offeredAt and offeredWork are when that was, and its slot-seconds.
	offeredAt   time.Duration
	offeredWork float64
	memory      memoryState
}

// mayRunAt reports whether an endpoint has a software version that may run the request.
func (r *Request) mayRunAt(e *endpoint) bool {
	return (r.Version == "" || r.Version == e.Version) && (r.versions == nil || r.versions.Admits(r, e.ID, e.Version))
}

// Placement is the decision to send a request to an endpoint.
type Placement struct {
	Request  uint64
	Endpoint string
	Address  string
	// Born identifies the incarnation of the endpoint; see directory.Endpoint.
	Born int64
	// Version is that of the endpoint's software; see directory.Endpoint.
	Version string
	// Waited is how long the request was queued.
	Waited time.Duration
	// Running is how many requests the endpoint runs as far as this entry knows, and
	// Slots how many it can run at once.
	Running, Slots int
	// PendingPromptTokens are the prompt tokens that the endpoint prefills before those of this request.
	PendingPromptTokens int
	// EventInterval is the endpoint's time between events, and PromptRate its prefill
	// rate in tokens per second.
	EventInterval time.Duration
	PromptRate    float64
	// ExpectedFirstEvent is the expected time to the first event.
	ExpectedFirstEvent time.Duration
	// Score is the expected cost, in seconds, by which the endpoint was chosen; lower is better.
	Score float64
	// ReportAge is the age of the oldest report of another entry that was used.
	ReportAge time.Duration
	// StatedAge is the age of the endpoint's own statement of its load; 0 = none was used. Slowdown is by
	// how much work there takes longer than its learned speeds say.
	StatedAge time.Duration
	Slowdown  float64
	// Share is how many slots of a plain service this entry may use over time, while the demand
	// of all entries exceeds them; 0 = it may use any.
	Share float64
	// Outside is set if the endpoint is in another failure domain than this entry.
	Outside bool
	// MemoryNeed is what the request may need of an engine's memory and MemoryFree what was free there, in
	// tokens, where memory counts. MemoryWaited is for how long the request lacked memory.
	MemoryNeed, MemoryFree int
	MemoryWaited           time.Duration
	// MemoryReserved is set if memory was reserved there for it.
	MemoryReserved bool
	// Granted is set if the home of the endpoint gave a place for it.
	Granted bool
	// BeyondShare is set if the account asked for more than its share.
	BeyondShare bool
	// SendBefore is until when the request must be sent, by the endpoint's Gate; 0 = at any time.
	SendBefore time.Duration
}

// Reason says why a request is refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonBacklog: the backlog takes longer than the caller waits.
	ReasonBacklog Reason = "backlog"
	// ReasonWaited: no slot became free while the caller waited.
	ReasonWaited Reason = "waited"
	// ReasonStaleList: the list of endpoints is out of date, so it is not known which of them
	// may get requests.
	ReasonStaleList Reason = "endpoint_list_out_of_date"
	// ReasonRateLimit: all endpoints of the service take a limited rate of requests, and the
	// backlog takes longer than the caller waits.
	ReasonRateLimit Reason = "endpoint_rate_limits"
	// ReasonResting: all endpoints of the service asked this entry to send nothing for a time.
	ReasonResting Reason = "endpoints_rest"
	// ReasonNoEndpoint: no endpoint of the service is usable.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonNoVersion: no endpoint of the software version that began the stream takes requests.
	ReasonNoVersion Reason = "no_endpoint_of_version"
	// ReasonEngineMemory: the request fits into the memory of no engine, or of none in time.
	ReasonEngineMemory Reason = "engine_memory"
)

// Refusal is the decision to turn away a request that was not sent to an endpoint.
type Refusal struct {
	Request uint64
	Reason  Reason
	// RetryAfter is after what time the request is expected to find a free slot.
	RetryAfter time.Duration
	Waited     time.Duration
	// Queued is how many requests waited for the service.
	Queued int
	// MemoryNeed is what the request may need of an engine's memory, and MemoryTokens what an engine has,
	// if it was refused for lack of memory.
	MemoryNeed, MemoryTokens int
	// BeyondShare is set if the account asked for more than its share.
	BeyondShare bool
}

// Plan holds the decisions to carry out now.
type Plan struct {
	Placements []Placement
	Refusals   []Refusal
	// Failovers are running requests to be cancelled and sent to another endpoint,
	// because theirs has stopped responding.
	Failovers []uint64
	// Cuts are accounts that began or ceased to ask for more than their shares.
	Cuts []Cut
}
