// Package logservice is a fake of the platform's log service. It keeps records in
// memory with limited retention, limits the rate of appends and injects faults.
package logservice

import "time"

// record is one kept record.
type record struct {
	offset int64
	at     time.Time
	data   []byte
}

// stream holds the kept records of one stream, by offset.
type stream struct {
	records  []record
	earliest int64 // lowest offset that is kept
	next     int64 // offset of the next append
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

func (s *stream) append(data []byte, now time.Time) int64 {
	offset := s.next
	s.records = append(s.records, record{offset: offset, at: now, data: data})
	s.next++
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// expire drops the oldest records beyond the count or the age; zero means no limit.
func (s *stream) expire(count int, age time.Duration, now time.Time) {
	for len(s.records) > 0 {
		overCount := count > 0 && len(s.records) > count
		overAge := age > 0 && now.Sub(s.records[0].at) > age
		if !overCount && !overAge {
			return
		}
		s.drop()
	}
}

// trim drops every record below an offset.
func (s *stream) trim(to int64) {
	for len(s.records) > 0 && s.records[0].offset < to {
		s.drop()
	}
}

func (s *stream) drop() {
	s.earliest = s.records[0].offset + 1
	s.records = s.records[1:]
}

// read returns up to limit records, starting at an offset, and the offset after them.
func (s *stream) read(from int64, limit int) ([]record, int64) {
	if from < s.earliest {
		from = s.earliest
	}
	if from >= s.next {
		return nil, s.next
	}
	start := int(from - s.earliest)
	end := min(start+limit, len(s.records))
	kept := s.records[start:end]
	return kept, kept[len(kept)-1].offset + 1
}
