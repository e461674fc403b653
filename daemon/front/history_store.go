package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/origin"
	"primrosespoke.dev/daemon/peer/progress"
)

// Each entry's row says which versions it saw listed, and up to which place in the list. An entry
// that starts after all others have ended reads the list from that place on, and so knows every
// version that was listed since, as if it had followed the list all the time.

// savedHistory is what a row says, with times of this entry.
type savedHistory struct {
	origin.Summary
	tried bool // the list can't be read from its place on
}

// restoreHistory keeps what an entry's row says about versions.
func (c *control) restoreHistory(now time.Duration, id string, w *versionSummary) {
	if w == nil {
		return
	}
	if known := c.savedHistories[id]; known == nil || known.To != (origin.Position{Era: w.Era, Offset: w.Offset}) {
		c.savedHistories[id] = &savedHistory{Summary: w.summary(now)}
	}
}

// startEmpty lets the history of versions reach back without limit if this is the first start of
// the system.
func (c *control) startEmpty(ownRow bool) {
	if !c.front.config.FirstStart {
		return
	}
	c.front.log.Info().Bool("own_row", ownRow).Msg("first_start")
	if !ownRow {
		c.versions.StartEmpty()
	}
}

// historyMessage asks for the row from which the history can best be extended; nil = none.
type historyMessage struct{ reply chan<- *savedHistory }

func (m historyMessage) apply(c *control) {
	var best *savedHistory
	from, known := c.versions.From()
	own, _ := c.versions.Summary()
	for _, h := range c.savedHistories {
		if !known || h.tried || h.To.Era != from.Era || h.Since >= own.Since || h.Since > c.front.now()-c.saving.lifetime {
			continue
		}
		if best == nil || h.To.Offset > best.To.Offset {
			best = h
		}
	}
	m.reply <- best
}

// extendedMessage delivers the history of a row, extended up to the present end of the list.
type extendedMessage struct {
	from     *savedHistory
	extended *origin.Summary // nil = the list can't be read from its place on
}

func (m extendedMessage) apply(c *control) {
	m.from.tried = true
	if m.extended != nil {
		c.versions.Extend(*m.extended)
	}
}

// extendHistory extends the history of the list by what an entry's row says and by what was listed
// since, unless the history reaches back far enough.
func (f *Front) extendHistory(ctx context.Context) {
	reply := make(chan *savedHistory, 1)
	f.send(historyMessage{reply})
	var saved *savedHistory
	select {
	case saved = <-reply:
	case <-f.stopped:
	}
	if saved == nil {
		return
	}
	begun, rows := f.now(), 0
	extended := origin.Summary{Since: saved.Since, To: saved.To, Versions: map[string][]string{}}
	for service, versions := range saved.Versions {
		extended.Versions[service] = append([]string(nil), versions...)
	}
	for partial := true; partial; {
		callContext, cancel := progress.WithLimits(ctx, f.readLimits(0))
		f.metrics.storeCalls.Add(ctx, 1)
		batch, err := f.config.Store.Read(callContext, TopicEndpoints, extended.To.Offset, 0)
		cancel()
		switch {
		case errors.Is(err, ErrTrimmed) || err == nil && batch.Era != saved.To.Era:
			f.log.Info().Int64("from", saved.To.Offset).Msg("version_history_not_extended")
			f.send(extendedMessage{from: saved})
			return
		case err != nil:
			if ctx.Err() == nil {
				f.metrics.storeFailures.Add(ctx, 1)
				f.log.Warn().Int64("from", extended.To.Offset).Err(err).Msg("version_history_not_read")
			}
			return
		}
		for _, r := range f.decodeRows(batch) {
			if !r.removed && r.malformed == "" {
				extended.Versions[r.endpoint.Service] = append(extended.Versions[r.endpoint.Service], r.endpoint.Version)
			}
		}
		rows += len(batch.Records)
		partial = batch.Partial() && batch.Next > extended.To.Offset
		extended.To.Offset = batch.Next
	}
	f.log.Info().Int64("from", saved.To.Offset).Int64("to", extended.To.Offset).Int("rows", rows).Int64("reaches_back_ms", (f.now()-extended.Since).Milliseconds()).
		Int64("took_ms", (f.now() - begun).Milliseconds()).Msg("version_history_extended")
	f.send(extendedMessage{from: saved, extended: &extended})
}
