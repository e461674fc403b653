package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// bytesPerToken is the assumed length of a token of prompt text.
const bytesPerToken = 4

// Tokens returns the length of a prompt in tokens, rounded up.
func Tokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// Content returns the text of token n, counted from 1, of the answer to a prompt.
// It contains the request ID and a digest of the prompt, so that a client can
// detect the answer to another request.
func Content(requestID, prompt string, n int) string {
	return fmt.Sprintf("%s:%s:%d ", requestID, digest(prompt), n)
}

func digest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:4])
}

// Record describes one execution, that is, one accepted POST.
type Record struct {
	// RequestID is the X-Request-Id of the POST.
	RequestID string `json:"request_id"`
	// Attempt counts the POSTs seen with this ID, from 1.
	Attempt int `json:"attempt"`
	// Digest is a digest of the prompt.
	Digest string `json:"digest"`
	// Start, Admitted, FirstToken and End are times on this engine's clock; zero if not reached.
	Start      time.Time `json:"start"`
	Admitted   time.Time `json:"admitted"`
	FirstToken time.Time `json:"first_token"`
	End        time.Time `json:"end"`
	// Prompt is the length of the prompt in tokens.
	Prompt int `json:"prompt_tokens"`
	// Computed is how many prompt tokens this engine computed.
	Computed int `json:"prefill_computed"`
	// Cached is how many prompt tokens were found in the prefix cache.
	Cached int `json:"prefill_cached"`
	// HeldElsewhere is how many more prompt tokens were cached if the engines of the
	// Directory are taken together.
	HeldElsewhere int `json:"prefill_held_elsewhere"`
	// Wasted is how many prompt tokens were computed for a run that was cancelled or lost.
	Wasted int `json:"prefill_wasted"`
	// Tokens is how many tokens were generated.
	Tokens int `json:"tokens"`
	// Suspensions counts how often the run's KV cache was exported.
	Suspensions int `json:"suspensions"`
	// State is running, suspended, ended, cancelled or lost.
	State string `json:"state"`
	// BytesSent counts body bytes written to readers of the stream.
	BytesSent int64 `json:"bytes_sent"`
	// Delivered is the highest token number written to a reader.
	Delivered int `json:"delivered"`
}

type runState int

const (
	stateRunning runState = iota
	stateSuspended
	stateEnded
	stateCancelled
	stateLost
)

// String returns the name of the state in records and responses.
func (s runState) String() string {
	return [...]string{"running", "suspended", "ended", "cancelled", "lost"}[s]
}

// run is one execution in progress or recently ended. Engine.mu guards it.
type run struct {
	rec         *Record
	digest      string
	blocks      []uint64 // hashes of the prompt's blocks
	maxTokens   int
	prefillLeft int  // prompt tokens still to compute
	stepPrefill int  // prompt tokens that the current step computes
	admitted    bool // has been in the batch at least once
	state       runState
	changed     chan struct{} // closed and replaced when readers are notified
}

func newRun(id, prompt string, maxTokens, attempt int) *run {
	d := digest(prompt)
	return &run{
		rec: &Record{
			RequestID: id,
			Attempt:   attempt,
			Digest:    d,
			Start:     time.Now(),
			Prompt:    Tokens(prompt),
			State:     stateRunning.String(),
		},
		digest:    d,
		blocks:    blockHashes(prompt),
		maxTokens: maxTokens,
		changed:   make(chan struct{}),
	}
}

// kvReservation returns the KV memory reserved for the run, in tokens.
func (r *run) kvReservation() int {
	return r.rec.Prompt + r.maxTokens
}

func (r *run) inQueue(queue []*run) bool {
	for _, w := range queue {
		if w == r {
			return true
		}
	}
	return false
}

// notifyReaders wakes all readers of the run.
func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) tokenText(n int) string {
	return fmt.Sprintf("%s:%s:%d ", r.rec.RequestID, r.digest, n)
}
