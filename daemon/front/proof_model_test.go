package front

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/mirror"
	"primrosespoke.dev/coord/rollout"
	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// modelUnusable marks the value of a version that the fronts can't decode; without it the value is the
// number of the version.
const modelUnusable = "?"

// modelStore is the model of the store of the platform: one topic, in model time.
type modelStore struct {
	Store
	records []modelRecord // of the whole log, of which those before first are trimmed
	first   int64
	era     int64
	written int64 // newest version
}

type modelRecord struct {
	mirror.Record
	keyless bool
	version int64 // 0 = the record is no version of the configuration
	at      time.Duration
}

// DecodeConfiguration implements Store.
func (*modelStore) DecodeConfiguration(r mirror.Record) (*routing.Table, error) {
	if r.Key != "config" {
		return nil, ErrForeignRow
	}
	version, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "version")
	}
	return routing.NewTable(version, nil, nil, routing.AccountList{}, routing.Limits{}), nil
}

// DecodeOrder implements Store: the model's topic holds no orders.
func (*modelStore) DecodeOrder(mirror.Record) (rollout.Order, error) {
	return rollout.Order{}, ErrForeignRow
}

func (s *modelStore) end() int64 { return int64(len(s.records)) }

func (s *modelStore) add(r modelRecord) {
	r.Offset = s.end()
	s.records = append(s.records, r)
}

// put writes the next version.
func (s *modelStore) put(now time.Duration, mark string) {
	s.written++
	s.add(modelRecord{Record: mirror.Record{Key: "config", Value: []byte(fmt.Sprint(s.written, mark))}, version: s.written, at: now})
}

// comeBackOlder drops the newest n records.
func (s *modelStore) comeBackOlder(n int64) {
	s.records = s.records[:max(s.end()-n, 0)]
	s.first = min(s.first, s.end())
	s.era++
}

// due returns the newest version in the log that was confirmed by a time.
func (s *modelStore) due(at time.Duration) int64 {
	for i := len(s.records) - 1; i >= 0; i-- {
		if r := s.records[i]; r.version > 0 && r.at <= at {
			return r.version
		}
	}
	return 0
}

// read answers a read, with at most limit records.
func (s *modelStore) read(from int64, limit int) (mirror.Batch, error) {
	batch := mirror.Batch{Next: from, End: s.end(), Era: s.era}
	if from < 0 {
		newest := map[string]mirror.Record{}
		for _, r := range s.records {
			if !r.keyless {
				newest[r.Key] = r.Record
			}
		}
		for _, r := range newest {
			batch.Records = append(batch.Records, r)
		}
		batch.Next = batch.End
		return batch, nil
	}
	if from < s.first || from > s.end() {
		return mirror.Batch{}, ErrTrimmed
	}
	for _, r := range s.records[from:min(from+int64(limit), s.end())] {
		if !r.keyless {
			batch.Records = append(batch.Records, r.Record)
		}
		batch.Next++
	}
	return batch, nil
}

// modelFront is a front of the model: the code that takes in what was read, on a clock of its own,
// with one read at a time.
type modelFront struct {
	*Front
	control  *control
	follower *follower
	skew     time.Duration // of its clock
	busy     time.Duration // until when it does not run
	read     *modelRead
}

// modelRead is a read in progress.
type modelRead struct {
	from   offset
	wait   time.Duration
	sentAt time.Duration // by the reader's clock
	parent *modelFront   // nil = the store

	arrives  time.Duration // at the store or the parent
	deadline time.Duration // of its wait there
	built    time.Duration // by the parent's clock, when it took the time for its reply; 0 = not yet
	begun    time.Duration // by the parent's clock

	answered bool
	back     time.Duration // when the answer arrives
	batch    mirror.Batch
	reply    *nodepb.TopicReply
	err      error
}

// proofModel is a store and fronts that read it and one another.
type proofModel struct {
	t      *rapid.T
	now    time.Duration
	store  *modelStore
	fronts []*modelFront
	proofs int
}

const modelStep = 10 * time.Millisecond

func (m *proofModel) chance(n int, label string) bool {
	return rapid.IntRange(1, n).Draw(m.t, label) == 1
}

func (m *proofModel) delay(label string) time.Duration {
	limit := 5
	if m.chance(8, label+" is long") {
		limit = 80
	}
	return time.Duration(rapid.IntRange(0, limit).Draw(m.t, label)) * modelStep
}

// restart gives a front the state of a process that has just started.
func (m *proofModel) restart(f *modelFront) {
	f.topics, f.relay = newRelayedTopics(), newRelayClient()
	f.configuration.Store(&configurationState{})
	f.control, f.follower, f.read = newControl(f.Front), newFollower(f.Front, TopicConfiguration), nil
	f.skew = time.Duration(rapid.IntRange(0, 1000).Draw(m.t, "skew")) * time.Second
}

// send starts the next read of a front, of the store or of any other front.
func (m *proofModel) send(f *modelFront) {
	r := &modelRead{
		from: f.follower.next, sentAt: m.now + f.skew, arrives: m.now + m.delay("way there"),
		wait: time.Duration(rapid.IntRange(0, 60).Draw(m.t, "wait")) * modelStep,
	}
	if i := rapid.IntRange(-2, len(m.fronts)-1).Draw(m.t, "source"); i >= 0 && m.fronts[i] != f {
		r.parent = m.fronts[i]
	}
	r.deadline = r.arrives + r.wait
	f.read = r
}

// serve moves a read on at the store or the front that it was sent to.
func (m *proofModel) serve(r *modelRead) {
	if m.now < r.arrives {
		return
	}
	if r.parent == nil {
		if r.from.number == m.store.end() && m.now < r.deadline {
			return
		}
		r.batch, r.err = m.store.read(r.from.number, rapid.IntRange(1, 3).Draw(m.t, "records"))
		r.answered, r.back = true, m.now+m.delay("way back")
		return
	}
	p := r.parent
	if m.now < p.busy {
		return
	}
	clock, topic := m.now+p.skew, p.topics[TopicConfiguration]
	if r.begun == 0 {
		r.begun = clock
	}
	if r.built == 0 {
		if topic.changeAfter(r.from.era, r.from.number) != nil && m.now < r.deadline {
			return
		}
		r.built = clock
		if m.chance(4, "suspended between clock and reply") {
			p.busy = m.now + m.delay("suspended")
			return
		}
	}
	if r.reply == nil {
		r.reply = topic.reply(r.from.era, r.from.number, r.built, false)
		if m.chance(4, "suspended between reply and clock") {
			p.busy = m.now + m.delay("suspended")
			return
		}
	}
	setReplyTimes(r.reply, r.begun, r.built, clock)
	r.answered, r.back = true, m.now+m.delay("way back")
}

// take passes the answer of a read that has arrived on to the front's code.
func (m *proofModel) take(f *modelFront) {
	r := f.read
	f.read = nil
	clock := m.now + f.skew
	var got fetchResult
	switch {
	case errors.Is(r.err, ErrTrimmed):
		f.follower.next.number = -1
		return
	case m.chance(12, "lost"):
		f.topics[TopicConfiguration].markUnreadable()
		return
	case r.parent != nil:
		var reason string
		if got, reason = f.newRelayedResult(TopicConfiguration, r.reply, r.from, "parent", r.sentAt, clock); reason != "" {
			return
		}
	default:
		got = newStoredResult(TopicConfiguration, r.batch, r.from.number, r.sentAt, r.wait, clock)
	}
	if !f.follower.advance(got) {
		return
	}
	f.takeConfiguration(f.follower, got)
	for len(f.inbox) > 0 {
		(<-f.inbox).apply(f.control)
	}
	m.proofs++
}

// step lets the operators and the store act, and each front.
func (m *proofModel) step() {
	switch rapid.IntRange(0, 60).Draw(m.t, "event") {
	case 1, 2:
		m.store.put(m.now, "")
	case 3:
		m.store.put(m.now, "")
		m.store.put(m.now, "")
	case 4:
		m.store.add(modelRecord{Record: mirror.Record{Key: "other", Value: []byte("x")}, at: m.now})
	case 5:
		m.store.add(modelRecord{keyless: true, at: m.now})
	case 6:
		m.store.put(m.now, modelUnusable)
	case 7:
		m.store.first = rapid.Int64Range(m.store.first, m.store.end()).Draw(m.t, "trimmed before")
	case 8:
		if m.chance(3, "comes back older") {
			m.store.comeBackOlder(rapid.Int64Range(0, 3).Draw(m.t, "records lost"))
		}
	case 9:
		if m.chance(3, "restarts") {
			m.restart(m.fronts[rapid.IntRange(0, len(m.fronts)-1).Draw(m.t, "front")])
		}
	case 10:
		m.fronts[rapid.IntRange(0, len(m.fronts)-1).Draw(m.t, "front")].busy = m.now + m.delay("suspended")
	}
	for _, f := range m.fronts {
		if f.read != nil && !f.read.answered {
			m.serve(f.read)
		}
		if m.now < f.busy {
			continue
		}
		switch {
		case f.read == nil:
			m.send(f)
		case f.read.answered && m.now >= f.read.back:
			m.take(f)
		}
	}
}

// Fronts read a topic from the store and from one another, in any order, with answers that are late,
// lost, in part or of another era, while processes are suspended and start again. Oracle: the store's
// log. A front whose configuration was known to be the newest a time ago has every version that had been
// confirmed by then, or says that it could not decode the newest one.
func TestAProofCoversEveryVersionThatWasConfirmedBefore(t *testing.T) {
	var idle []*Front
	for range 4 {
		idle = append(idle, newProofFront(t, func(cfg *Config) { cfg.Log = zerolog.Nop() }))
	}
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := &proofModel{t: t, store: &modelStore{era: 1}}
		for _, f := range idle {
			f.config.Store = m.store
			m.fronts = append(m.fronts, &modelFront{Front: f})
			m.restart(m.fronts[len(m.fronts)-1])
		}
		for range 400 {
			m.now += modelStep
			m.step()
			for i, f := range m.fronts {
				state := f.configuration.Load()
				age, known := state.freshness.Age(m.now + f.skew)
				if state.table == nil || !known {
					continue
				}
				g.Expect(age).To(BeNumerically(">=", 0), "front %d at %v", i, m.now)
				if due := m.store.due(m.now - age - 1); state.table.Version < due {
					g.Expect(state.table.Version).To(BeNumerically(">=", due), "front %d at %v: age %v, proof %+v, superseded %t", i, m.now, age, state.proof, state.superseded)
				}
			}
		}
		total += m.proofs
	})
	t.Logf("%d answers taken", total)
}
