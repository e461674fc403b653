package tablesync

import (
	"context"
	"time"

	"primrosespoke.dev/coord/membership"
)

// snapshotRendezvousKey is the key by which rendezvous hashing orders the writers of snapshots.
const snapshotRendezvousKey = "table-snapshot"

// writeSnapshotsLoop appends a snapshot to the log when the newest one there is older than
// SnapshotInterval or more than SnapshotRecords records back. The first instance in rendezvous
// order writes it; if it does not, the next ones do, each one interval later. A second snapshot
// of the same state does no harm.
func (s *Syncer) writeSnapshotsLoop(ctx context.Context) {
	for pause(ctx, jitter(s.cfg.Timing.SnapshotInterval/8)) {
		rank, ok := s.snapshotRank()
		if !ok || !s.Ready() {
			continue
		}
		var data []byte
		var err error
		_ = s.do(ctx, func(c *core) {
			if c.snapshotDue(rank) {
				data, err = c.encodedSnapshot()
			}
		})
		if err == nil && data != nil {
			_, err = s.cfg.Log.Append(ctx, s.cfg.Stream, data)
		}
		if err != nil {
			s.cfg.Logger.Warn().Err(err).Msg("table_snapshot_not_written")
		}
	}
}

// snapshotRank returns this process's index in the rendezvous order of those who write
// snapshots, and whether it reads the log and may write one. A process that is not in the list
// comes last.
func (s *Syncer) snapshotRank() (int, bool) {
	if !s.position.Load().Reader {
		return 0, false
	}
	view := s.cfg.Members()
	writers := view.Entries()
	if len(writers) == 0 {
		writers = view.All()
	}
	for rank, instance := range membership.Rendezvous(snapshotRendezvousKey, writers) {
		if instance.Address == s.cfg.Self {
			return rank, true
		}
	}
	return len(writers), true
}

// snapshotDue reports whether the process of a rank should write a snapshot now.
func (c *core) snapshotDue(rank int) bool {
	version := c.machine.Version()
	if c.sequencer.NeedsSnapshot() || version == 0 {
		return false
	}
	turns := time.Duration(rank + 1)
	old := time.Since(c.snapshotSeenAt) > turns*c.syncer.cfg.Timing.SnapshotInterval
	many := version-c.snapshotSeenVersion > int64(turns)*c.syncer.cfg.Timing.SnapshotRecords
	return old || many
}
