package front

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/rollout"
	"primrosespoke.dev/coord/scheduler"
)

// Roll-outs of software versions; see package rollout for the load that they answer. Orders come
// with the operator's rows, verdicts go to the topic of statuses. Any front may write them: the one
// that rendezvous hashing selects for the service among those that are heard.

const (
	// rolloutInterval is the time between two steps of the roll-outs.
	rolloutInterval = 50 * time.Millisecond
	// statusInterval is the time between two reads of the statuses while an order has no verdict,
	// and shortStatusInterval that of a front that writes them or hears fewer than half of the others.
	statusInterval, shortStatusInterval = 3 * time.Second, 700 * time.Millisecond
	// tryWithout is for how long a front tries a version without news of verdicts, as a share of
	// Config.RollbackWithin. The rest is for requests that are under way.
	tryWithout = 0.4
	// statusRounds limits the rounds of reading and writing statuses without a pause.
	statusRounds = 4
	// promptTokensPerWeight is the number of prompt tokens that take as long as a short request.
	promptTokensPerWeight = 1200.0
)

// StatusRow is a row of the topic of statuses.
type StatusRow struct {
	Service, Target string
	// Phase is Running, RolledBack or Completed.
	Phase rollout.Phase
}

// followsRollouts reports whether the deployment states the bounds that roll-outs need.
func (f *Front) followsRollouts() bool {
	return f.config.ExposureShare > 0 && f.config.RollbackWithin > 0
}

// rolloutState is what the control goroutine knows of roll-outs.
type rolloutState struct {
	set                           *rollout.Set         // nil = roll-outs are off
	steppedAt, readAt, statusesAt time.Duration        // of the last step, of the last request for a read and of the last read
	statuses                      map[string]StatusRow // as last read, by service
	read                          bool                 // the statuses of era were read
	era                           int64
	counted                       map[string]rollout.Pair  // what the metrics have counted, by service
	logged                        map[string]loggedRollout // by service
}

func newRolloutState(f *Front) rolloutState {
	if !f.followsRollouts() {
		return rolloutState{}
	}
	return rolloutState{
		set:      rollout.NewSet(rollout.Config{Self: f.config.ID, ExposureShare: min(f.config.ExposureShare, 1), ExposureSlack: f.config.ExposureSlack}),
		statuses: map[string]StatusRow{}, counted: map[string]rollout.Pair{}, logged: map[string]loggedRollout{},
	}
}

// rolloutVersions is the scheduler's view of the roll-outs.
type rolloutVersions struct {
	set *rollout.Set
	now func() time.Duration
}

// Admits implements scheduler.Versions.
func (v rolloutVersions) Admits(r *scheduler.Request, endpoint, version string) bool {
	return v.set.Admits(r.Service, rollout.Request{Route: r.Route, Version: r.Version, Repeated: len(r.Avoid) > 0}, endpoint, version)
}

// Prefers implements scheduler.Versions.
func (v rolloutVersions) Prefers(service, version string) bool {
	return v.set.Prefers(service, version)
}

// Closed implements scheduler.Versions.
func (v rolloutVersions) Closed(service, version string) bool { return v.set.Closed(service, version) }

// Placed implements scheduler.Versions.
func (v rolloutVersions) Placed(r *scheduler.Request, p scheduler.Placement) {
	v.set.Placed(v.now(), rollout.Placement{
		ID: r.ID, Service: r.Service, Route: r.Route, Version: p.Version, Repeatable: r.Repeatable,
		Weight: 1 + float64(max(r.PromptTokens, 0))/promptTokensPerWeight,
	})
}

// orderMessage delivers a row that orders a roll-out.
type orderMessage struct {
	order rollout.Order
	late  bool // the row may have been there before
}

func (m orderMessage) apply(c *control) {
	now := c.front.now()
	c.rollouts.set.Observe(now, m.order, m.late)
	c.front.log.Info().Str("service", m.order.Service).Str("target", m.order.Target).Dur("duration_ms", m.order.Duration).
		Int64("offset", m.order.ID.Offset).Int64("era", m.order.ID.Era).Bool("late", m.late).Msg("rollout_ordered")
	c.rolloutEra(m.order.ID.Era)
}

// rolloutEra has the statuses read again where the store came back from an older copy.
func (c *control) rolloutEra(era int64) {
	if c.rollouts.set != nil && era > c.rollouts.era {
		c.rollouts.era, c.rollouts.read = era, false
	}
}

// takeOrder passes on an order of a row that is no configuration. Without the bounds that roll-outs
// need, orders are ignored.
func (f *Front) takeOrder(r mirror.Record, era int64, full bool) {
	order, err := f.config.Store.DecodeOrder(r)
	switch {
	case errors.Is(err, ErrForeignRow):
	case !f.followsRollouts():
		f.rolloutsOff.Do(func() { f.log.Warn().Str("row", r.Key).Msg("rollouts_off_order_ignored") })
	case err != nil:
		f.log.Warn().Str("row", r.Key).Int64("offset", r.Offset).Err(err).Msg("rollout_order_unusable")
	default:
		order.ID = rollout.ID{Era: era, Offset: r.Offset}
		f.send(orderMessage{order: order, late: full})
	}
}

// listRollouts tells the roll-outs which versions are listed.
func (c *control) listRollouts() {
	if c.rollouts.set == nil {
		return
	}
	listed := map[string]map[string]string{}
	for id, e := range c.usable {
		if listed[e.Service] == nil {
			listed[e.Service] = map[string]string{}
		}
		listed[e.Service][id] = e.Version
	}
	c.rollouts.set.SetListed(listed)
}

// endRun records how an attempt ended.
func (c *control) endRun(now time.Duration, id uint64, outcome scheduler.Outcome) {
	if c.rollouts.set != nil {
		c.rollouts.set.Ended(now, id, rolloutResults[outcome])
	}
}

var rolloutResults = map[scheduler.Outcome]rollout.Result{
	scheduler.Answered: rollout.Answered, scheduler.Failed: rollout.Failed, scheduler.Unreachable: rollout.Failed,
	scheduler.Rejected: rollout.Unjudged, scheduler.Abandoned: rollout.Abandoned,
}

// stepRollouts decides on the phases, and has the statuses read or written where that is due.
func (c *control) stepRollouts(now time.Duration) {
	s := &c.rollouts
	if s.set == nil || now < s.steppedAt+rolloutInterval {
		return
	}
	s.steppedAt = now
	heard, entries := c.members.heard(now), 0
	if c.membersRead {
		entries = c.members.count()
	}
	lonely := 2*len(heard) < len(c.members.all)
	current := !lonely && len(heard) > 0 || s.read && now < s.statusesAt+shareOf(c.front.config.RollbackWithin, tryWithout)
	writes := func(service string) bool { return c.writesRollout(service, heard) }
	at := rollout.Situation{Entries: entries, Heard: heard, Current: current, Stored: s.read && now < s.statusesAt+2*shortStatusInterval}
	if s.set.Step(now, at, writes) {
		c.reporting.urgent = true // the others need not wait for the next full report
	}
	c.observeRollouts(now)
	interval := statusInterval
	if lonely || len(heard) == 0 || slices.ContainsFunc(slices.Collect(maps.Keys(s.logged)), writes) {
		interval = shortStatusInterval
	}
	due := !s.read || s.set.Undecided() && now >= s.statusesAt+interval || len(c.unwrittenStatuses(now, heard)) > 0
	if due && now >= s.readAt+c.front.config.Timing.StoreRetry {
		s.readAt = now
		select {
		case c.front.statusReads <- struct{}{}:
		default: // one is under way
		}
	}
}

// writesRollout reports whether this front writes the status of a service.
func (c *control) writesRollout(service string, heard []string) bool {
	fronts := []membership.Instance{{ID: c.front.config.ID}}
	for _, name := range heard {
		fronts = append(fronts, membership.Instance{ID: name})
	}
	return membership.Rendezvous("rollout/"+service, fronts)[0].ID == c.front.config.ID
}

// unwrittenStatuses returns the statuses that this front should write.
func (c *control) unwrittenStatuses(now time.Duration, heard []string) []StatusRow {
	var rows []StatusRow
	for _, status := range c.rollouts.set.Wanted(now, heard) {
		if row := StatusRow(status); c.rollouts.read && row != c.rollouts.statuses[row.Service] && c.writesRollout(row.Service, heard) {
			rows = append(rows, row)
		}
	}
	return rows
}

// loggedRollout is what was last logged of a roll-out.
type loggedRollout struct{ target, phase, reason string }

// observeRollouts logs each change of a phase, whoever decided on it, and counts what this front has
// seen of both versions.
func (c *control) observeRollouts(now time.Duration) {
	s := &c.rollouts
	for _, d := range s.set.Describe(now) {
		if before, current := s.logged[d.Service], (loggedRollout{target: d.Target, phase: d.Phase, reason: d.Reason}); before != current {
			s.logged[d.Service] = current
			c.front.log.Info().Str("service", d.Service).Str("target", d.Target).Str("phase", d.Phase).Str("before", before.phase).
				Str("target_before", before.target).Str("reason", d.Reason).Int64("age_ms", d.Age.Milliseconds()).Int64("duration_ms", d.Duration.Milliseconds()).
				Int64("old_sent", d.Old.Sent).Int64("old_answered", d.Old.Answered).Int64("old_bad", d.Old.Bad).
				Int64("new_sent", d.New.Sent).Int64("new_answered", d.New.Answered).Int64("new_bad", d.New.Bad).Msg("rollout_phase_changed")
			c.front.metrics.rolloutPhase(d.Service, d.Phase)
		}
		before := s.counted[d.Service]
		for _, each := range []struct {
			version     string
			now, before rollout.Counts
		}{{"old", d.Own.Old, before.Old}, {"target", d.Own.New, before.New}} {
			if each.now.Answered < each.before.Answered { // another order
				each.before = rollout.Counts{}
			}
			bad := each.now.Bad - each.before.Bad
			c.front.metrics.rolloutAnswered(d.Service, each.version, "bad", bad)
			c.front.metrics.rolloutAnswered(d.Service, each.version, "good", each.now.Answered-each.before.Answered-bad)
		}
		s.counted[d.Service] = d.Own
	}
}

// followStatuses reads the statuses when that is due, and writes those that this front should
// write, until ctx ends.
func (f *Front) followStatuses(ctx context.Context) {
	if !f.followsRollouts() {
		return
	}
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.statusReads:
		}
		err := f.exchangeStatuses(ctx)
		if err != nil && ctx.Err() == nil {
			f.metrics.storeFailures.Add(ctx, 1)
			if !failing {
				f.log.Warn().Str("topic", topicNames[TopicStatuses]).Err(err).Msg("store_lost")
			}
		}
		failing = err != nil
	}
}

// exchangeStatuses reads the statuses and writes one at a time, each under the condition that
// nothing was written since the read. What came of a write is seen in the next read, also if its
// answer is lost.
func (f *Front) exchangeStatuses(ctx context.Context) error {
	for range statusRounds {
		sentAt := f.now()
		f.metrics.storeCalls.Add(ctx, 1)
		batch, err := f.newest(ctx, TopicStatuses)
		if err != nil {
			return err
		}
		reply := make(chan []StatusRow, 1)
		f.send(statusesMessage{rows: f.decodeStatuses(batch), era: batch.Era, asOf: sentAt, reply: reply})
		var rows []StatusRow
		select {
		case rows = <-reply:
		case <-f.stopped:
		}
		if len(rows) == 0 {
			return nil
		}
		err = f.writeStatus(ctx, rows[0], batch.Next)
		f.log.Info().Str("service", rows[0].Service).Str("target", rows[0].Target).Stringer("state", rows[0].Phase).Int64("at", batch.Next).
			Int64("era", batch.Era).AnErr("error", err).Msg("rollout_status_write")
		if err != nil && !errors.Is(err, ErrMoved) {
			f.metrics.storeFailures.Add(ctx, 1)
		}
	}
	return nil
}

func (f *Front) writeStatus(ctx context.Context, row StatusRow, at int64) error {
	key, value, err := f.config.Store.EncodeStatus(row)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.CallTimeout)
	defer cancel()
	f.metrics.storeCalls.Add(ctx, 1)
	return f.config.Store.PutAt(ctx, TopicStatuses, key, value, at)
}

// placedStatus is a status with the offset of its row.
type placedStatus struct {
	StatusRow
	offset int64
}

func (f *Front) decodeStatuses(batch mirror.Batch) []placedStatus {
	var rows []placedStatus
	for _, r := range batch.Records {
		row, err := f.config.Store.DecodeStatus(r)
		switch {
		case errors.Is(err, ErrForeignRow):
		case err != nil:
			f.log.Warn().Str("row", r.Key).Int64("offset", r.Offset).Err(err).Msg("rollout_status_unusable")
		default:
			rows = append(rows, placedStatus{StatusRow: row, offset: r.Offset})
		}
	}
	return rows
}

// statusesMessage delivers all statuses that the store has, and asks for those that this front
// should write.
type statusesMessage struct {
	rows  []placedStatus
	era   int64
	asOf  time.Duration
	reply chan<- []StatusRow
}

func (m statusesMessage) apply(c *control) {
	s, now := &c.rollouts, c.front.now()
	if m.era < s.era {
		m.reply <- nil
		return
	}
	statuses := map[string]StatusRow{}
	for _, r := range m.rows {
		if known := s.statuses[r.Service]; known != r.StatusRow {
			c.front.log.Info().Str("service", r.Service).Str("target", r.Target).Stringer("state", r.Phase).Int64("offset", r.offset).Int64("era", m.era).
				Msg("rollout_status_read")
		}
		statuses[r.Service] = r.StatusRow
		s.set.Status(r.Service, r.Target, r.Phase, rollout.ID{Era: m.era, Offset: r.offset})
	}
	s.set.Informed()
	s.statuses, s.read, s.era, s.statusesAt = statuses, true, m.era, m.asOf
	m.reply <- c.unwrittenStatuses(now, c.members.heard(now))
}

// rolloutDump is the state of a roll-out in the state dump.
type rolloutDump struct {
	Service    string `json:"service"`
	Target     string `json:"target"`
	Phase      string `json:"phase"`
	Reason     string `json:"reason,omitempty"`
	Written    bool   `json:"written,omitempty"` // the store has the verdict
	Writer     bool   `json:"writer,omitempty"`  // this front writes the status
	AgeMS      int64  `json:"age_ms"`
	DurationMS int64  `json:"duration_ms"`
	// Routes holds what all fronts have seen of both versions.
	Routes map[string]rollout.Pair `json:"routes,omitempty"`
}

func (c *control) dumpRollouts(now time.Duration) []rolloutDump {
	if c.rollouts.set == nil {
		return nil
	}
	var list []rolloutDump
	for _, d := range c.rollouts.set.Describe(now) {
		list = append(list, rolloutDump{
			Service: d.Service, Target: d.Target, Phase: d.Phase, Reason: d.Reason, Written: d.Written, Writer: c.writesRollout(d.Service, c.members.heard(now)),
			AgeMS: d.Age.Milliseconds(), DurationMS: d.Duration.Milliseconds(), Routes: d.Evidence,
		})
	}
	return list
}
