package front

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// maxRelayWait bounds the wait that a reader may ask for.
const maxRelayWait = time.Second

// relayedTopic is what a front passes on of one topic.
type relayedTopic struct {
	mu      sync.Mutex
	mirror  *mirror.Mirror
	lost    bool
	changed chan struct{} // closed at the next change
}

func newRelayedTopics() map[Topic]*relayedTopic {
	topics := map[Topic]*relayedTopic{}
	for _, topic := range []Topic{TopicConfiguration, TopicEndpoints, TopicMembers} {
		topics[topic] = &relayedTopic{mirror: mirror.New(), changed: make(chan struct{})}
	}
	return topics
}

// update keeps what a read returned.
func (t *relayedTopic) update(from int64, got fetched) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.mirror.Next()
	if got.whole {
		t.mirror.Replace(got.Batch, got.proven)
	} else {
		t.mirror.Append(from, got.Batch, got.proven)
	}
	if t.mirror.Next() != next || t.lost {
		t.wake()
	}
	t.lost = false
}

// markLost notes that the topic can't be read.
func (t *relayedTopic) markLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost {
		t.lost = true
		t.wake()
	}
}

// wake ends the waiting of readers. The lock is held.
func (t *relayedTopic) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// pending returns a channel that is closed at the next change; nil where a reader at
// an offset need not wait.
func (t *relayedTopic) pending(from int64) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost || !t.mirror.Loaded() || from < 0 || t.mirror.Next() > from {
		return nil
	}
	return t.changed
}

// await waits until a reader at an offset has something to read.
func (t *relayedTopic) await(ctx context.Context, from int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := t.pending(from)
		if changed == nil {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// reply encodes what a reader at an offset gets.
func (t *relayedTopic) reply(from int64, now time.Duration) *nodepb.TopicReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost || !t.mirror.Loaded() {
		return &nodepb.TopicReply{Unknown: true}
	}
	batch, ok := t.mirror.Since(from)
	if !ok {
		batch = t.mirror.Whole()
	}
	reply := &nodepb.TopicReply{Whole: !ok, Next: batch.Next, AgeUs: (now - t.mirror.AsOf()).Microseconds()}
	for _, r := range batch.Records {
		reply.Records = append(reply.Records, &nodepb.TopicRecord{
			Offset: r.Offset, Key: r.Key, Value: r.Value, Removed: r.Value == nil,
		})
	}
	return reply
}

// relayServer serves topics to other fronts.
type relayServer struct{ front *Front }

// Read implements nodepb.Relay.
func (s relayServer) Read(ctx context.Context, req *nodepb.TopicRequest) (*nodepb.TopicReply, error) {
	begun := s.front.now()
	topic := s.front.topics[Topic(req.Topic)]
	if topic == nil {
		return nil, twirp.NotFoundError("unknown topic")
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.front.base, cancel)()
	topic.await(waiting, req.From, min(time.Duration(req.WaitUs)*time.Microsecond, maxRelayWait))
	now := s.front.now()
	reply := topic.reply(req.From, now)
	reply.HeldUs = (now - begun).Microseconds()
	return reply, nil
}
