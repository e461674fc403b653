// Package mirror holds the newest record of each key of a topic of the platform's store,
// so that a process can serve the topic to others.
//
// Many processes follow the same topics. If each of them read the store, the number of
// calls would grow with the number of processes. A mirror keeps the store's offsets, so
// that a reader may change between the store and any other process at each read, and the
// time up to which its contents are known to be complete.
//
// The package has no I/O, clock or goroutine. Times are of one clock that the caller
// chooses.
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
	// End is the offset after the topic's last record at the time of the read. A batch whose
	// Next is lower holds a part of the records only.
	End int64
	// Era rises each time that the store comes back from an older copy and gives offsets out
	// again. Offsets of two eras can't be compared. 0 = the store states none.
	Era int64
}

// Partial reports whether the batch ends before the topic did at the time of the read, so that
// it proves nothing about which records are the newest.
func (b Batch) Partial() bool {
	return b.Next < b.End
}

// maxRemoved bounds how many removed keys are kept.
const maxRemoved = 1000

// Mirror is the newest record of each key, removed keys included. It is used by one
// goroutine at a time.
type Mirror struct {
	newest       map[string]Record
	removedCount int
	loaded       bool
	// changesFrom is the lowest offset from which all changes are known, and next the
	// offset up to which the topic is known.
	changesFrom, next int64
	era               int64 // of the offsets
	asOf              time.Duration
}

// New returns a mirror that has read nothing yet.
func New() *Mirror {
	return &Mirror{newest: map[string]Record{}}
}

// Replace replaces the contents by the newest record of each key, complete as of a time.
// A read that is older than the contents is ignored.
func (m *Mirror) Replace(b Batch, asOf time.Duration) {
	if m.loaded && (b.Era < m.era || b.Era == m.era && b.Next < m.next) {
		return // older than the contents
	}
	m.newest, m.removedCount = map[string]Record{}, 0
	m.loaded, m.changesFrom, m.next, m.era = true, b.Next, b.Next, b.Era
	m.advanceAsOf(asOf)
	for _, r := range b.Records {
		m.put(r)
	}
}

// Append adds the records from an offset on, complete as of a time unless the batch is partial.
// They are ignored if records between the contents and that offset are missing, or if they are
// of another era.
func (m *Mirror) Append(from int64, b Batch, asOf time.Duration) {
	if !m.loaded || from > m.next || b.Era != m.era {
		return
	}
	for _, r := range b.Records {
		m.put(r)
	}
	m.next = max(m.next, b.Next)
	if !b.Partial() {
		m.advanceAsOf(asOf)
	}
	m.trimRemoved()
}

// put stores a record unless a newer one of its key is known.
func (m *Mirror) put(r Record) {
	known, ok := m.newest[r.Key]
	if ok && known.Offset > r.Offset {
		return
	}
	if ok && known.Value == nil {
		m.removedCount--
	}
	if r.Value == nil {
		m.removedCount++
	}
	m.newest[r.Key] = r
}

// advanceAsOf moves the time of completeness forward, never back.
func (m *Mirror) advanceAsOf(at time.Duration) {
	m.asOf = max(m.asOf, at)
}

// trimRemoved drops the older half of the removed keys when there are more than
// maxRemoved. The changes up to those are no longer known then.
func (m *Mirror) trimRemoved() {
	if m.removedCount <= maxRemoved {
		return
	}
	var removed []Record
	for _, r := range m.newest {
		if r.Value == nil {
			removed = append(removed, r)
		}
	}
	sort.Slice(removed, func(i, j int) bool { return removed[i].Offset < removed[j].Offset })
	for _, r := range removed[:len(removed)/2] {
		delete(m.newest, r.Key)
		m.changesFrom = max(m.changesFrom, r.Offset+1)
	}
	m.removedCount -= len(removed) / 2
}

// Loaded reports whether the whole topic has been read at least once.
func (m *Mirror) Loaded() bool {
	return m.loaded
}

// Next returns the offset up to which the topic is known, where the next read begins.
func (m *Mirror) Next() int64 {
	return m.next
}

// AsOf returns the time up to which the contents are known to be complete.
func (m *Mirror) AsOf() time.Duration {
	return m.asOf
}

// Era returns the era of the contents.
func (m *Mirror) Era() int64 {
	return m.era
}

// Since returns the newest records at or after an offset of an era. It returns false where not
// all changes since then are known, so that Whole must be read.
func (m *Mirror) Since(era, from int64) (Batch, bool) {
	if !m.loaded || era != m.era || from < m.changesFrom {
		return Batch{}, false
	}
	b := Batch{Next: max(m.next, from), End: max(m.next, from), Era: m.era}
	for _, r := range m.newest {
		if r.Offset >= from {
			b.Records = append(b.Records, r)
		}
	}
	sort.Slice(b.Records, func(i, j int) bool { return b.Records[i].Offset < b.Records[j].Offset })
	return b, true
}

// Whole returns the newest record of each key that was not removed.
func (m *Mirror) Whole() Batch {
	b := Batch{Next: m.next, End: m.next, Era: m.era}
	for _, r := range m.newest {
		if r.Value != nil {
			b.Records = append(b.Records, r)
		}
	}
	sort.Slice(b.Records, func(i, j int) bool { return b.Records[i].Offset < b.Records[j].Offset })
	return b
}
