package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/overlay"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
	"primrosespoke.dev/daemon/peer/progress"
)

const (
	// maxDirectReaders is the number of entries up to which every entry reads the store
	// itself.
	maxDirectReaders = 8
	// relayWait is how long a read of another front waits for a change.
	relayWait = 500 * time.Millisecond
	// storeReaderWait limits how long a front's read of the store waits for a change while
	// it passes topics on to others. It bounds the age of what they receive.
	storeReaderWait = 600 * time.Millisecond
	// relayReadTimeout limits a read of another front, in addition to the time that the
	// read waits for a change.
	relayReadTimeout = 250 * time.Millisecond
	// maxRelayLag, added to the time between two reads of the topic, is the maximum age of
	// the list of entries that is accepted from another front: a front that loses contact with
	// the store goes on serving outdated records at first.
	maxRelayLag = 700 * time.Millisecond
	// waitSlack is how much sooner than at the end of its wait an answer of the store may seem to
	// come, since clocks of two machines run at slightly different rates.
	waitSlack = 10 * time.Millisecond
	// waitDistrust is how long no answer of the store proves the end of its wait after one that
	// came before that.
	waitDistrust = time.Minute
	// relayExclusion is how long a front is not asked after a read of it failed.
	relayExclusion = 2 * time.Second
)

// relayTopology describes the tree of fronts: three read the store, and each front is
// the first parent of up to twelve others. Up to 39 fronts are within one step of a
// reader, and 471 within two.
var relayTopology = overlay.Topology{Readers: 3, Fanout: 12}

// fetchResult is what a read of a topic returned, from the store or from another front.
type fetchResult struct {
	mirror.Batch
	// full is set if the batch holds the newest record of every key, not only changes.
	full bool
	// asOf is the moment up to which the records are known to be complete.
	asOf time.Duration
	// relayed is set if the records came from another front.
	relayed bool
	// source is the address of that front, or sourceStore.
	source string
	// waited is set if asOf is the end of the time for which the read waited for a change.
	waited bool
	// took is the time from the send of the read to the end of the answer.
	took time.Duration
}

// sourceStore is the source of what was read from the store itself.
const sourceStore = "store"

// offset is where a reader stands in a topic.
type offset struct {
	number int64 // of the next record; -1 = the newest record of each key
	era    int64 // see mirror.Batch
}

// relayPosition is a front's position in the tree in which fronts pass topics on.
type relayPosition struct {
	readsStore   bool     // the front reads the store itself
	allReadStore bool     // all fronts do, since there are at most maxDirectReaders
	parents      []string // addresses of the fronts to read from
}

// relayClient reads topics from other fronts.
type relayClient struct {
	client   *node.Client
	position atomic.Pointer[relayPosition]

	mu                 sync.Mutex
	excludedUntil      map[string]time.Duration // by address of a parent whose read failed
	fallbacks          map[Topic][]string       // addresses of other fronts with recent copies of a topic
	storeExcludedUntil time.Duration            // after a failed read of the store
	waitsCutUntil      time.Duration            // until when the store is not relied on to keep a read waiting
}

func newRelayClient() *relayClient {
	r := &relayClient{client: node.NewClient(), excludedUntil: map[string]time.Duration{}, fallbacks: map[Topic][]string{}}
	r.position.Store(&relayPosition{readsStore: true, allReadStore: true})
	return r
}

// locateRelay computes this front's position from its view of the set of fronts. If the
// views of fronts differ, more calls are made, but what is read remains correct.
func locateRelay(self, domain string, m *members) relayPosition {
	if m.count() <= maxDirectReaders {
		return relayPosition{readsStore: true, allReadStore: true}
	}
	instances := []membership.Instance{{ID: m.self, Role: membership.RoleEntry, Address: self, FailureDomain: domain}}
	for id, s := range m.all {
		instances = append(instances, membership.Instance{
			ID: id, Role: membership.RoleEntry, Address: s.Address, FailureDomain: s.FailureDomain,
		})
	}
	position := relayTopology.Locate(membership.NewView(instances), self)
	return relayPosition{readsStore: position.Reader, parents: position.Parents}
}

// usableParents returns the parents that are not excluded after a failure.
func (r *relayClient) usableParents(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notExcluded(now, r.position.Load().parents)
}

// notExcluded returns the addresses of fronts that are not excluded. The caller holds mu.
func (r *relayClient) notExcluded(now time.Duration, addresses []string) []string {
	var usable []string
	for _, address := range addresses {
		if now >= r.excludedUntil[address] {
			usable = append(usable, address)
		}
	}
	return usable
}

// exclude skips a parent until a moment.
func (r *relayClient) exclude(address string, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludedUntil[address] = until
}

// setFallbacks sets the fronts that are asked for a topic if the store can't be read.
func (r *relayClient) setFallbacks(topic Topic, addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallbacks[topic] = addresses
}

// excludeStore prefers other fronts to the store until a moment.
func (r *relayClient) excludeStore(until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeExcludedUntil = until
}

// storeKeepsWaits reports whether the store is relied on to keep a read waiting for as long as it
// was asked to.
func (r *relayClient) storeKeepsWaits(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now >= r.waitsCutUntil
}

// distrustWaits stops relying on that until a moment.
func (r *relayClient) distrustWaits(until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitsCutUntil = until
}

// sourcesAt returns the fronts to ask for a topic if the store can't be read, and whether they
// are to be asked before the store.
func (r *relayClient) sourcesAt(now time.Duration, topic Topic) (fallbacks []string, storeExcluded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notExcluded(now, r.fallbacks[topic]), now < r.storeExcludedUntil
}

// setPosition sets the front's position in the tree. It reports whether the position changed.
func (r *relayClient) setPosition(position relayPosition) bool {
	known := r.position.Swap(&position)
	same := known.readsStore == position.readsStore && known.allReadStore == position.allReadStore && len(known.parents) == len(position.parents)
	for i := range position.parents {
		same = same && known.parents[i] == position.parents[i]
	}
	if same {
		return false
	}
	kept := map[string]bool{}
	for _, address := range position.parents {
		kept[address] = true
	}
	r.client.Retain(func(address string) bool { return kept[address] })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludedUntil = map[string]time.Duration{}
	return true
}

// fetch reads a topic from an offset on, from the first parent that answers or else from the
// store. The list of endpoints and the configuration are read from other fronts with recent
// copies if the store can't be read.
func (f *Front) fetch(ctx context.Context, topic Topic, from offset, wait time.Duration) (fetchResult, error) {
	got, ok := f.fetchFrom(ctx, f.relay.usableParents(f.now()), topic, from, wait)
	if ok {
		return got, nil
	}
	if ctx.Err() != nil {
		return fetchResult{}, ctx.Err()
	}
	if topic == TopicMembers {
		return f.fetchStored(ctx, topic, from.number, wait)
	}
	return f.fetchWithFallbacks(ctx, topic, from, wait)
}

// fetchWithFallbacks reads a topic from the store, or from other fronts if the store can't be
// read. After a failed read of the store they are asked first for a time.
func (f *Front) fetchWithFallbacks(ctx context.Context, topic Topic, from offset, wait time.Duration) (fetchResult, error) {
	fallbacks, storeExcluded := f.relay.sourcesAt(f.now(), topic)
	if storeExcluded {
		if got, ok := f.fetchFrom(ctx, fallbacks, topic, from, wait); ok {
			return got, nil
		}
	}
	got, err := f.fetchStored(ctx, topic, from.number, wait)
	if err == nil || errors.Is(err, ErrTrimmed) || ctx.Err() != nil {
		return got, err
	}
	f.relay.excludeStore(f.now() + relayExclusion)
	for _, address := range fallbacks {
		if got, reason := f.fetchRelayed(ctx, address, topic, from, 0, relayReadTimeout); reason == "" {
			f.metrics.relayReads.Add(f.baseContext, 1)
			return got, nil
		}
	}
	return fetchResult{}, err
}

// fetchFrom reads a topic from the first of the fronts that answers. It returns false if none
// does before the store must be read.
func (f *Front) fetchFrom(ctx context.Context, addresses []string, topic Topic, from offset, wait time.Duration) (fetchResult, bool) {
	for _, address := range addresses {
		patience := f.patience(topic)
		if patience <= 0 {
			break
		}
		// The other front answers in time for this one to read the store instead.
		held := max(min(wait, f.relayWait(topic), patience-relayReadTimeout), 0)
		got, reason := f.fetchRelayed(ctx, address, topic, from, held, min(held+relayReadTimeout, patience))
		if reason == "" {
			f.metrics.relayReads.Add(f.baseContext, 1)
			return got, true
		}
		if ctx.Err() != nil {
			break
		}
		f.relay.exclude(address, f.now()+relayExclusion)
		f.log.Info().Str("parent", address).Str("topic", topicNames[topic]).Str("reason", reason).Msg("relay_left_out")
	}
	return fetchResult{}, false
}

// patience returns how long other fronts may be waited for before the store is read.
func (f *Front) patience(topic Topic) time.Duration {
	switch topic {
	case TopicEndpoints:
		return f.refreshAge(topic) - f.listAge()
	case TopicConfiguration:
		return f.refreshAge(topic) - f.configurationReadAge()
	}
	return relayWait + relayReadTimeout
}

// refreshAge returns the age of the list of endpoints or of the configuration at which the
// store is read.
func (f *Front) refreshAge(topic Topic) time.Duration {
	if topic == TopicConfiguration {
		return f.configurationRefreshAge()
	}
	return f.listRefreshAge()
}

// relayWait returns how long a read of another front waits for a change. A read of the list
// of endpoints or of the configuration waits for the other front's next read, which shows that
// the records are complete also where they did not change.
func (f *Front) relayWait(topic Topic) time.Duration {
	switch topic {
	case TopicEndpoints:
		return f.config.Timing.EndpointInterval + relayReadTimeout
	case TopicConfiguration:
		return storeReaderWait + relayReadTimeout
	}
	return relayWait
}

// fetchStored reads a topic from the store.
func (f *Front) fetchStored(ctx context.Context, topic Topic, from int64, wait time.Duration) (fetchResult, error) {
	waitKept := f.relay.storeKeepsWaits(f.now())
	if !waitKept || !f.relay.position.Load().allReadStore {
		wait = min(wait, storeReaderWait)
	}
	sentAt := f.now()
	var batch mirror.Batch
	var err error
	switch {
	case from < 0:
		batch, err = f.newest(ctx, topic)
	case topic == TopicMembers:
		batch, err = f.read(ctx, topic, from, wait)
	default:
		var hedged bool
		if batch, sentAt, hedged, err = f.readHedged(ctx, topic, from, wait); hedged {
			wait = 0
		}
	}
	if err != nil {
		if !errors.Is(err, ErrTrimmed) && ctx.Err() == nil {
			// A read that waits for a change shows nothing about the store while it waits.
			f.send(readFailedMessage{topic: topic, sentAt: min(f.now(), sentAt+wait)})
		}
		return fetchResult{}, err
	}
	f.metrics.storeCalls.Add(f.baseContext, 1)
	got := newStoredResult(topic, batch, from, sentAt, wait, f.now())
	if from >= 0 && !got.passesRecords(from) && got.took < wait-waitSlack {
		if waitKept {
			f.log.Warn().Str("topic", topicNames[topic]).Dur("wait_ms", wait).Dur("took_ms", got.took).Msg("store_wait_cut")
		}
		f.relay.distrustWaits(f.now() + waitDistrust)
	}
	if got.waited && !waitKept {
		got.asOf, got.waited = sentAt, false
	}
	return got, nil
}

// passesRecords reports whether the answer to a read from an offset passes records, or says that
// there are some, also if they hold no key.
func (r *fetchResult) passesRecords(from int64) bool {
	return r.Next != from || r.Partial()
}

// newStoredResult returns what a read of the store from an offset showed that was sent at a time,
// to wait for a change, and whose answer has arrived by now.
func newStoredResult(topic Topic, batch mirror.Batch, from int64, sentAt, wait, now time.Duration) fetchResult {
	got := fetchResult{Batch: batch, full: from < 0, asOf: sentAt, source: sourceStore, took: now - sentAt}
	// An answer without records after the whole wait shows that nothing had changed up to the end
	// of the wait. One that passes records without a key was given when these came.
	if from >= 0 && topic != TopicEndpoints && !got.passesRecords(from) && now >= sentAt+wait {
		got.asOf, got.waited = sentAt+wait, true
	}
	return got
}

// readHedged reads the list of endpoints or the configuration from the store. If no byte of an
// answer comes for a time, beyond the time for which the read waits for a change, it reports
// that, and sends a second read without waiting, since the connection of the first one may be
// silent for good. It returns when the read was sent that was answered, or the first one if none
// was, and whether that was the second one.
func (f *Front) readHedged(ctx context.Context, topic Topic, from int64, wait time.Duration) (batch mirror.Batch, sentAt time.Duration, hedged bool, err error) {
	type outcome struct {
		batch  mirror.Batch
		sentAt time.Duration
		hedged bool
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 2)
	read := func(ctx context.Context, wait time.Duration, hedged bool) {
		sentAt := f.now()
		batch, err := f.config.Store.Read(ctx, topic, from, wait)
		outcomes <- outcome{batch: batch, sentAt: sentAt, hedged: hedged, err: err}
	}
	first := f.now()
	firstContext, cancelFirst := progress.WithLimits(ctx, f.readLimits(wait))
	defer cancelFirst()
	go read(firstContext, wait, false)
	hedge := time.NewTimer(wait + f.hedgeDelay(topic))
	defer hedge.Stop()
	started := progress.Started(firstContext)
	for inProgress := 1; ; {
		select {
		case <-started:
			started = nil
			hedge.Stop()
		case <-hedge.C:
			f.send(readFailedMessage{topic: topic, sentAt: first + wait})
			inProgress++
			secondContext, cancelSecond := progress.WithLimits(ctx, f.readLimits(0))
			defer cancelSecond() // once at most, since the timer is not reset
			go read(secondContext, 0, true)
		case o := <-outcomes:
			if inProgress--; o.err == nil || inProgress == 0 {
				if o.err != nil {
					o.sentAt = first
				}
				return o.batch, o.sentAt, o.hedged, o.err
			}
		}
	}
}

// hedgeDelay returns how long a read of the list of endpoints or of the configuration may be
// without an answer before a second one is sent.
func (f *Front) hedgeDelay(topic Topic) time.Duration {
	if topic == TopicConfiguration {
		return shareOf(f.config.ApplyWithin, hedgeShare)
	}
	return shareOf(f.config.LeaveWithin, hedgeShare)
}

// maxRelayedAge returns the maximum age of records that are accepted from another front. It
// exceeds the time between two reads by a front that reads the store, so that these need
// not be read by all.
func (f *Front) maxRelayedAge(topic Topic) time.Duration {
	if topic == TopicMembers {
		return f.config.Timing.MemberInterval + maxRelayLag
	}
	return f.refreshAge(topic)
}

// relayClockSlack is how much longer another front may say that it held a call than the call took,
// since clocks of two machines run at slightly different rates.
const relayClockSlack = 5 * time.Millisecond

// checkReply returns why a reply to a read from an offset can't be one of a front; empty = it can.
// Another program may have the address of a front that is gone.
func checkReply(reply *nodepb.TopicReply, from offset, took time.Duration) string {
	switch {
	case reply.AgeUs < 0 || reply.HeldUs < 0 || reply.HeldUs > (took+relayClockSlack).Microseconds():
		return "times out of range"
	case !reply.Whole && (from.number < 0 || reply.Next < from.number) || reply.Next < 0:
		return "offset out of range"
	}
	return ""
}

// fetchRelayed reads a topic from another front, which waits for a change for the time wait.
// If the answer can't be used or does not come in time, it returns the reason.
func (f *Front) fetchRelayed(ctx context.Context, parent string, topic Topic, from offset, wait, timeout time.Duration) (fetchResult, string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := f.now()
	reply, err := f.relay.client.Relay(parent).Read(ctx, &nodepb.TopicRequest{
		Topic: uint32(topic), From: from.number, Era: from.era, WaitUs: wait.Microseconds(), Deflate: true,
	})
	if err != nil {
		return fetchResult{}, err.Error()
	}
	return f.newRelayedResult(topic, reply, from, parent, sentAt, f.now())
}

// newRelayedResult returns what a read of another front showed that was sent at a time and has
// been answered by now, or the reason why it can't be used.
func (f *Front) newRelayedResult(topic Topic, reply *nodepb.TopicReply, from offset, parent string, sentAt, now time.Duration) (fetchResult, string) {
	switch {
	case reply.Unknown:
		return fetchResult{}, "not known there"
	case reply.Era < from.era:
		return fetchResult{}, "not read there since the store came back older"
	}
	took := now - sentAt
	if reason := checkReply(reply, from, took); reason != "" {
		return fetchResult{}, reason
	}
	if reply.AgeUs > f.maxRelayedAge(topic).Microseconds() {
		return fetchResult{}, "too old"
	}
	// The clocks of two fronts are unrelated, so the reply's age is counted from the earliest
	// moment at which the other front can have answered: the call's start plus the time for
	// which it held the call.
	answeredAt := sentAt + min(time.Duration(reply.HeldUs)*time.Microsecond, took)
	got := fetchResult{
		full: reply.Whole, relayed: true, source: parent, took: took, asOf: answeredAt - time.Duration(reply.AgeUs)*time.Microsecond,
	}
	if now-got.asOf > f.maxRelayedAge(topic) {
		return fetchResult{}, "too old"
	}
	got.Next, got.End, got.Era = reply.Next, reply.Next, reply.Era
	for _, r := range reply.Records {
		value, err := inflate(r)
		if err != nil {
			return fetchResult{}, err.Error()
		}
		record := mirror.Record{Offset: r.Offset, Key: r.Key, Value: value}
		if r.Removed {
			record.Value = nil
		} else if record.Value == nil {
			record.Value = []byte{}
		}
		got.Records = append(got.Records, record)
	}
	return got, ""
}
