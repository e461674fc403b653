// Package replay turns what is read of a log stream, from the log itself or from
// a peer, into one ordered sequence of records: each offset once, none left out.
// Where the log has dropped records that were never read, it says so, and a
// snapshot has to bridge the gap.
package replay

import "primrosespoke.dev/coord/invariant"

// bufferLimit bounds the records that wait for an earlier one.
const bufferLimit = 4096

// Record is one record of a stream.
type Record struct {
	// Offset is the record's place in the stream.
	Offset int64
	// Data is the record's body.
	Data []byte
}

// Sequencer orders the records of one stream. It is not safe for concurrent use.
type Sequencer struct {
	next     int64
	earliest int64
	seen     int64
	waiting  map[int64]Record
	repeated int64
}

// New returns a reader that delivers from an offset on.
func New(next int64) *Sequencer {
	return &Sequencer{next: next, seen: next, waiting: map[int64]Record{}}
}

// Next returns the offset that will be delivered next.
func (r *Sequencer) Next() int64 {
	return r.next
}

// NeedsSnapshot reports whether the log no longer holds the next offset, so that a
// snapshot is needed.
func (r *Sequencer) NeedsSnapshot() bool {
	return r.earliest > r.next
}

// Lag returns how many records are known to exist beyond the delivered ones.
func (r *Sequencer) Lag() int64 {
	return max(0, r.seen-r.next)
}

// Repeated returns how many records came more than once.
func (r *Sequencer) Repeated() int64 {
	return r.repeated
}

// SetBounds takes the log's word on the lowest offset it holds and the offset after
// its newest one. Word that is older than what is known changes nothing.
func (r *Sequencer) SetBounds(earliest, next int64) {
	r.earliest = max(r.earliest, earliest)
	r.seen = max(r.seen, next)
}

// Add takes records in any order and returns those that are now due, in order.
// Records that were delivered before are dropped; those that came too early wait,
// as far as there is room, and else must be read again.
func (r *Sequencer) Add(records ...Record) []Record {
	for _, record := range records {
		r.keep(record)
	}
	return r.due()
}

func (r *Sequencer) keep(record Record) {
	r.seen = max(r.seen, record.Offset+1)
	_, waits := r.waiting[record.Offset]
	if record.Offset < r.next || waits {
		r.repeated++
		return
	}
	if len(r.waiting) >= bufferLimit && record.Offset != r.next {
		return
	}
	r.waiting[record.Offset] = record
}

func (r *Sequencer) due() []Record {
	var ready []Record
	for {
		record, ok := r.waiting[r.next]
		if !ok {
			return ready
		}
		delete(r.waiting, r.next)
		ready = append(ready, record)
		r.next++
	}
}

// SkipTo continues from a later offset, after a snapshot bridged the records before
// it, and returns the records that are due then. An earlier offset is ignored.
func (r *Sequencer) SkipTo(to int64) []Record {
	before := r.next
	r.next = max(r.next, to)
	r.seen = max(r.seen, to)
	for offset := range r.waiting {
		if offset < r.next {
			delete(r.waiting, offset)
		}
	}
	invariant.Check(r.next >= before, "replay/forward", "next %d after %d", r.next, before)
	return r.due()
}
