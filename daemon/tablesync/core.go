package tablesync

import (
	"time"

	"primrosespoke.dev/coord/replay"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
)

const (
	// keptRecords and keptBytes bound the records kept for other processes.
	keptRecords = 1024
	keptBytes   = 8 << 20
)

// core is the control state; only the control goroutine touches it.
type core struct {
	s       *Syncer
	machine *table.Machine
	reader  *replay.Sequencer
	// kept are the newest records without a gap, oldest first.
	kept      []replay.Record
	keptBytes int
	// scan is where the search for a snapshot goes on while the reader has a gap.
	scan int64
	// changed is closed and replaced when the version goes up.
	changed chan struct{}
	// snapshot is the encoded snapshot at snapshotVersion, made on demand.
	snapshot        []byte
	snapshotVersion int64
	// snapshotSeen is when the newest snapshot record was replayed, and at which version.
	snapshotSeen   time.Time
	snapshotSeenAt int64
	waiters        map[string][]chan table.Verdict
}

func newCore(s *Syncer) *core {
	return &core{
		s:            s,
		machine:      table.NewMachine(),
		reader:       replay.New(0),
		changed:      make(chan struct{}),
		snapshotSeen: time.Now(),
		waiters:      map[string][]chan table.Verdict{},
	}
}

// from returns the offset to read the log from.
func (c *core) from() int64 {
	if c.reader.NeedsSnapshot() {
		return max(c.scan, c.reader.Next())
	}
	return c.reader.Next()
}

// takePage takes one page of the log and reports whether the log's end was reached.
func (c *core) takePage(page logservice.Page) bool {
	c.reader.SetBounds(page.Earliest, page.Next)
	records := make([]replay.Record, 0, len(page.Records))
	for _, r := range page.Records {
		records = append(records, replay.Record{Offset: r.Offset, Data: r.Data})
	}
	if c.reader.NeedsSnapshot() {
		c.bridge(page.Earliest, records)
		c.scan = page.Next
	}
	c.apply(c.reader.Add(records...))
	c.publish()
	end := !c.reader.NeedsSnapshot() && c.reader.Lag() == 0
	if end {
		c.s.markReady("log", c.machine.Version())
	}
	return end
}

// bridge looks among records for the first snapshot that closes the gap, so that
// the later ones are checked against what is replayed from there.
func (c *core) bridge(earliest int64, records []replay.Record) {
	for _, r := range records {
		snapshot, err := table.DecodeSnapshot(r.Data)
		if err != nil || snapshot.Version < earliest || snapshot.Version > r.Offset {
			continue
		}
		c.restore(snapshot)
		if !c.reader.NeedsSnapshot() {
			return
		}
	}
}

// restore takes a snapshot if it is newer and whole.
func (c *core) restore(snapshot table.Snapshot) {
	if agrees, checked := c.machine.Agrees(snapshot); checked {
		if !agrees {
			c.disagreement("peer or log", snapshot.Version)
		}
		return
	}
	if snapshot.Version <= c.machine.Version() {
		return
	}
	if err := c.machine.Restore(snapshot); err != nil {
		c.s.cfg.Logger.Warn().Err(err).Int64("version", snapshot.Version).Msg("table snapshot refused")
		c.s.metrics.refused()
		return
	}
	c.s.cfg.Logger.Info().Int64("version", snapshot.Version).Msg("table restored from a snapshot")
	c.kept, c.keptBytes = nil, 0
	c.apply(c.reader.SkipTo(snapshot.Version))
	c.answerWaiters()
}

// takePull takes what a peer passed on.
func (c *core) takePull(records []replay.Record, snapshot []byte) {
	if len(snapshot) > 0 {
		s, err := table.DecodeSnapshot(snapshot)
		if err != nil {
			c.s.cfg.Logger.Warn().Err(err).Msg("table snapshot of a peer unreadable")
			c.s.metrics.refused()
			return
		}
		c.restore(s)
	}
	c.apply(c.reader.Add(records...))
	c.publish()
}

func (c *core) apply(ready []replay.Record) {
	for _, record := range ready {
		outcome, verdict, err := c.machine.Apply(table.Record(record))
		if err != nil {
			c.s.cfg.Logger.Error().Err(err).Msg("table record out of order")
			return
		}
		c.keep(record)
		c.note(outcome, verdict)
	}
}

// note logs and counts what a record did.
func (c *core) note(outcome table.Outcome, v table.Verdict) {
	switch outcome {
	case table.OutcomeEdit:
		c.s.cfg.Logger.Info().Str("edit_id", v.EditID).Str("editor", v.Editor).Bool("accepted", v.Accepted).
			Str("reason", string(v.Reason)).Int64("version", v.Version).Int("changes", len(v.Changes)).Msg("table edit")
		c.answer(v)
	case table.OutcomeRepeat:
		c.answer(v)
	case table.OutcomeSnapshot:
		c.snapshotSeen = time.Now()
		c.snapshotSeenAt = c.machine.Version()
	case table.OutcomeDisagrees:
		c.disagreement("log", c.machine.Version()-1)
	case table.OutcomeMalformed:
		c.s.cfg.Logger.Warn().Int64("offset", c.machine.Version()-1).Msg("table record malformed")
	}
	c.s.metrics.record(outcome, v)
}

func (c *core) disagreement(source string, version int64) {
	c.s.cfg.Logger.Error().Str("source", source).Int64("version", version).Msg("table snapshot disagrees and is ignored")
	c.s.metrics.disagreed()
}

// keep stores a record for other processes.
func (c *core) keep(record replay.Record) {
	c.kept = append(c.kept, record)
	c.keptBytes += len(record.Data)
	for len(c.kept) > keptRecords || (c.keptBytes > keptBytes && len(c.kept) > 1) {
		c.keptBytes -= len(c.kept[0].Data)
		c.kept[0].Data = nil
		c.kept = c.kept[1:]
	}
}

// publish puts the machine's table into force if it is newer.
func (c *core) publish() {
	c.s.lag.Store(c.reader.Lag())
	if c.machine.Version() == c.s.Current().Version {
		return
	}
	c.s.publish(c.machine.Table())
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *core) answer(v table.Verdict) {
	for _, w := range c.waiters[v.EditID] {
		w <- v
	}
	delete(c.waiters, v.EditID)
}

// answerWaiters answers those whose verdict came with a snapshot.
func (c *core) answerWaiters() {
	for id := range c.waiters {
		if v, ok := c.machine.Verdict(id); ok {
			c.answer(v)
		}
	}
}

// await returns a channel on which the verdict of an edit ID arrives; it may be there already.
func (c *core) await(editID string) chan table.Verdict {
	w := make(chan table.Verdict, 1)
	if v, ok := c.machine.Verdict(editID); ok {
		w <- v
		return w
	}
	c.waiters[editID] = append(c.waiters[editID], w)
	return w
}

func (c *core) forget(editID string, w chan table.Verdict) {
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

// encoded returns the snapshot of the machine as a record.
func (c *core) encoded() ([]byte, error) {
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
