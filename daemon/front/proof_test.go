package front

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// lateStore answers each read with a batch that was complete when the read came, and that arrives
// after a delay.
type lateStore struct {
	Store
	batch mirror.Batch
	delay time.Duration
}

func (s *lateStore) Read(context.Context, Topic, int64, time.Duration) (mirror.Batch, error) {
	time.Sleep(s.delay)
	return s.batch, nil
}

func newProofFront(t *testing.T, change func(*Config)) *Front {
	cfg := Config{CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"}
	change(&cfg)
	f, err := New(cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.closeListeners)
	return f
}

// The store answers a read as soon as there is a record, also one that no key can be read from.
func TestAnAnswerThatPassesRecordsDoesNotProveTheEndOfItsWait(t *testing.T) {
	const wait, delay = 20 * time.Millisecond, 40 * time.Millisecond
	for name, c := range map[string]struct {
		batch  mirror.Batch
		waited bool
	}{
		"no records":           {batch: mirror.Batch{Next: 5, End: 5}, waited: true},
		"a record without key": {batch: mirror.Batch{Next: 6, End: 6}},
		"records to come":      {batch: mirror.Batch{Next: 5, End: 6}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newProofFront(t, func(cfg *Config) { cfg.Store = &lateStore{batch: c.batch, delay: delay} })
			begun := f.now()
			got, err := f.fetchStored(context.Background(), TopicConfiguration, 5, wait)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.waited).To(Equal(c.waited))
			if !c.waited {
				g.Expect(got.asOf).To(BeNumerically("<", begun+wait), "the answer may be from when the read came")
			}
		})
	}
}

// An answer that was given early may arrive late, so one that was seen to come early makes all others
// doubtful for a time.
func TestAStoreThatCutsWaitsDoesNotProveTheirEnd(t *testing.T) {
	const wait = 60 * time.Millisecond
	g := NewWithT(t)
	store := &lateStore{batch: mirror.Batch{Next: 5, End: 5}, delay: 2 * wait}
	f := newProofFront(t, func(cfg *Config) { cfg.Store = store })
	read := func() (got fetchResult, sentAfter time.Duration) {
		sentAfter = f.now()
		got, err := f.fetchStored(context.Background(), TopicConfiguration, 5, wait)
		g.Expect(err).NotTo(HaveOccurred())
		return got, sentAfter
	}
	got, _ := read()
	g.Expect(got.waited).To(BeTrue(), "no wait was cut so far")
	store.delay = 0
	got, _ = read()
	g.Expect(got.waited).To(BeFalse())
	store.delay = 2 * wait
	got, sentAfter := read()
	g.Expect(got.waited).To(BeFalse(), "it may have been given early")
	g.Expect(got.asOf).To(BeNumerically("<", sentAfter+wait))
}

// The address of a front that is gone may be another program's by now. What answers there proves
// nothing unless it can be the reply of a front.
func TestAReplyThatNoFrontCanHaveGivenProvesNothing(t *testing.T) {
	const second = int64(time.Second / time.Microsecond)
	for name, c := range map[string]struct {
		reply  *nodepb.TopicReply
		from   offset
		accept bool
	}{
		"changes":                            {reply: &nodepb.TopicReply{Next: 7, AgeUs: 1000, HeldUs: 1}, from: offset{number: 5}, accept: true},
		"nothing new":                        {reply: &nodepb.TopicReply{Next: 5, AgeUs: 1000, HeldUs: 1}, from: offset{number: 5}, accept: true},
		"the whole topic":                    {reply: &nodepb.TopicReply{Whole: true, Next: 5, AgeUs: 1000}, from: offset{number: -1}, accept: true},
		"no content":                         {reply: &nodepb.TopicReply{}, from: offset{number: 5}},
		"no content, all asked for":          {reply: &nodepb.TopicReply{}, from: offset{number: -1}},
		"an age below 0":                     {reply: &nodepb.TopicReply{Next: 5, AgeUs: -second}, from: offset{number: 5}},
		"an age beyond the type":             {reply: &nodepb.TopicReply{Next: 5, AgeUs: math.MaxInt64 - 7}, from: offset{number: 5}},
		"held below 0":                       {reply: &nodepb.TopicReply{Next: 5, HeldUs: math.MinInt64 + 7}, from: offset{number: 5}},
		"held for longer than the call took": {reply: &nodepb.TopicReply{Next: 5, HeldUs: second}, from: offset{number: 5}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				data, err := proto.Marshal(c.reply)
				g.Expect(err).NotTo(HaveOccurred())
				_, _ = w.Write(data)
			}))
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			defer server.Close()
			f := newProofFront(t, func(*Config) {})
			got, reason := f.fetchRelayed(context.Background(), strings.TrimPrefix(server.URL, "http://"), TopicConfiguration, c.from, 0, time.Second)
			if c.accept {
				g.Expect(reason).To(BeEmpty())
			} else {
				g.Expect(reason).NotTo(BeEmpty(), "taken as proof for %v", got.asOf)
			}
			g.Expect(got.asOf).To(BeNumerically("<=", f.now()))
		})
	}
}

// A store that came back older gives the offset of a record to another one.
func TestARecordOfAnotherEraIsNotSentAsTheOneBefore(t *testing.T) {
	g := NewWithT(t)
	topic := newRelayedTopics()[TopicConfiguration]
	for era, version := range []string{"before", "after"} {
		value := []byte(strings.Repeat(version, minDeflatedBytes))
		batch := mirror.Batch{Records: []mirror.Record{{Offset: 4, Key: "config", Value: value}}, Next: 5, End: 5, Era: int64(era)}
		topic.update(-1, fetchResult{Batch: batch, full: true, asOf: time.Duration(era) * time.Second})
		reply := topic.reply(int64(era), -1, time.Minute, true)
		g.Expect(reply.Records).To(HaveLen(1))
		sent, err := inflate(reply.Records[0])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Equal(sent, value)).To(BeTrue(), "the record %s the store came back", version)
	}
}
