package front

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/routing"
)

// follower reads one topic, and tells of its reachability: a line when it is lost and
// one when it is regained.
type follower struct {
	front        *Front
	topic        Topic
	next         int64         // offset to read from; -1 = the whole topic
	failingSince time.Duration // since when reads fail; 0 = they don't
	failures     int
}

func newFollower(f *Front, topic Topic) *follower {
	return &follower{front: f, topic: topic, next: -1}
}

// read returns what is new. After a failure it has waited for a moment, and ok is
// false. Regained tells that records may have lapsed in an outage that has ended.
func (w *follower) read(ctx context.Context, wait time.Duration) (got fetchResult, regained, ok bool) {
	if w.failingSince != 0 {
		wait = 0 // the first answer after an outage is wanted at once
	}
	from := w.next
	got, err := w.front.fetch(ctx, w.topic, from, wait)
	if errors.Is(err, ErrTrimmed) {
		w.front.log.Info().Str("topic", topicNames[w.topic]).Int64("from", from).Msg("topic_read_anew")
		w.next = -1
		return fetchResult{}, false, false
	}
	if err != nil {
		w.failed(ctx, err)
		return fetchResult{}, false, false
	}
	regained = w.succeeded()
	w.next = got.Next
	w.front.topics[w.topic].update(from, got)
	return got, regained, true
}

// failed notes a failed read and waits before the next.
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

// minOutage is how long reads must have failed for rows to be thought lapsed.
const minOutage = 800 * time.Millisecond

// succeeded notes a read that was answered. It tells whether an outage ended.
func (w *follower) succeeded() bool {
	if w.failingSince == 0 {
		return false
	}
	lasted := w.front.now() - w.failingSince
	w.front.log.Info().Str("topic", topicNames[w.topic]).Dur("lasted_ms", lasted).Int("failures", w.failures).Msg("store_regained")
	w.failingSince, w.failures = 0, 0
	return lasted >= minOutage
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// read bounds a read of a topic.
func (f *Front) read(ctx context.Context, topic Topic, from int64, wait time.Duration) (mirror.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.config.Timing.CallTimeout)
	defer cancel()
	return f.config.Store.Read(ctx, topic, from, wait)
}

// newest bounds a read of a whole topic.
func (f *Front) newest(ctx context.Context, topic Topic) (mirror.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*f.config.Timing.CallTimeout)
	defer cancel()
	return f.config.Store.Newest(ctx, topic)
}

// followConfiguration keeps the configuration current. A read proves the moment it was asked.
func (f *Front) followConfiguration(ctx context.Context) {
	w := newFollower(f, TopicConfiguration)
	for ctx.Err() == nil {
		got, _, ok := w.read(ctx, f.config.Timing.ConfigurationWait)
		if !ok || f.applyConfiguration(got.Batch, got.asOf) {
			continue
		}
		if got.full && len(got.Records) == 0 {
			f.log.Warn().Msg("no_configuration_yet")
			sleep(ctx, f.config.Timing.StoreRetry)
		}
		if f.hasTable() {
			f.send(tableCurrentMessage{asOf: got.asOf})
		}
	}
}

func (f *Front) hasTable() bool {
	return f.configuration.Load().table != nil
}

// applyConfiguration puts the newest usable row of a batch in force; false if there is none.
func (f *Front) applyConfiguration(batch mirror.Batch, asked time.Duration) bool {
	var newest *routing.Table
	for _, r := range batch.Records {
		table, err := f.config.Store.DecodeConfiguration(r)
		if errors.Is(err, ErrForeignRow) {
			continue
		}
		if err != nil {
			f.log.Error().Int64("offset", r.Offset).Err(err).Msg("configuration_unusable")
			continue
		}
		if newest == nil || table.Version > newest.Version {
			newest = table
		}
	}
	if newest == nil {
		return false
	}
	f.send(tableMessage{table: newest, asOf: asked})
	return true
}

// followEndpoints keeps the list of endpoints current.
func (f *Front) followEndpoints(ctx context.Context) {
	w := newFollower(f, TopicEndpoints)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		got, regained, ok := w.read(ctx, wait)
		if !ok {
			continue
		}
		f.send(rowsMessage{rows: f.decodeRows(got.Batch), full: got.full, end: got.Next, recovered: regained})
		if wait = relayWait; !got.relayed {
			// Rows change all the time, so the store is asked at intervals.
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

// followMembers reads the other entries' rows.
func (f *Front) followMembers(ctx context.Context) {
	w := newFollower(f, TopicMembers)
	interval := f.config.Timing.MemberInterval / 8 // the first reads follow soon, as all start at once
	for ctx.Err() == nil {
		got, _, ok := w.read(ctx, 0)
		if !ok {
			sleep(ctx, interval)
			continue
		}
		f.send(membersMessage{records: got.Records})
		sleep(ctx, interval)
		interval = min(2*interval, f.config.Timing.MemberInterval)
	}
}

// writeMember keeps this entry's row in the store, and removes it at the end.
func (f *Front) writeMember(ctx context.Context) {
	for beat := int64(1); ctx.Err() == nil; beat++ {
		value, err := json.Marshal(member{
			Address: f.config.PeerAddress, FailureDomain: f.config.FailureDomain, Incarnation: f.incarnation, Beat: beat,
		})
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
