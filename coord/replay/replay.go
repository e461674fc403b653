// Package replay orders the records that are read of a log stream, from the log itself or
// from a peer: each offset is delivered once, in order, with none left out. Where the log
// has dropped records that were never read, Sequencer.NeedsSnapshot reports it, and the
// caller has to load a snapshot and go on after it.
package replay

import "primrosespoke.dev/coord/invariant"

// bufferLimit bounds how many records are kept until an earlier one arrives.
const bufferLimit = 4096

// Record is one record of a stream.
type Record struct {
	// Offset is the position of the record in the stream.
	Offset int64
	// Data is the record's body.
	Data []byte
}

// Sequencer orders the records of one stream. It is not safe for concurrent use.
type Sequencer struct {
	next     int64            // the offset to deliver next
	earliest int64            // the lowest offset that the log holds
	end      int64            // the offset after the newest known record
	pending  map[int64]Record // records after a missing one, by offset
	repeated int64            // records that came more than once
}

// New returns a sequencer that delivers from an offset on.
func New(next int64) *Sequencer {
	return &Sequencer{next: next, end: next, pending: map[int64]Record{}}
}

// Next returns the offset that will be delivered next.
func (s *Sequencer) Next() int64 {
	return s.next
}

// NeedsSnapshot reports whether the log no longer holds the next offset, so that a
// snapshot is needed.
func (s *Sequencer) NeedsSnapshot() bool {
	return s.earliest > s.next
}

// Lag returns how many records are known to exist after the delivered ones.
func (s *Sequencer) Lag() int64 {
	return max(0, s.end-s.next)
}

// Repeated returns how many records came more than once.
func (s *Sequencer) Repeated() int64 {
	return s.repeated
}

// SetBounds sets the lowest offset that the log holds and the offset after its newest
// record. Values lower than the known ones change nothing.
func (s *Sequencer) SetBounds(earliest, next int64) {
	s.earliest = max(s.earliest, earliest)
	s.end = max(s.end, next)
}

// Add takes records in any order and returns those that can be delivered now, in order.
// Records that were delivered or are pending are dropped. Records after a missing one are
// kept up to bufferLimit; those beyond it must be read again.
func (s *Sequencer) Add(records ...Record) []Record {
	for _, record := range records {
		s.buffer(record)
	}
	return s.takeReady()
}

// buffer keeps a record until all records before it were delivered.
func (s *Sequencer) buffer(record Record) {
	s.end = max(s.end, record.Offset+1)
	_, isPending := s.pending[record.Offset]
	if record.Offset < s.next || isPending {
		s.repeated++
		return
	}
	if len(s.pending) >= bufferLimit && record.Offset != s.next {
		return
	}
	s.pending[record.Offset] = record
}

// takeReady removes and returns the pending records from the next offset to the first
// missing one.
func (s *Sequencer) takeReady() []Record {
	var ready []Record
	for {
		record, ok := s.pending[s.next]
		if !ok {
			return ready
		}
		delete(s.pending, s.next)
		ready = append(ready, record)
		s.next++
	}
}

// SkipTo continues from a later offset, after a snapshot covered the records before it,
// and returns the records that can be delivered then. An earlier offset is ignored.
func (s *Sequencer) SkipTo(to int64) []Record {
	before := s.next
	s.next = max(s.next, to)
	s.end = max(s.end, to)
	for offset := range s.pending {
		if offset < s.next {
			delete(s.pending, offset)
		}
	}
	invariant.Check(s.next >= before, "replay/forward", "next offset %d is below the earlier %d", s.next, before)
	return s.takeReady()
}
