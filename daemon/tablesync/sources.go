package tablesync

import (
	"context"
	"math/rand/v2"
	"time"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/replay"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	// logPageRecords is the maximum number of records of one read of the log.
	logPageRecords = 500
	// sampledPeers is how many random processes are pulled from at a time while the table is
	// incomplete.
	sampledPeers = 4
)

// markReady makes the Syncer ready, once, and logs where the table came from.
func (s *Syncer) markReady(source string, version int64) {
	if s.ready.CompareAndSwap(false, true) {
		s.cfg.Logger.Info().Str("source", source).Int64("version", version).Msg("table_ready")
	}
}

// readsLog reports whether this process has to poll the log now: the overlay makes it a reader
// of the log, or none of its parents responds.
func (s *Syncer) readsLog() bool {
	position := s.position.Load()
	if position.Reader {
		return true
	}
	for slot := range position.Parents {
		if !s.parentDown[slot].Load() {
			return false
		}
	}
	return true
}

// readLogLoop polls the log while readsLog returns true.
func (s *Syncer) readLogLoop(ctx context.Context) {
	retry := s.backoff()
	for ctx.Err() == nil {
		if !s.readsLog() {
			pause(ctx, s.cfg.Timing.RetryMin)
			continue
		}
		if _, err := s.readPage(ctx, s.cfg.Timing.LogWait); err != nil {
			s.cfg.Logger.Debug().Err(err).Msg("table_log_unreadable")
			retry.wait(ctx)
			continue
		}
		retry.reset()
	}
}

// readPage reads one page of the log, waiting for a record for up to wait, applies it and reports
// whether the log's end was reached.
func (s *Syncer) readPage(ctx context.Context, wait time.Duration) (bool, error) {
	var from int64
	if err := s.do(ctx, func(c *core) { from = c.readOffset() }); err != nil {
		return false, err
	}
	page, err := s.cfg.Log.Read(ctx, s.cfg.Stream, from, logPageRecords, wait)
	if err != nil {
		return false, err
	}
	s.recordContact()
	end := false
	err = s.do(ctx, func(c *core) { end = c.applyPage(page) })
	return end || (len(page.Records) == 0 && page.Next <= from), err
}

// catchUp reads the log up to its current end.
func (s *Syncer) catchUp(ctx context.Context) error {
	for {
		end, err := s.readPage(ctx, 0)
		if err != nil || end {
			return err
		}
	}
}

// checkLogLoop reads the log at long intervals even if this process pulls from parents, so that
// parents that are partitioned, or that pull from each other in a cycle, do not keep the table
// outdated for long.
func (s *Syncer) checkLogLoop(ctx context.Context) {
	for {
		if err := s.catchUp(ctx); err != nil {
			s.cfg.Logger.Debug().Err(err).Msg("table_log_check_failed")
		}
		interval := s.cfg.Timing.LogCheckInterval
		if !s.Ready() {
			interval = s.cfg.Timing.RetryMax
		}
		if !pause(ctx, jitter(interval)) {
			return
		}
	}
}

// pullLoop keeps one long poll open at the parent of a slot.
func (s *Syncer) pullLoop(ctx context.Context, slot int) {
	retry := s.backoff()
	for ctx.Err() == nil {
		parents := s.position.Load().Parents
		if slot >= len(parents) {
			s.parentDown[slot].Store(true)
			pause(ctx, s.cfg.Timing.PositionInterval)
			continue
		}
		begin, before := time.Now(), s.Current().Version
		_, err := s.pull(ctx, parents[slot], s.cfg.Timing.PullWait)
		s.parentDown[slot].Store(err != nil)
		// An early reply without a newer table is retried with backoff, to avoid a tight loop.
		noNews := s.Current().Version == before && time.Since(begin) < s.cfg.Timing.PullWait/2
		if err != nil || noNews {
			retry.wait(ctx)
			continue
		}
		retry.reset()
	}
}

// pull requests records from one process, applies the reply and returns the
// offset after the last record or the snapshot in it.
func (s *Syncer) pull(ctx context.Context, address string, wait time.Duration) (int64, error) {
	var from int64
	if err := s.do(ctx, func(c *core) { from = c.sequencer.Next() }); err != nil {
		return 0, err
	}
	limited, cancel := context.WithTimeout(ctx, wait+s.cfg.Timing.PullGrace)
	defer cancel()
	request := &nodepb.PullRequest{From: from, WaitMs: wait.Milliseconds()}
	reply, err := s.cfg.Peers.Table(address).Pull(limited, request)
	if err != nil {
		return 0, err
	}
	s.recordContact()
	records := make([]replay.Record, 0, len(reply.Records))
	for _, r := range reply.Records {
		records = append(records, replay.Record{Offset: r.Offset, Data: r.Data})
	}
	err = s.do(ctx, func(c *core) { c.applyPull(records, reply.Snapshot) })
	return reply.Next, err
}

// pullFromPeersLoop pulls from several random peers while the table is incomplete: it was never
// complete, or the log no longer holds the next record. The newest table of those peers wins.
func (s *Syncer) pullFromPeersLoop(ctx context.Context) {
	for ctx.Err() == nil {
		needed := !s.Ready()
		_ = s.do(ctx, func(c *core) { needed = needed || c.sequencer.NeedsSnapshot() })
		if needed {
			s.pullFromPeers(ctx)
		}
		pause(ctx, jitter(s.cfg.Timing.RetryMax/2))
	}
}

// pullFromPeers pulls once from sampled peers. The table counts as complete when it is as new as
// the newest of theirs.
func (s *Syncer) pullFromPeers(ctx context.Context) {
	answers := make(chan int64, sampledPeers)
	peers := s.samplePeers()
	for _, peer := range peers {
		go func() {
			next, err := s.pull(ctx, peer.Address, 0)
			if err != nil {
				next = -1
			}
			answers <- next
		}()
	}
	newest := int64(0)
	for range peers {
		newest = max(newest, <-answers)
	}
	// Peers without records don't show that the table is empty: they may be starting too.
	if newest > 0 && s.Current().Version >= newest {
		s.markReady("peers", newest)
	}
}

// samplePeers returns up to sampledPeers random other instances of the list.
func (s *Syncer) samplePeers() []membership.Instance {
	var all []membership.Instance
	for _, i := range s.cfg.Members().All() {
		if i.Address != s.cfg.Self {
			all = append(all, i)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), sampledPeers)]
}
