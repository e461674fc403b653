package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/daemon/peer/progress"
)

// follower reads one topic. It logs a line when reads begin to fail and another when they
// succeed again.
type follower struct {
	front        *Front
	topic        Topic
	next         offset        // to read from
	failingSince time.Duration // when reads began to fail; 0 = they succeed
	failures     int
}

func newFollower(f *Front, topic Topic) *follower {
	return &follower{front: f, topic: topic, next: offset{number: -1}}
}

// read returns the new records of the topic. If the read fails, ok is false, and read has
// waited for the retry delay unless the records were trimmed.
func (w *follower) read(ctx context.Context, wait time.Duration) (got fetchResult, ok bool) {
	if w.failingSince != 0 {
		wait = 0 // do not wait for a change: the first answer after an outage is needed at once
	}
	from := w.next
	got, err := w.front.fetch(ctx, w.topic, from, wait)
	if errors.Is(err, ErrTrimmed) {
		w.front.log.Info().Str("topic", topicNames[w.topic]).Int64("from", from.number).Msg("topic_read_anew")
		w.next.number = -1
		return fetchResult{}, false
	}
	if err != nil {
		w.failed(ctx, err)
		return fetchResult{}, false
	}
	w.succeeded()
	return got, w.advance(got)
}

// advance moves on to the end of what a read from w.next returned. It returns false if that does
// not follow what is known.
func (w *follower) advance(got fetchResult) bool {
	from := w.next
	if got.Era != from.era && from.number >= 0 && !got.full {
		// The records that were asked for are not those that follow the known ones.
		w.front.log.Warn().Str("topic", topicNames[w.topic]).Int64("from", from.number).Int64("era", got.Era).Int64("era_before", from.era).
			Msg("store_came_back_older")
		w.next = offset{number: -1, era: got.Era}
		return false
	}
	w.next = offset{number: got.Next, era: got.Era}
	if got.Partial() {
		w.front.log.Info().Str("topic", topicNames[w.topic]).Int64("next", got.Next).Int64("end", got.End).Msg("topic_read_in_part")
	}
	w.front.topics[w.topic].update(from.number, got)
	return true
}

// failed records a failed read and waits before the next one.
func (w *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.front.metrics.storeFailures.Add(ctx, 1)
	w.failures++
	if w.failingSince == 0 {
		w.failingSince = w.front.now()
		w.front.log.Warn().Str("topic", topicNames[w.topic]).Err(err).Msg("store_lost")
	}
	w.front.topics[w.topic].markUnreadable()
	sleep(ctx, w.front.config.Timing.StoreRetry)
}

// succeeded records a successful read.
func (w *follower) succeeded() {
	if w.failingSince == 0 {
		return
	}
	lasted := w.front.now() - w.failingSince
	w.front.log.Info().Str("topic", topicNames[w.topic]).Dur("lasted_ms", lasted).Int("failures", w.failures).Msg("store_regained")
	w.failingSince, w.failures = 0, 0
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// read reads a topic of the store from an offset on, with a timeout.
func (f *Front) read(ctx context.Context, topic Topic, from int64, wait time.Duration) (mirror.Batch, error) {
	ctx, cancel := progress.WithLimits(ctx, f.readLimits(wait))
	defer cancel()
	return f.config.Store.Read(ctx, topic, from, wait)
}

// newest reads the newest record of each key of a topic of the store, with a timeout.
func (f *Front) newest(ctx context.Context, topic Topic) (mirror.Batch, error) {
	limits := f.readLimits(0)
	limits.First *= 3 // the store looks up all keys before the first byte
	ctx, cancel := progress.WithLimits(ctx, limits)
	defer cancel()
	return f.config.Store.Newest(ctx, topic)
}

// maxReadTime bounds one read of the store, however slowly its bytes come.
const maxReadTime = 15 * time.Second

// readLimits returns the limits of a read of the store that waits for a change. Its length
// depends on the size of the records and on the link, so only its progress is bounded closely.
func (f *Front) readLimits(wait time.Duration) progress.Limits {
	return progress.Limits{First: wait + f.config.Timing.CallTimeout, Stall: f.config.Timing.CallTimeout, Total: wait + maxReadTime}
}

// followConfiguration keeps the configuration current. A read, also one without a new
// version, shows which version was the newest when the read began.
func (f *Front) followConfiguration(ctx context.Context) {
	w := newFollower(f, TopicConfiguration)
	wait := f.config.Timing.ConfigurationWait
	for ctx.Err() == nil {
		got, ok := w.read(ctx, wait)
		if !ok {
			continue
		}
		// What took long to arrive is old already, so the next read must not wait for a change.
		if wait = f.config.Timing.ConfigurationWait; f.now()-got.asOf > f.configurationRefreshAge() {
			wait = 0
		}
		if got.full && len(got.Records) == 0 {
			sleep(ctx, f.config.Timing.StoreRetry)
		}
		f.takeConfiguration(w, got)
	}
}

// takeConfiguration passes on what a read of the configuration shows.
func (f *Front) takeConfiguration(w *follower, got fetchResult) {
	if got.Partial() {
		w.next.number = -1 // the versions before the newest one need not be read
	}
	if !f.applyConfiguration(got) && !got.Partial() && f.hasTable() {
		f.send(tableCurrentMessage{proof: newProof(got)})
	}
}

func (f *Front) hasTable() bool {
	return f.configuration.Load().table != nil
}

// applyConfiguration passes the newest valid version of a batch on to the control
// goroutine. It returns false if there is none.
func (f *Front) applyConfiguration(got fetchResult) bool {
	var newest *routing.Table
	var versions versionOffsets
	begun := f.now()
	size := 0
	for _, r := range got.Records {
		table, err := f.config.Store.DecodeConfiguration(r)
		if errors.Is(err, ErrForeignRow) {
			f.takeOrder(r, got.Era, got.full)
			continue
		}
		versions.add(offset{number: r.Offset, era: got.Era}, err == nil)
		if err != nil {
			f.log.Error().Int64("offset", r.Offset).Err(err).Msg("configuration_unusable")
			f.metrics.unusableConfigurations.Add(f.baseContext, 1)
			continue
		}
		size += len(r.Value)
		if newest == nil || table.Version > newest.Version {
			newest = table
		}
	}
	if got.full && !got.Partial() && versions == (versionOffsets{}) {
		// The store holds no version, so the one that is known here is not shown to be the newest.
		versions.add(offset{number: got.Next, era: got.Era}, false)
		f.log.Warn().Str("source", got.source).Int64("next", got.Next).Int64("era", got.Era).Msg("configuration_absent")
	}
	if newest == nil {
		if versions.superseded() {
			f.send(tableUnusableMessage{versions: versions})
		}
		return false
	}
	f.send(tableMessage{table: newest, versions: versions, proof: newProof(got), partial: got.Partial(), bytes: size, decodeTime: f.now() - begun})
	return true
}

// followEndpoints keeps the list of endpoints current.
func (f *Front) followEndpoints(ctx context.Context) {
	w := newFollower(f, TopicEndpoints)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		got, ok := w.read(ctx, wait)
		if !ok {
			continue
		}
		f.send(rowsMessage{
			rows: f.decodeRows(got.Batch), full: got.full, partial: got.Partial(), relayed: got.relayed, end: got.Next, era: got.Era, asOf: got.asOf,
		})
		if got.Partial() {
			continue
		}
		if wait = f.relayWait(TopicEndpoints); !got.relayed {
			// Rows change all the time, so a read that waits for a change would return at once:
			// the store is read at intervals instead.
			wait = 0
			sleep(ctx, f.config.Timing.EndpointInterval)
		}
	}
}

func (f *Front) decodeRows(batch mirror.Batch) []row {
	rows := make([]row, 0, len(batch.Records))
	for _, r := range batch.Records {
		decoded := row{offset: r.Offset, id: r.Key, removed: r.Value == nil}
		if !decoded.removed {
			endpoint, err := f.config.Store.DecodeEndpoint(r)
			if err != nil {
				decoded.malformed = err.Error()
			}
			decoded.endpoint = endpoint
		}
		rows = append(rows, decoded)
	}
	return rows
}

// followMembers keeps the list of the other entries current.
func (f *Front) followMembers(ctx context.Context) {
	w := newFollower(f, TopicMembers)
	interval := f.config.Timing.MemberInterval / 8 // short at first, since all entries may start at the same time
	for ctx.Err() == nil {
		got, ok := w.read(ctx, 0)
		if !ok {
			sleep(ctx, interval)
			continue
		}
		f.send(membersMessage{records: got.Records})
		f.membersRead.Do(func() { close(f.membersKnown) })
		sleep(ctx, interval)
		interval = min(2*interval, f.config.Timing.MemberInterval)
	}
}

// membersWait limits how long a request to an entry that has just started is held until the entry
// knows by how many its usage caps are shared.
const membersWait = 500 * time.Millisecond

// awaitMembers waits until the list of entries was read. It returns false if that takes too long.
func (f *Front) awaitMembers(ctx context.Context) bool {
	select {
	case <-f.membersKnown:
		return true
	default:
	}
	timer := time.NewTimer(membersWait)
	defer timer.Stop()
	select {
	case <-f.membersKnown:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-f.stopped:
	}
	return false
}

// firstRowDelay limits how long an entry waits for the rows of all entries before it writes its
// own.
const firstRowDelay = 2 * time.Second

// writeMember writes this entry's row to the store at intervals, and removes it when ctx
// ends.
func (f *Front) writeMember(ctx context.Context) {
	// The row of this entry's incarnation before, which the first write replaces, may hold what
	// must be known here.
	select {
	case <-f.membersKnown:
	case <-time.After(firstRowDelay):
	case <-ctx.Done():
	}
	for beat := int64(1); ctx.Err() == nil; beat++ {
		value, err := f.encodeMember(beat)
		if err != nil {
			f.log.Error().Err(err).Msg("member_row_unencodable")
			return
		}
		if err := f.put(ctx, value); err != nil && ctx.Err() == nil {
			f.metrics.storeFailures.Add(ctx, 1)
			f.log.Warn().Int64("beat", beat).Err(err).Msg("member_row_not_written")
		}
		sleep(ctx, f.config.Timing.MemberInterval)
	}
	if err := f.put(context.WithoutCancel(ctx), nil); err != nil {
		f.log.Warn().Err(err).Msg("member_row_not_removed")
	}
}

func (f *Front) put(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.CallTimeout)
	defer cancel()
	f.metrics.storeCalls.Add(ctx, 1)
	return f.config.Store.Put(ctx, TopicMembers, f.config.ID, value)
}
