package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/overlay"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	// maxDirectReaders is how many entries all read the store themselves.
	maxDirectReaders = 8
	// relayWait is how long a read of another front waits for a change.
	relayWait = 500 * time.Millisecond
	// storeReaderWait is how long the readers' reads of the configuration wait. The age of what
	// they pass on is bounded by it.
	storeReaderWait = 600 * time.Millisecond
	// relayReadTimeout bounds a read of another front beyond the time that it waits.
	relayReadTimeout = 250 * time.Millisecond
	// maxRelayLag is the greatest age of what is taken from another front, beyond the time
	// between two reads of the topic: a front that is cut off from the store tells at
	// first what was true before.
	maxRelayLag = 700 * time.Millisecond
	// relayExclusion is how long a front that failed a read is left out.
	relayExclusion = 2 * time.Second
)

// relayShape puts up to 39 fronts one step from a reader, and 480 two.
var relayShape = overlay.Shape{Readers: 3, Fanout: 12}

// fetchResult is the result of a read of a topic, from the store or from another front.
type fetchResult struct {
	mirror.Batch
	// full tells that the records are all there are.
	full bool
	// asOf is the moment up to which the records are known to be complete.
	asOf time.Duration
	// relayed tells that another front passed them on.
	relayed bool
}

// relayPlace is a front's place among the fronts that pass topics on.
type relayPlace struct {
	readsStore   bool     // it reads the store itself
	allReadStore bool     // there are so few fronts that all do
	parents      []string // addresses to read from
}

// relayClient is a front's side of passing topics on.
type relayClient struct {
	client *node.Client
	place  atomic.Pointer[relayPlace]

	mu            sync.Mutex
	excludedUntil map[string]time.Duration // by address, until when
}

func newRelayClient() *relayClient {
	r := &relayClient{client: node.NewClient(), excludedUntil: map[string]time.Duration{}}
	r.place.Store(&relayPlace{readsStore: true, allReadStore: true})
	return r
}

// locateRelay works out this front's place. Views of the fronts that differ cost calls, never correctness.
func locateRelay(self, domain string, m *members) relayPlace {
	if m.count() <= maxDirectReaders {
		return relayPlace{readsStore: true, allReadStore: true}
	}
	instances := []membership.Instance{{ID: m.self, Role: membership.RoleEntry, Address: self, FailureDomain: domain}}
	for id, s := range m.all {
		instances = append(instances, membership.Instance{
			ID: id, Role: membership.RoleEntry, Address: s.Address, FailureDomain: s.FailureDomain,
		})
	}
	place := relayShape.Locate(membership.NewView(instances), self)
	return relayPlace{readsStore: place.Reader, parents: place.Parents}
}

// usableParents lists the parents that did not fail lately.
func (r *relayClient) usableParents(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var usable []string
	for _, address := range r.place.Load().parents {
		if now >= r.excludedUntil[address] {
			usable = append(usable, address)
		}
	}
	return usable
}

func (r *relayClient) exclude(address string, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludedUntil[address] = until
}

// setPlace takes a place. It tells whether it is another one than before.
func (r *relayClient) setPlace(place relayPlace) bool {
	known := r.place.Swap(&place)
	same := known.readsStore == place.readsStore && known.allReadStore == place.allReadStore && len(known.parents) == len(place.parents)
	for i := range place.parents {
		same = same && known.parents[i] == place.parents[i]
	}
	if same {
		return false
	}
	kept := map[string]bool{}
	for _, address := range place.parents {
		kept[address] = true
	}
	r.client.Retain(func(address string) bool { return kept[address] })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludedUntil = map[string]time.Duration{}
	return true
}

// fetch reads a topic from an offset on, -1 for all of it: from another front where
// that has what is new, else from the store.
func (f *Front) fetch(ctx context.Context, topic Topic, from int64, wait time.Duration) (fetchResult, error) {
	for _, parent := range f.relay.usableParents(f.now()) {
		got, reason := f.fetchRelayed(ctx, parent, topic, from, min(wait, relayWait))
		if reason == "" {
			f.metrics.relayReads.Add(f.baseContext, 1)
			return got, nil
		}
		if ctx.Err() != nil {
			return fetchResult{}, ctx.Err()
		}
		f.relay.exclude(parent, f.now()+relayExclusion)
		f.log.Info().Str("parent", parent).Str("topic", topicNames[topic]).Str("reason", reason).Msg("relay_left_out")
	}
	return f.fetchStored(ctx, topic, from, wait)
}

// fetchStored reads the store.
func (f *Front) fetchStored(ctx context.Context, topic Topic, from int64, wait time.Duration) (fetchResult, error) {
	if !f.relay.place.Load().allReadStore {
		wait = min(wait, storeReaderWait)
	}
	asked := f.now()
	var batch mirror.Batch
	var err error
	if from < 0 {
		batch, err = f.newest(ctx, topic)
	} else {
		batch, err = f.read(ctx, topic, from, wait)
	}
	if err != nil {
		return fetchResult{}, err
	}
	f.metrics.storeCalls.Add(f.baseContext, 1)
	got := fetchResult{Batch: batch, full: from < 0, asOf: asked}
	// An empty answer to a wait that lasted its time proves the end of the wait.
	if from >= 0 && len(batch.Records) == 0 && f.now() >= asked+wait {
		got.asOf = asked + wait
	}
	return got, nil
}

// readInterval is the time between two reads of a topic by a front that reads the store.
func (f *Front) readInterval(topic Topic) time.Duration {
	switch topic {
	case TopicEndpoints:
		return f.config.Timing.EndpointInterval
	case TopicMembers:
		return f.config.Timing.MemberInterval
	}
	return storeReaderWait
}

// fetchRelayed reads another front. A reason says why its answer can't be used.
func (f *Front) fetchRelayed(ctx context.Context, parent string, topic Topic, from int64, wait time.Duration) (fetchResult, string) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayReadTimeout)
	defer cancel()
	asked := f.now()
	reply, err := f.relay.client.Relay(parent).Read(ctx, &nodepb.TopicRequest{
		Topic: uint32(topic), From: from, WaitUs: wait.Microseconds(),
	})
	switch {
	case err != nil:
		return fetchResult{}, err.Error()
	case reply.Unknown:
		return fetchResult{}, "not known there"
	}
	// The other's clock is not this one's. It answered not before it was asked and had held the call.
	answered := asked + time.Duration(reply.HeldUs)*time.Microsecond
	got := fetchResult{full: reply.Whole, relayed: true, asOf: answered - time.Duration(reply.AgeUs)*time.Microsecond}
	if f.now()-got.asOf > f.readInterval(topic)+maxRelayLag {
		return fetchResult{}, "too old"
	}
	got.Next = reply.Next
	for _, r := range reply.Records {
		record := mirror.Record{Offset: r.Offset, Key: r.Key, Value: r.Value}
		if r.Removed {
			record.Value = nil
		} else if record.Value == nil {
			record.Value = []byte{}
		}
		got.Records = append(got.Records, record)
	}
	return got, ""
}
