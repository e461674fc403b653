package front

import (
	"time"

	"primrosespoke.dev/coord/directory"
	"primrosespoke.dev/coord/staleness"
)

// rowsMessage delivers rows of the list of endpoints.
type rowsMessage struct {
	rows []row
	// full is set if rows is the complete list as of the offset end.
	full bool
	// partial is set if there were further rows at asOf.
	partial bool
	// relayed is set if another entry sent the rows, whose list may be the older one.
	relayed bool
	end     int64
	era     int64 // of the offsets
	// asOf is the moment up to which the rows are known to be complete.
	asOf time.Duration
}

// row is a decoded record of the list of endpoints.
type row struct {
	offset   int64
	id       string
	endpoint directory.Endpoint
	removed  bool
	// malformed says why the record can't be used; empty = it is valid.
	malformed string
}

func (m rowsMessage) apply(c *control) {
	now := c.front.now()
	if !m.partial {
		c.confirmList(now, m.asOf)
	}
	if m.era > c.listEra {
		c.rewindList(now, m.era)
	}
	changed := false
	c.observePassed(m)
	listed := map[string]bool{}
	for _, r := range m.rows {
		listed[r.id] = !r.removed
		change := c.applyRow(r)
		changed = changed || change != directory.Unchanged
	}
	if !m.full || m.relayed {
		c.directory.Advance(m.end)
	} else {
		c.directory.Restart(m.end)
	}
	if m.full {
		c.dropEndpoints(c.directory.Replace(now, m.end, listed), "not in the list")
	}
	if changed || m.full {
		c.endpointsChanged()
	}
	if c.listEnd = max(c.listEnd, m.end); !m.partial {
		c.observeVersions()
	}
	c.publishEndpoints(now)
}

// rewindList prepares for the list of a store that came back from an older copy: offsets start
// anew, and endpoints that are missing may only have to register again.
func (c *control) rewindList(now time.Duration, era int64) {
	if c.listEra > 0 {
		c.front.log.Info().Int64("era", era).Int64("era_before", c.listEra).Msg("endpoint_list_rewound")
		c.directory.Rewind(now)
		c.directory.EndOutage(now)
	}
	c.listEra, c.listEnd = era, 0
}

// confirmList records the moment up to which the list of endpoints is complete. After a gap
// in which the list could not be read, rows may have expired in an outage, unless another
// entry read the list throughout.
func (c *control) confirmList(now, asOf time.Duration) {
	if !c.list.Confirm(asOf) {
		return
	}
	gap, _ := c.list.LastGap()
	witness, witnessed := c.list.Witness()
	c.front.log.Info().Int64("lasted_ms", (gap.To-gap.From).Milliseconds()).Bool("outage_assumed", !witnessed).
		Str("read_by", witness).Msg("endpoint_list_regained")
	if !witnessed {
		c.directory.EndOutage(now)
	}
}

// reviewOutage drops the endpoints whose rows were taken for expired in an outage, once
// another entry's report shows that there was none.
func (c *control) reviewOutage() {
	if !c.directory.HasLapsed() {
		return
	}
	if witness, ok := c.list.Witness(); ok {
		c.front.log.Info().Str("read_by", witness).Msg("outage_ruled_out")
		c.dropEndpoints(c.directory.CancelOutage(), "removed, not expired: there was no outage")
	}
}

// leavingMessage reports that an endpoint said in an answer that it leaves.
type leavingMessage struct {
	endpoint  string
	born      int64
	requestID string
}

func (m leavingMessage) apply(c *control) {
	now := c.front.now()
	if !c.directory.MarkLeaving(now, m.endpoint, m.born) {
		return
	}
	c.front.log.Info().Str("endpoint", m.endpoint).Str("request_id", m.requestID).Msg("endpoint_leaving")
	c.endpointsChanged()
	c.publishEndpoints(now)
}

// readFailedMessage reports that a read of the list of endpoints or of the configuration from
// the store failed.
type readFailedMessage struct {
	topic  Topic
	sentAt time.Duration
}

func (m readFailedMessage) apply(c *control) {
	if source := c.source(m.topic); source != nil {
		source.Failed(m.sentAt)
	}
}

// source returns the monitor of a topic's source, or nil.
func (c *control) source(topic Topic) *staleness.Monitor {
	switch topic {
	case TopicEndpoints:
		return c.list
	case TopicConfiguration:
		return c.configurationSource
	}
	return nil
}

// applyRow updates the directory by one row and logs the change.
func (c *control) applyRow(r row) directory.Change {
	now := c.front.now()
	var change directory.Change
	switch {
	case r.malformed != "":
		change = c.directory.RemoveMalformed(r.offset, r.id)
		c.front.log.Warn().Str("endpoint", r.id).Str("reason", r.malformed).Msg("endpoint_row_unusable")
	case r.removed:
		change = c.directory.Remove(now, r.offset, r.id)
	default:
		change = c.directory.Put(r.offset, r.endpoint)
		if change == directory.Added {
			for _, ambiguous := range c.origins.Listed(r.id, r.endpoint.Born, r.endpoint.Version) {
				c.tellOrigins(ambiguous)
				c.saveOrigin(ambiguous)
			}
		}
	}
	if change != directory.Unchanged {
		c.front.log.Info().Str("endpoint", r.id).Str("service", r.endpoint.Service).
			Str("address", r.endpoint.Address).Bool("draining", r.endpoint.Draining).Str("version", r.endpoint.Version).
			Int64("offset", r.offset).Str("change", changeNames[change]).Msg("endpoint_changed")
	}
	return change
}

// changeNames are the values of the log field change.
var changeNames = map[directory.Change]string{
	directory.Added: "added", directory.Updated: "updated",
	directory.Removed: "removed", directory.Lapsed: "lapsed",
}

// dropEndpoints logs endpoints that were removed from the directory and updates the
// scheduler.
func (c *control) dropEndpoints(ids []string, reason string) {
	for _, id := range ids {
		c.front.log.Info().Str("endpoint", id).Str("reason", reason).Msg("endpoint_dropped")
	}
	if len(ids) > 0 {
		c.endpointsChanged()
	}
}

// endpointsChanged passes the current endpoints on to the scheduler, and closes the
// connections to those that are gone.
func (c *control) endpointsChanged() {
	rows := c.directory.All()
	c.scheduler.SetEndpoints(rows)
	kept := make(map[string]bool, len(rows))
	c.usable, c.born = make(map[string]directory.Endpoint, len(rows)), make(map[string]int64, len(rows))
	for _, r := range rows {
		kept[r.Address] = true
		c.born[r.ID] = r.Born
		if !r.Draining {
			c.usable[r.ID] = r
		}
	}
	c.listRollouts()
	c.retainLimits()
	c.placesChanged()
	c.front.pool.Retain(func(address string) bool { return kept[address] })
}
