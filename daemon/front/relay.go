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
	// directEntries is how many entries all read the store themselves.
	directEntries = 8
	// relayWait is how long a read of another front waits for a change.
	relayWait = 500 * time.Millisecond
	// relayReaderWait is how long the readers' reads of the configuration wait. The age of what
	// they pass on is bounded by it.
	relayReaderWait = 600 * time.Millisecond
	// relayLimit bounds a read of another front beyond the time that it waits.
	relayLimit = 250 * time.Millisecond
	// relayLag is the greatest age of what is taken from another front, beyond the time
	// between two reads of the topic: a front that is cut off from the store tells at
	// first what was true before.
	relayLag = 700 * time.Millisecond
	// relayPause is how long a front that failed a read is left out.
	relayPause = 2 * time.Second
)

// relayShape puts up to 39 fronts one step from a reader, and 480 two.
var relayShape = overlay.Topology{Readers: 3, Fanout: 12}

// fetched is the result of a read of a topic, from the store or from another front.
type fetched struct {
	mirror.Batch
	// whole tells that the records are all there are.
	whole bool
	// proven is the moment up to which the records are known to be complete.
	proven time.Duration
	// relayed tells that another front passed them on.
	relayed bool
}

// relayPlace is a front's place among the fronts that pass topics on.
type relayPlace struct {
	direct  bool     // it reads the store itself
	alone   bool     // there are so few fronts that all do
	parents []string // addresses to read from
}

// relay is a front's side of passing topics on.
type relay struct {
	client *node.Client
	place  atomic.Pointer[relayPlace]

	mu      sync.Mutex
	leftOut map[string]time.Duration // by address, until when
}

func newRelay() *relay {
	r := &relay{client: node.NewClient(), leftOut: map[string]time.Duration{}}
	r.place.Store(&relayPlace{direct: true, alone: true})
	return r
}

// locate works out this front's place. Views of the fronts that differ cost calls, never correctness.
func locate(self, domain string, m *members) relayPlace {
	if m.count() <= directEntries {
		return relayPlace{direct: true, alone: true}
	}
	instances := []membership.Instance{{ID: m.self, Role: membership.RoleEntry, Address: self, FailureDomain: domain}}
	for id, s := range m.all {
		instances = append(instances, membership.Instance{
			ID: id, Role: membership.RoleEntry, Address: s.Address, FailureDomain: s.FailureDomain,
		})
	}
	place := relayShape.Locate(membership.NewView(instances), self)
	return relayPlace{direct: place.Reader, parents: place.Parents}
}

// usable lists the parents that did not fail lately.
func (r *relay) usable(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var usable []string
	for _, address := range r.place.Load().parents {
		if now >= r.leftOut[address] {
			usable = append(usable, address)
		}
	}
	return usable
}

func (r *relay) leaveOut(address string, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leftOut[address] = until
}

// setPlace takes a place. It tells whether it is another one than before.
func (r *relay) setPlace(place relayPlace) bool {
	known := r.place.Swap(&place)
	same := known.direct == place.direct && known.alone == place.alone && len(known.parents) == len(place.parents)
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
	r.leftOut = map[string]time.Duration{}
	return true
}

// fetch reads a topic from an offset on, -1 for all of it: from another front where
// that has what is new, else from the store.
func (f *Front) fetch(ctx context.Context, topic Topic, from int64, wait time.Duration) (fetched, error) {
	for _, parent := range f.relay.usable(f.now()) {
		got, reason := f.fetchRelayed(ctx, parent, topic, from, min(wait, relayWait))
		if reason == "" {
			f.metrics.relayReads.Add(f.base, 1)
			return got, nil
		}
		if ctx.Err() != nil {
			return fetched{}, ctx.Err()
		}
		f.relay.leaveOut(parent, f.now()+relayPause)
		f.log.Info().Str("parent", parent).Str("topic", topicNames[topic]).Str("reason", reason).Msg("relay_left_out")
	}
	return f.fetchStored(ctx, topic, from, wait)
}

// fetchStored reads the store.
func (f *Front) fetchStored(ctx context.Context, topic Topic, from int64, wait time.Duration) (fetched, error) {
	if !f.relay.place.Load().alone {
		wait = min(wait, relayReaderWait)
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
		return fetched{}, err
	}
	f.metrics.storeCalls.Add(f.base, 1)
	got := fetched{Batch: batch, whole: from < 0, proven: asked}
	// An empty answer to a wait that lasted its time proves the end of the wait.
	if from >= 0 && len(batch.Records) == 0 && f.now() >= asked+wait {
		got.proven = asked + wait
	}
	return got, nil
}

// readInterval is the time between two reads of a topic by a front that reads the store.
func (f *Front) readInterval(topic Topic) time.Duration {
	switch topic {
	case TopicEndpoints:
		return f.cfg.Timing.EndpointInterval
	case TopicMembers:
		return f.cfg.Timing.MemberInterval
	}
	return relayReaderWait
}

// fetchRelayed reads another front. A reason says why its answer can't be used.
func (f *Front) fetchRelayed(ctx context.Context, parent string, topic Topic, from int64, wait time.Duration) (fetched, string) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayLimit)
	defer cancel()
	asked := f.now()
	reply, err := f.relay.client.Relay(parent).Read(ctx, &nodepb.TopicRequest{
		Topic: uint32(topic), From: from, WaitUs: wait.Microseconds(),
	})
	switch {
	case err != nil:
		return fetched{}, err.Error()
	case reply.Unknown:
		return fetched{}, "not known there"
	}
	// The other's clock is not this one's. It answered not before it was asked and had held the call.
	answered := asked + time.Duration(reply.HeldUs)*time.Microsecond
	got := fetched{whole: reply.Whole, relayed: true, proven: answered - time.Duration(reply.AgeUs)*time.Microsecond}
	if f.now()-got.proven > f.readInterval(topic)+relayLag {
		return fetched{}, "too old"
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
