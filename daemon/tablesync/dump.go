package tablesync

import (
	"context"
	"time"

	"primrosespoke.dev/coord/overlay"
)

// State is the state of a Syncer for a state dump.
type State struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	Ready   bool   `json:"ready"`
	// Lag is the number of records that are known to exist after Version.
	Lag int64 `json:"lag"`
	// Gap reports whether the log has dropped records that this process has not read, so that
	// it needs a snapshot.
	Gap bool `json:"gap"`
	// Age is the time since the log or a peer last answered.
	Age time.Duration `json:"age"`
	// ReadsLog reports whether this process polls the log now.
	ReadsLog bool `json:"reads_log"`
	// Parents are the addresses of the processes that records are pulled from. Down tells, by
	// the same index, which of them do not respond.
	Parents []string `json:"parents"`
	Down    []bool   `json:"down"`
	// Kept and KeptBytes are the number and the size of the records retained for other
	// processes.
	Kept      int `json:"kept"`
	KeptBytes int `json:"kept_bytes"`
	// Verdicts is the number of verdicts that are remembered.
	Verdicts int `json:"verdicts"`
	// Waiters is the number of edit IDs whose verdict is awaited.
	Waiters int `json:"waiters"`
	// Repeated is the number of records that were received more than once.
	Repeated int64 `json:"repeated"`
}

// Dump returns the state. If the Syncer has stopped or ctx has ended, the fields that the
// control goroutine provides are zero.
func (s *Syncer) Dump(ctx context.Context) State {
	position := s.position.Load()
	state := State{
		Version: s.Current().Version, Ready: s.Ready(), Lag: s.Lag(), Age: s.Age(),
		ReadsLog: s.readsLog(), Parents: position.Parents,
	}
	for slot := range min(len(position.Parents), overlay.Parents) {
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

// Age returns the time since the log or a peer last answered. After a process was paused or
// partitioned, that time is included until the next answer.
func (s *Syncer) Age() time.Duration {
	return time.Since(*s.lastContact.Load())
}

// recordContact stores the present time as that of the last answer of the log or a peer.
func (s *Syncer) recordContact() {
	now := time.Now()
	s.lastContact.Store(&now)
}
