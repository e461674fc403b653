package claim

import "time"

// Event is an input of Machine.Step.
type Event interface{ event() }

// Start asks for the right to run a request.
type Start struct {
	// Call identifies the request within this machine and is never reused.
	Call   uint64
	Key    Key
	Digest Digest
	// CreatedMS is the creation time that the key states; 0 = none.
	CreatedMS int64
	// Deadline is the caller's deadline; no run starts after it.
	Deadline time.Duration
}

// Cancel reports that the caller of a waiting call has gone.
type Cancel struct{ Call uint64 }

// Appended reports that the log has stored a batch.
type Appended struct{ Batch uint64 }

// AppendFailed reports that the append of a batch failed.
type AppendFailed struct {
	Batch uint64
	// Unknown is set when the log may have stored the batch, or may store it later.
	Unknown bool
}

// PageRead carries the log's answer to a read from offset Machine.Next.
type PageRead struct{ Page Page }

// ReadFailed reports that a read of the log failed.
type ReadFailed struct{}

// Ended reports that the run under a claim ended. Answer.Unknown is set if the run
// may have happened and its answer is not known.
type Ended struct {
	Claim  string
	Answer Answer
}

// NotStarted reports that nothing of the request under a claim was sent or will be
// sent.
type NotStarted struct{ Claim string }

// Tick reports only the time.
type Tick struct{}

// SetSnapshotWriter tells the machine whether its process is the one that should
// write snapshots.
type SetSnapshotWriter struct{ Chosen bool }

func (Start) event()             {}
func (Cancel) event()            {}
func (Appended) event()          {}
func (AppendFailed) event()      {}
func (PageRead) event()          {}
func (ReadFailed) event()        {}
func (Ended) event()             {}
func (NotStarted) event()        {}
func (Tick) event()              {}
func (SetSnapshotWriter) event() {}

// Effect is an action that the caller of Machine.Step must carry out.
type Effect interface{ effect() }

// Append asks for one append to the stream. Its result comes back as Appended or
// AppendFailed. The append must not be repeated.
type Append struct {
	Batch uint64
	Data  []byte
}

// Run allows a call to run. The executor must check Deadline immediately before it
// sends anything, and must report Ended or NotStarted.
type Run struct {
	Call     uint64
	Claim    string
	Key      Key
	Deadline time.Duration
}

// Refuse ends a call that has not run and never will.
type Refuse struct {
	Call uint64
	Refusal
}

// Replay ends a call with the answer of the first run of its key.
type Replay struct {
	Call   uint64
	Answer Answer
}

func (Append) effect() {}
func (Run) effect()    {}
func (Refuse) effect() {}
func (Replay) effect() {}

// Outcome tells a refused caller what is known about a run under its key.
type Outcome string

// Outcomes of a refusal.
const (
	// NotRun means that this call was not run and never will be.
	NotRun Outcome = "not_run"
	// MayHaveRun means that another call with the key ran, is running or may run.
	MayHaveRun Outcome = "may_have_run"
	// Ran means that another call with the key ran and its answer was not kept.
	Ran Outcome = "ran"
)

// Reason names why a call is refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonMismatch       Reason = "the key was used for another request"
	ReasonNotReady       Reason = "claims are not readable yet"
	ReasonLogUnavailable Reason = "claims can't be written now"
	ReasonDeadline       Reason = "the deadline passed before the claim was decided"
	ReasonCancelled      Reason = "the caller has gone"
	ReasonClaimed        Reason = "a request with the key is going on or was lost"
	ReasonUnknown        Reason = "whether the first request with the key ran is not known"
	ReasonTooLarge       Reason = "the first request with the key ran; its answer is too large to repeat"
	ReasonTooOld         Reason = "the key is older than the horizon"
	ReasonFuture         Reason = "the key's creation time lies ahead"
)

// Refusal tells why a call is not run and what the caller may do.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is the delay after which to retry; 0 = a retry is of no use.
	RetryAfter time.Duration
}
