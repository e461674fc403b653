// Package mirror holds the newest record of each key of a topic of the platform's
// store, so that a process can pass the topic on to others.
//
// It answers a load in which many processes follow the same topics: each of them
// reading the store costs calls in proportion to their number. What is passed on keeps
// the store's offsets, so that a reader may change between the store and any other
// process at each read, and the moment up to which it was known to be complete.
//
// The package has no I/O, clock or goroutine. Times are of one clock that the caller chooses.
package mirror

import (
	"sort"
	"time"
)

// Record is one record of a topic.
type Record struct {
	Offset int64
	Key    string
	// Value is nil where the key was removed.
	Value []byte
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next int64
}

// maxRemoved bounds the removed keys that are remembered.
const maxRemoved = 1000

// Mirror is the newest record of each key. It is used by one goroutine at a time.
type Mirror struct {
	rows    map[string]Record
	removed int
	known   bool
	// first is the least offset from which the changes are known.
	first, next int64
	proven      time.Duration
}

// New returns a mirror of nothing.
func New() *Mirror {
	return &Mirror{rows: map[string]Record{}}
}

// Replace takes in the newest record of each key, complete as of a moment.
func (m *Mirror) Replace(b Batch, proven time.Duration) {
	if m.known && b.Next < m.next {
		return // read before what is known already
	}
	m.rows, m.removed = map[string]Record{}, 0
	m.known, m.first, m.next = true, b.Next, b.Next
	m.prove(proven)
	for _, r := range b.Records {
		m.put(r)
	}
}

// Append takes in the records from an offset on, complete as of a moment. Records
// that do not follow what is known are left out.
func (m *Mirror) Append(from int64, b Batch, proven time.Duration) {
	if !m.known || from > m.next {
		return
	}
	for _, r := range b.Records {
		m.put(r)
	}
	m.next = max(m.next, b.Next)
	m.prove(proven)
	m.forget()
}

func (m *Mirror) put(r Record) {
	known, ok := m.rows[r.Key]
	if ok && known.Offset > r.Offset {
		return
	}
	if ok && known.Value == nil {
		m.removed--
	}
	if r.Value == nil {
		m.removed++
	}
	m.rows[r.Key] = r
}

func (m *Mirror) prove(at time.Duration) {
	m.proven = max(m.proven, at)
}

// forget drops the oldest half of the removed keys when there are too many.
func (m *Mirror) forget() {
	if m.removed <= maxRemoved {
		return
	}
	var gone []Record
	for _, r := range m.rows {
		if r.Value == nil {
			gone = append(gone, r)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Offset < gone[j].Offset })
	for _, r := range gone[:len(gone)/2] {
		delete(m.rows, r.Key)
		m.first = max(m.first, r.Offset+1)
	}
	m.removed -= len(gone) / 2
}

// Loaded tells whether the topic was read at all.
func (m *Mirror) Loaded() bool {
	return m.known
}

// Next is the offset up to which the topic is known.
func (m *Mirror) Next() int64 {
	return m.next
}

// AsOf is the moment up to which the mirror is known to be complete.
func (m *Mirror) AsOf() time.Duration {
	return m.proven
}

// Since returns the newest records at and after an offset; false where the changes
// since then are not known and Whole must be read.
func (m *Mirror) Since(from int64) (Batch, bool) {
	if !m.known || from < m.first {
		return Batch{}, false
	}
	b := Batch{Next: max(m.next, from)}
	for _, r := range m.rows {
		if r.Offset >= from {
			b.Records = append(b.Records, r)
		}
	}
	sort.Slice(b.Records, func(i, j int) bool { return b.Records[i].Offset < b.Records[j].Offset })
	return b, true
}

// Whole returns the newest record of each key that was not removed.
func (m *Mirror) Whole() Batch {
	b := Batch{Next: m.next}
	for _, r := range m.rows {
		if r.Value != nil {
			b.Records = append(b.Records, r)
		}
	}
	sort.Slice(b.Records, func(i, j int) bool { return b.Records[i].Offset < b.Records[j].Offset })
	return b
}
