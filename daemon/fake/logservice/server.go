package logservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxRecordBytes = 4 << 20
	maxReadLimit   = 5000 // records a read
	defaultLimit   = 500  // records a read
)

// Config sets a server's limits; zero values mean no limit.
type Config struct {
	// RetainCount is how many records a stream keeps.
	RetainCount int
	// RetainAge is how long a stream keeps a record.
	RetainAge time.Duration
	// AppendsPerSecond limits appends over all streams.
	AppendsPerSecond float64
	// Now returns the service's current time; nil = time.Now.
	Now func() time.Time
}

// Server is a fake log service. It is an http.Handler and safe for concurrent use.
type Server struct {
	cfg Config
	mux *http.ServeMux

	mu       sync.Mutex
	streams  map[string]*stream
	faults   Faults
	tokens   float64   // appends allowed now
	refilled time.Time // when tokens was last updated
	appends  int64
	reads    int64
}

// New returns an empty server.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux(), streams: map[string]*stream{}}
	s.tokens = cfg.AppendsPerSecond
	s.refilled = cfg.Now()
	s.mux.HandleFunc("POST /v1/streams/{stream}/records", s.handleAppend)
	s.mux.HandleFunc("GET /v1/streams/{stream}/records", s.handleRead)
	s.mux.HandleFunc("POST /control", s.handleControl)
	return s
}

// ServeHTTP serves the log service's protocol and POST /control.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Counts returns how many appends and reads were carried out.
func (s *Server) Counts() (appends, reads int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.reads
}

// stream returns the named stream and creates it on first use. The caller holds mu.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record too large or cut", http.StatusBadRequest)
		return
	}
	s.delay(r.Context())
	offset, status := s.appendRecord(r.PathValue("stream"), data)
	switch status {
	case statusAnswerDropped:
		panic(http.ErrAbortHandler)
	case http.StatusOK:
		writeJSON(w, map[string]int64{"offset": offset})
	default:
		http.Error(w, http.StatusText(status), status)
	}
}

// statusAnswerDropped marks an append that took effect and whose answer is dropped.
const statusAnswerDropped = -1

// appendRecord stores a record and returns its offset, or 0 and the HTTP status of a
// refusal.
func (s *Server) appendRecord(name string, data []byte) (int64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return 0, http.StatusServiceUnavailable
	}
	now := s.cfg.Now()
	if !s.takeToken(now) {
		return 0, http.StatusTooManyRequests
	}
	st := s.stream(name)
	offset := st.append(data, now)
	s.appends++
	if s.faults.DuplicateAppends > 0 {
		s.faults.DuplicateAppends--
		st.append(data, now)
	}
	st.expire(s.cfg.RetainCount, s.cfg.RetainAge, now)
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return offset, statusAnswerDropped
	}
	return offset, http.StatusOK
}

// takeToken takes one token from the bucket that limits appends, which holds up to
// one second of the rate; false = the append exceeds the limit.
func (s *Server) takeToken(now time.Time) bool {
	rate := s.cfg.AppendsPerSecond
	if rate <= 0 {
		return true
	}
	s.tokens = min(rate, s.tokens+rate*now.Sub(s.refilled).Seconds())
	s.refilled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

type jsonRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

type jsonPage struct {
	Earliest int64        `json:"earliest"`
	Next     int64        `json:"next"`
	NowMS    int64        `json:"now_ms"`
	Records  []jsonRecord `json:"records"`
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, limit, wait := readQuery(r)
	s.delay(r.Context())
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		page, changed, ok := s.page(r.PathValue("stream"), from, limit)
		if !ok {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if len(page.Records) > 0 || page.Earliest > from || ctx.Err() != nil {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Server) page(name string, from int64, limit int) (jsonPage, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return jsonPage{}, nil, false
	}
	now := s.cfg.Now()
	st := s.stream(name)
	st.expire(s.cfg.RetainCount, s.cfg.RetainAge, now)
	kept, next := st.read(from, limit)
	page := jsonPage{Earliest: st.earliest, Next: next, NowMS: now.UnixMilli(), Records: []jsonRecord{}}
	for _, k := range kept {
		page.Records = append(page.Records, jsonRecord{Offset: k.offset, TimeMS: k.at.UnixMilli(), Data: k.data})
	}
	s.reads++
	return page, st.changed, true
}

func readQuery(r *http.Request) (from int64, limit int, wait time.Duration) {
	q := r.URL.Query()
	from, _ = strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ = strconv.Atoi(q.Get("limit"))
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if limit <= 0 {
		limit = defaultLimit
	}
	return max(from, 0), min(limit, maxReadLimit), time.Duration(max(waitMS, 0)) * time.Millisecond
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
