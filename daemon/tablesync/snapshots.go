package tablesync

import (
	"context"
	"time"

	"primrosespoke.dev/coord/membership"
)

const snapshotRendezvousKey = "table-snapshot"

// writeSnapshotsLoop appends a snapshot when the newest one in the log is old. The first
// instance in rendezvous order writes; the next ones follow, each an interval
// later, if it does not. Two snapshots do no harm.
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
			s.cfg.Logger.Warn().Err(err).Msg("table snapshot not written")
		}
	}
}

// snapshotRank returns this process's turn among the readers of the log.
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
