package logservice

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the faults to inject. The body of POST /control replaces them, except
// that a field left out keeps its value.
type Faults struct {
	// Outage answers every call with 503, also long polls in progress.
	Outage bool `json:"outage"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is how many of the next appends take effect while their answer is dropped.
	LoseAnswers int `json:"lose_answers"`
	// DuplicateAppends is how many of the next appends are stored twice.
	DuplicateAppends int `json:"duplicate_appends"`
}

// Trim names a stream and the lowest offset to keep in it.
type Trim struct {
	Stream string `json:"stream"`
	To     int64  `json:"to"`
}

// SetOutage starts or ends an outage.
func (s *Server) SetOutage(on bool) {
	s.changeFaults(func(f *Faults) { f.Outage = on })
}

// SetSlow delays every call from now on by a duration.
func (s *Server) SetSlow(d time.Duration) {
	s.changeFaults(func(f *Faults) { f.SlowMS = d.Milliseconds() })
}

// LoseAnswers drops the answers of the next n appends, which still take effect.
func (s *Server) LoseAnswers(n int) {
	s.changeFaults(func(f *Faults) { f.LoseAnswers = n })
}

// DuplicateAppends stores each of the next n appends twice.
func (s *Server) DuplicateAppends(n int) {
	s.changeFaults(func(f *Faults) { f.DuplicateAppends = n })
}

// TrimTo drops the records of a stream below an offset.
func (s *Server) TrimTo(name string, to int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).trim(to)
}

// Records returns a copy of the bodies of a stream's kept records, and the
// offset of the first one.
func (s *Server) Records(name string) (first int64, bodies [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	for _, k := range st.records {
		bodies = append(bodies, append([]byte(nil), k.data...))
	}
	return st.earliest, bodies
}

// changeFaults changes the faults and wakes every long poll.
func (s *Server) changeFaults(alter func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	alter(&s.faults)
	for _, st := range s.streams {
		close(st.changed)
		st.changed = make(chan struct{})
	}
}

// delay waits for the duration set in Faults.SlowMS or until ctx is done.
func (s *Server) delay(ctx context.Context) {
	s.mu.Lock()
	d := time.Duration(s.faults.SlowMS) * time.Millisecond
	s.mu.Unlock()
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body := struct {
		Faults
		Trim *Trim `json:"trim"`
	}{Faults: s.faults}
	s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.changeFaults(func(f *Faults) { *f = body.Faults })
	if body.Trim != nil {
		s.TrimTo(body.Trim.Stream, body.Trim.To)
	}
	writeJSON(w, body.Faults)
}
