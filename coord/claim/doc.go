// Package claim makes sure that a request with an idempotency key runs at most
// once. Each process that may run such a request is a claimant. A claimant appends
// a claim to a log stream that all claimants read, and runs the request only after
// it has read its own claim back and found it to be the first live claim of the
// key.
//
// No claimant takes over the claim of another. Until the horizon has passed in log
// time, only the incarnation that wrote a claim may run under it, or release it
// before it has run. A claimant that was frozen and resumes therefore needs no
// fencing, and a request whose key is claimed by a claimant that has gone is
// refused with the outcome MayHaveRun.
//
// Every decision follows from the log's records and their times alone, so all
// readers agree on which claim won, which records are invalid and when a claim has
// expired. A reader that may have missed records is not ready, and makes no claim,
// until it has applied a snapshot that covers them or until everything that it may
// have missed has expired.
//
// Limits: a key without a creation time is remembered for the horizon only, and a
// repeat that comes later runs again. A key that states its creation time (a UUID
// of version 7, or Start.CreatedMS) is refused once it is older than the horizon.
// The horizon must exceed the longest run and the time over which callers repeat
// requests. The log's times must not go back by more than the margin (see Margin).
//
// The package has no I/O, goroutines or clock: Machine.Step takes the time and an
// event, and returns effects that the caller carries out in order.
package claim
