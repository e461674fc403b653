package tablesync

import (
	"context"
	"time"

	"primrosespoke.dev/coord/overlay"
)

// State is a Syncer's state for a dump.
type State struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	Ready   bool   `json:"ready"`
	// Lag is the number of records known to exist beyond the version.
	Lag int64 `json:"lag"`
	// Gap says that the log dropped records that this process lacks.
	Gap bool `json:"gap"`
	// Age is the time since the log or a parent last answered.
	Age time.Duration `json:"age"`
	// ReadsLog says that this process polls the log now.
	ReadsLog bool `json:"reads_log"`
	// Parents are the processes that records are pulled from; Down tells which do not answer.
	Parents []string `json:"parents"`
	Down    []bool   `json:"down"`
	// Kept and KeptBytes are the records kept for others.
	Kept      int   `json:"kept"`
	KeptBytes int   `json:"kept_bytes"`
	Verdicts  int   `json:"verdicts"`
	Waiters   int   `json:"waiters"`
	Repeated  int64 `json:"repeated"`
}

// Dump returns the state; a stopped Syncer returns what it last published.
func (s *Syncer) Dump(ctx context.Context) State {
	place := s.position.Load()
	state := State{
		Version: s.Current().Version, Ready: s.Ready(), Lag: s.Lag(), Age: s.Age(),
		ReadsLog: s.readsLog(), Parents: place.Parents,
	}
	for slot := range min(len(place.Parents), overlay.Parents) {
		state.Down = append(state.Down, s.parentDown[slot].Load())
	}
	_ = s.do(ctx, func(c *core) {
		state.Digest = c.machine.Digest()
		state.Gap = c.sequencer.NeedsSnapshot()
		state.Kept, state.KeptBytes = len(c.retained), c.retainedBytes
		state.Verdicts = len(c.machine.History())
		state.Waiters = len(c.waiters)
		state.Repeated = c.sequencer.Repeated()
	})
	return state
}

// Age returns the time since the log or a parent last answered; a process that was
// frozen or cut off shows it until the next answer.
func (s *Syncer) Age() time.Duration {
	return time.Since(*s.lastContact.Load())
}

func (s *Syncer) recordContact() {
	now := time.Now()
	s.lastContact.Store(&now)
}
