package tablesync

import (
	"time"

	"primrosespoke.dev/coord/replay"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
)

const (
	// maxRetainedRecords and maxRetainedBytes bound the records retained for other processes.
	maxRetainedRecords = 1024
	maxRetainedBytes   = 8 << 20
)

// core is the state that the control goroutine owns; no other goroutine accesses it.
type core struct {
	syncer    *Syncer
	machine   *table.Machine
	sequencer *replay.Sequencer
	// retained holds the newest records for other processes, oldest first, without a missing
	// offset.
	retained      []replay.Record
	retainedBytes int
	// scanOffset is where the search for a snapshot in the log continues while the log no
	// longer holds the next record.
	scanOffset int64
	// changed is closed and replaced when the version increases.
	changed chan struct{}
	// snapshot is the encoded snapshot at snapshotVersion; it is created on demand.
	snapshot        []byte
	snapshotVersion int64
	// snapshotSeenAt is when the newest snapshot record was replayed, and snapshotSeenVersion
	// the version after it.
	snapshotSeenAt      time.Time
	snapshotSeenVersion int64
	// waiters holds, by edit ID, the channels of the callers that wait for a verdict.
	waiters map[string][]chan table.Verdict
}

// newCore returns the state of a process that has read nothing.
func newCore(s *Syncer) *core {
	return &core{
		syncer:         s,
		machine:        table.NewMachine(),
		sequencer:      replay.New(0),
		changed:        make(chan struct{}),
		snapshotSeenAt: time.Now(),
		waiters:        map[string][]chan table.Verdict{},
	}
}

// readOffset returns the offset of the next read of the log.
func (c *core) readOffset() int64 {
	if c.sequencer.NeedsSnapshot() {
		return max(c.scanOffset, c.sequencer.Next())
	}
	return c.sequencer.Next()
}

// applyPage applies one page of the log and reports whether the log's end was reached.
func (c *core) applyPage(page logservice.Page) bool {
	c.sequencer.SetBounds(page.Earliest, page.Next)
	records := make([]replay.Record, 0, len(page.Records))
	for _, r := range page.Records {
		records = append(records, replay.Record{Offset: r.Offset, Data: r.Data})
	}
	if c.sequencer.NeedsSnapshot() {
		c.restoreFromLog(page.Earliest, records)
		c.scanOffset = page.Next
	}
	c.apply(c.sequencer.Add(records...))
	c.publish()
	end := !c.sequencer.NeedsSnapshot() && c.sequencer.Lag() == 0
	if end {
		c.syncer.markReady("log", c.machine.Version())
	}
	return end
}

// restoreFromLog restores the first snapshot among records after which the log still holds all
// records. The first one is used so that later snapshots are compared with the state replayed
// from there.
func (c *core) restoreFromLog(earliest int64, records []replay.Record) {
	for _, r := range records {
		snapshot, err := table.DecodeSnapshot(r.Data)
		if err != nil || snapshot.Version < earliest || snapshot.Version > r.Offset {
			continue
		}
		c.restore(snapshot)
		if !c.sequencer.NeedsSnapshot() {
			return
		}
	}
}

// restore replaces the table by a snapshot if the snapshot is newer and its contents match its
// digest. A snapshot of a version that this process can check is only compared.
func (c *core) restore(snapshot table.Snapshot) {
	if agrees, checked := c.machine.Agrees(snapshot); checked {
		if !agrees {
			c.reportDisagreement("peer or log", snapshot.Version)
		}
		return
	}
	if snapshot.Version <= c.machine.Version() {
		return
	}
	if err := c.machine.Restore(snapshot); err != nil {
		c.syncer.cfg.Logger.Warn().Err(err).Int64("version", snapshot.Version).Msg("table_snapshot_refused")
		c.syncer.metrics.countRefusal()
		return
	}
	c.syncer.cfg.Logger.Info().Int64("version", snapshot.Version).Msg("table_restored_from_snapshot")
	c.retained, c.retainedBytes = nil, 0
	c.apply(c.sequencer.SkipTo(snapshot.Version))
	c.notifyDecidedWaiters()
}

// applyPull applies the snapshot and the records that a peer returned.
func (c *core) applyPull(records []replay.Record, snapshot []byte) {
	if len(snapshot) > 0 {
		s, err := table.DecodeSnapshot(snapshot)
		if err != nil {
			c.syncer.cfg.Logger.Warn().Err(err).Msg("peer_table_snapshot_unreadable")
			c.syncer.metrics.countRefusal()
			return
		}
		c.restore(s)
	}
	c.apply(c.sequencer.Add(records...))
	c.publish()
}

// apply applies records that are in order and retains them.
func (c *core) apply(ready []replay.Record) {
	for _, record := range ready {
		outcome, verdict, err := c.machine.Apply(table.Record(record))
		if err != nil {
			c.syncer.cfg.Logger.Error().Err(err).Msg("table_record_out_of_order")
			return
		}
		c.retain(record)
		c.reportOutcome(outcome, verdict)
	}
}

// reportOutcome logs and counts the outcome of a record and notifies those who wait for its verdict.
func (c *core) reportOutcome(outcome table.Outcome, v table.Verdict) {
	switch outcome {
	case table.OutcomeEdit:
		c.syncer.cfg.Logger.Info().Str("edit_id", v.EditID).Str("editor", v.Editor).Bool("accepted", v.Accepted).
			Str("reason", string(v.Reason)).Int64("version", v.Version).Int("changes", len(v.Changes)).Msg("table_edit_decided")
		c.notifyWaiters(v)
	case table.OutcomeRepeat:
		c.notifyWaiters(v)
	case table.OutcomeSnapshot:
		c.snapshotSeenAt = time.Now()
		c.snapshotSeenVersion = c.machine.Version()
	case table.OutcomeDisagrees:
		c.reportDisagreement("log", c.machine.Version()-1)
	case table.OutcomeMalformed:
		c.syncer.cfg.Logger.Warn().Int64("offset", c.machine.Version()-1).Msg("table_record_malformed")
	}
	c.syncer.metrics.countEdit(outcome, v)
}

// reportDisagreement logs and counts a snapshot that is ignored because it differs from this
// process's own state at the same version.
func (c *core) reportDisagreement(source string, version int64) {
	c.syncer.cfg.Logger.Error().Str("source", source).Int64("version", version).Msg("table_snapshot_mismatch_ignored")
	c.syncer.metrics.countDisagreement()
}

// retain keeps a record for other processes and drops the oldest ones beyond the bounds.
func (c *core) retain(record replay.Record) {
	c.retained = append(c.retained, record)
	c.retainedBytes += len(record.Data)
	for len(c.retained) > maxRetainedRecords || (c.retainedBytes > maxRetainedBytes && len(c.retained) > 1) {
		c.retainedBytes -= len(c.retained[0].Data)
		c.retained[0].Data = nil
		c.retained = c.retained[1:]
	}
}

// publish makes the machine's table the current one if its version changed.
func (c *core) publish() {
	c.syncer.lag.Store(c.sequencer.Lag())
	if c.machine.Version() == c.syncer.Current().Version {
		return
	}
	c.syncer.publish(c.machine.Table())
	close(c.changed)
	c.changed = make(chan struct{})
}

// notifyWaiters sends a verdict to all who wait for it.
func (c *core) notifyWaiters(v table.Verdict) {
	for _, w := range c.waiters[v.EditID] {
		w <- v
	}
	delete(c.waiters, v.EditID)
}

// notifyDecidedWaiters notifies the waiters whose verdict is contained in a restored snapshot.
func (c *core) notifyDecidedWaiters() {
	for id := range c.waiters {
		if v, ok := c.machine.Verdict(id); ok {
			c.notifyWaiters(v)
		}
	}
}

// addWaiter returns a channel that receives the verdict of an edit ID, at once if it is known.
func (c *core) addWaiter(editID string) chan table.Verdict {
	w := make(chan table.Verdict, 1)
	if v, ok := c.machine.Verdict(editID); ok {
		w <- v
		return w
	}
	c.waiters[editID] = append(c.waiters[editID], w)
	return w
}

// removeWaiter removes a channel that addWaiter returned.
func (c *core) removeWaiter(editID string, w chan table.Verdict) {
	var rest []chan table.Verdict
	for _, other := range c.waiters[editID] {
		if other != w {
			rest = append(rest, other)
		}
	}
	delete(c.waiters, editID)
	if len(rest) > 0 {
		c.waiters[editID] = rest
	}
}

// encodedSnapshot returns a snapshot of the machine's state, encoded as a record.
func (c *core) encodedSnapshot() ([]byte, error) {
	if c.snapshot != nil && c.snapshotVersion == c.machine.Version() {
		return c.snapshot, nil
	}
	data, err := table.EncodeSnapshot(c.machine.Snapshot())
	if err != nil {
		return nil, err
	}
	c.snapshot, c.snapshotVersion = data, c.machine.Version()
	return data, nil
}
