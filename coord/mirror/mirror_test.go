package mirror_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/mirror"
)

// newest returns the value of each key after some records.
func newest(records []mirror.Record) map[string]string {
	rows := map[string]string{}
	for _, r := range records {
		if r.Value == nil {
			delete(rows, r.Key)
			continue
		}
		rows[r.Key] = string(r.Value)
	}
	return rows
}

// follower reads a topic, at each step either from the store or from a mirror.
type follower struct {
	rows map[string]string
	next int64
}

// apply takes in a batch of the whole topic or of its changes.
func (f *follower) apply(whole bool, b mirror.Batch) {
	if whole {
		f.rows = map[string]string{}
	}
	for _, r := range b.Records {
		if r.Value == nil {
			delete(f.rows, r.Key)
			continue
		}
		f.rows[r.Key] = string(r.Value)
	}
	f.next = b.Next
}

// draw returns a random record, which may remove its key.
func draw(t *rapid.T, offset int64) mirror.Record {
	r := mirror.Record{Offset: offset, Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")}
	if rapid.IntRange(0, 2).Draw(t, "removed") > 0 {
		r.Value = []byte(fmt.Sprint(offset))
	}
	return r
}

// A follower that switches between the store and a mirror at any read has the topic's
// newest rows. The mirror itself reads either the whole topic or its changes.
func TestAFollowerOfStoreAndMirrorHasTheNewestRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var log []mirror.Record
		m := mirror.New()
		f := &follower{next: -1}
		whole := func() mirror.Batch {
			b := mirror.Batch{Next: int64(len(log))}
			for key, value := range newest(log) {
				b.Records = append(b.Records, mirror.Record{Offset: offsetOf(log, key), Key: key, Value: []byte(value)})
			}
			return b
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				log = append(log, draw(t, int64(len(log))))
			case 2:
				if m.Loaded() && rapid.Bool().Draw(t, "changes") {
					from := m.Next()
					m.Append(from, mirror.Batch{Records: log[from:], Next: int64(len(log))}, time.Duration(len(log)))
				} else {
					m.Replace(whole(), time.Duration(len(log)))
				}
			case 3:
				if f.next >= 0 {
					f.apply(false, mirror.Batch{Records: log[f.next:], Next: int64(len(log))})
				} else {
					f.apply(true, whole())
				}
			case 4:
				b, ok := m.Since(0, f.next)
				switch {
				case ok:
					f.apply(false, b)
				case m.Loaded() && m.Next() >= f.next:
					f.apply(true, m.Whole())
				}
			}
			if f.next >= 0 {
				g.Expect(f.rows).To(Equal(newest(log[:f.next])), "the rows as of the follower's offset")
			}
		}
	})
}

// offsetOf returns the offset of the last record of a key, or -1.
func offsetOf(log []mirror.Record, key string) int64 {
	last := int64(-1)
	for _, r := range log {
		if r.Key == key {
			last = r.Offset
		}
	}
	return last
}

func TestRecordsAfterAGapAndOlderReadsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	m := mirror.New()
	m.Append(0, mirror.Batch{Next: 3}, time.Second)
	g.Expect(m.Loaded()).To(BeFalse(), "the whole topic was never read")
	m.Replace(mirror.Batch{Next: 3}, time.Second)
	m.Append(5, mirror.Batch{Next: 9}, 2*time.Second)
	g.Expect(m.Next()).To(Equal(int64(3)))
	g.Expect(m.AsOf()).To(Equal(time.Second))
	m.Replace(mirror.Batch{Next: 2}, 3*time.Second)
	g.Expect(m.Next()).To(Equal(int64(3)), "an older read does not reset the offset")
}

// Removed keys are kept, so that followers learn of their removal, but only a bounded
// number of them.
func TestRemovedKeysAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := mirror.New()
	m.Replace(mirror.Batch{}, 0)
	for i := range int64(5000) {
		m.Append(i, mirror.Batch{Records: []mirror.Record{{Offset: i, Key: fmt.Sprint(i)}}, Next: i + 1}, 0)
	}
	_, ok := m.Since(0, 10)
	g.Expect(ok).To(BeFalse(), "the topic must be read whole")
	recent, ok := m.Since(0, 4990)
	g.Expect(ok).To(BeTrue())
	g.Expect(recent.Records).To(HaveLen(10))
}

// The store comes back from an older copy and gives the offset of a known record out again.
func TestRecordsOfALaterEraReplaceThoseWithHigherOffsets(t *testing.T) {
	g := NewWithT(t)
	record := func(offset int64, value string) []mirror.Record {
		return []mirror.Record{{Offset: offset, Key: "a", Value: []byte(value)}}
	}
	m := mirror.New()
	m.Replace(mirror.Batch{Records: record(8, "old"), Next: 9, Era: 1}, time.Second)
	m.Append(3, mirror.Batch{Records: record(3, "new"), Next: 4, Era: 2}, 2*time.Second)
	g.Expect(m.AsOf()).To(Equal(time.Second), "changes of another era do not fit")
	m.Replace(mirror.Batch{Records: record(3, "new"), Next: 4, Era: 2}, 3*time.Second)
	_, ok := m.Since(1, 4)
	g.Expect(ok).To(BeFalse(), "a reader that has seen the era before needs the whole topic")
	_, ok = m.Since(2, 4)
	g.Expect(ok).To(BeTrue())
	g.Expect(string(m.Whole().Records[0].Value)).To(Equal("new"))
	m.Replace(mirror.Batch{Records: record(8, "old"), Next: 9, Era: 1}, 4*time.Second)
	g.Expect(m.Era()).To(Equal(int64(2)))
}

func TestAPartialBatchAddsRecordsAndProvesNothing(t *testing.T) {
	g := NewWithT(t)
	m := mirror.New()
	m.Replace(mirror.Batch{Next: 1, End: 1}, time.Second)
	m.Append(1, mirror.Batch{Records: []mirror.Record{{Offset: 1, Key: "a", Value: []byte("1")}}, Next: 2, End: 4}, 2*time.Second)
	g.Expect(m.Next()).To(Equal(int64(2)))
	g.Expect(m.AsOf()).To(Equal(time.Second))
	m.Append(2, mirror.Batch{Next: 4, End: 4}, 3*time.Second)
	g.Expect(m.AsOf()).To(Equal(3 * time.Second))
}
