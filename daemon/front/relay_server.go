package front

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	// maxRelayWait limits how long another front's read may wait for a change.
	maxRelayWait = 2 * time.Second
	// minDeflatedBytes is the size of a value from which on it is sent compressed.
	minDeflatedBytes = 4 << 10
	// maxInflatedBytes limits the size of a value that was sent compressed.
	maxInflatedBytes = 64 << 20
	// largeReplyBytes is the size of a reply from which on it needs a slot.
	largeReplyBytes = 32 << 10
	// maxLargeReplies is how many large replies are written at a time.
	maxLargeReplies = 2
	// relayWriteBufferBytes is the size of the kernel's send buffer of a connection to a reader.
	// A reply that does not fit keeps its slot until its reader has received the rest.
	relayWriteBufferBytes = 32 << 10
	// largeReplyTimeout limits the time to write a large reply, so that a reader that is
	// suspended does not keep its slot.
	largeReplyTimeout = time.Second
)

// relayedTopic holds the records of one topic that a front serves to other fronts.
type relayedTopic struct {
	mu         sync.Mutex
	mirror     *mirror.Mirror
	unreadable bool                     // the last read of the topic failed
	changed    chan struct{}            // closed at the next read
	deflated   map[string]deflatedValue // of large records, by key
}

func newRelayedTopics() map[Topic]*relayedTopic {
	topics := map[Topic]*relayedTopic{}
	for _, topic := range []Topic{TopicConfiguration, TopicEndpoints, TopicMembers} {
		topics[topic] = &relayedTopic{mirror: mirror.New(), changed: make(chan struct{}), deflated: map[string]deflatedValue{}}
	}
	return topics
}

// update stores what a read returned, and wakes the readers: also a read without changes
// shows that the records are complete up to a later time.
func (t *relayedTopic) update(from int64, got fetchResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if got.full {
		t.mirror.Replace(got.Batch, got.asOf)
	} else {
		t.mirror.Append(from, got.Batch, got.asOf)
	}
	t.unreadable = false
	t.notify()
}

// markUnreadable records that the topic can't be read, and wakes the readers.
func (t *relayedTopic) markUnreadable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unreadable {
		t.unreadable = true
		t.notify()
	}
}

// notify wakes the readers that wait. The caller holds mu.
func (t *relayedTopic) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// changeAfter returns a channel that is closed at the next read of the topic, or nil if a reader at
// an offset need not wait.
func (t *relayedTopic) changeAfter(era, from int64) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unreadable || !t.mirror.Loaded() || from < 0 || t.mirror.Era() != era || t.mirror.Next() > from {
		return nil
	}
	return t.changed
}

// waitFor waits until there is a reply for a reader at an offset, or the topic was read
// again, at most for the time wait.
func (t *relayedTopic) waitFor(ctx context.Context, era, from int64, wait time.Duration) {
	changed := t.changeAfter(era, from)
	if changed == nil {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reply returns the records from an offset on, or the newest record of each key if the
// changes since then are not known.
func (t *relayedTopic) reply(era, from int64, now time.Duration, deflate bool) *nodepb.TopicReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unreadable || !t.mirror.Loaded() {
		return &nodepb.TopicReply{Unknown: true}
	}
	batch, ok := t.mirror.Since(era, from)
	if !ok {
		batch = t.mirror.Whole()
	}
	reply := &nodepb.TopicReply{Whole: !ok, Next: batch.Next, Era: batch.Era, AgeUs: (now - t.mirror.AsOf()).Microseconds()}
	for _, r := range batch.Records {
		record := &nodepb.TopicRecord{Offset: r.Offset, Key: r.Key, Value: r.Value, Removed: r.Value == nil}
		if deflate && len(r.Value) >= minDeflatedBytes {
			record.Value, record.Deflated = nil, t.deflate(r)
		}
		reply.Records = append(reply.Records, record)
	}
	return reply
}

// deflatedValue is the compressed value of the record at an offset.
type deflatedValue struct {
	offset offset
	data   []byte
}

// deflate returns the compressed value of a record, which is kept for the next reader. The
// caller holds mu.
func (t *relayedTopic) deflate(r mirror.Record) []byte {
	at := offset{number: r.Offset, era: t.mirror.Era()}
	if known, ok := t.deflated[r.Key]; ok && known.offset == at {
		return known.data
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	_, _ = w.Write(r.Value) // a bytes.Buffer does not fail
	_ = w.Close()
	t.deflated[r.Key] = deflatedValue{offset: at, data: b.Bytes()}
	return b.Bytes()
}

// inflate returns the value of a record that another front sent.
func inflate(r *nodepb.TopicRecord) ([]byte, error) {
	if len(r.Deflated) == 0 {
		return r.Value, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Deflated)), maxInflatedBytes+1))
	if err == nil && len(value) > maxInflatedBytes {
		err = errors.New("larger than the limit")
	}
	return value, errors.Wrap(err, "inflate record")
}

// replySlots bounds how many large replies are written to other fronts at a time. Otherwise a
// large record that all readers of a front want at once fills its link, and every request
// and every read of the store behind it is late by the time of all of them.
type replySlots chan struct{}

// relayListener accepts connections with a small send buffer.
type relayListener struct{ net.Listener }

// Accept implements net.Listener.
func (l relayListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		// Without it large replies are bounded less closely, and nothing else depends on it.
		_ = tcp.SetWriteBuffer(relayWriteBufferBytes)
	}
	return c, err
}

// slotHold is the slot that one call holds, if its reply is large.
type slotHold struct {
	slots  replySlots
	held   bool
	writer http.ResponseWriter
}

type slotHoldKey struct{}

// limit returns a handler whose calls may acquire a slot and give it back at their end.
func (s replySlots) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold := &slotHold{slots: s, writer: w}
		defer hold.release()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), slotHoldKey{}, hold)))
	})
}

// acquire waits for a slot until ctx ends. The reply must then be written within
// largeReplyTimeout.
func (h *slotHold) acquire(ctx context.Context) error {
	select {
	case h.slots <- struct{}{}:
		h.held = true
	case <-ctx.Done():
		return ctx.Err()
	}
	return errors.Wrap(http.NewResponseController(h.writer).SetWriteDeadline(time.Now().Add(largeReplyTimeout)), "limit write of reply")
}

func (h *slotHold) release() {
	if h.held {
		<-h.slots
	}
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
	defer context.AfterFunc(s.front.baseContext, cancel)()
	topic.waitFor(waiting, req.Era, req.From, min(time.Duration(req.WaitUs)*time.Microsecond, maxRelayWait))
	built := s.front.now()
	reply := topic.reply(req.Era, req.From, built, req.Deflate)
	if hold, ok := ctx.Value(slotHoldKey{}).(*slotHold); ok && proto.Size(reply) >= largeReplyBytes {
		if err := hold.acquire(waiting); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	setReplyTimes(reply, begun, built, s.front.now())
	return reply, nil
}

// setReplyTimes completes the times of a reply: when the call began, the time that the reply was
// built for, and the time at which it is sent.
func setReplyTimes(reply *nodepb.TopicReply, begun, built, answered time.Duration) {
	reply.AgeUs += (answered - built).Microseconds()
	reply.HeldUs = (answered - begun).Microseconds()
}
