package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log with topics of one partition each.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
}

// topic holds all records of a topic and, if it has keys, the offset of the newest of each.
type topic struct {
	records [][]byte
	newest  map[string]int64
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string {
	return s.listener.Addr().String()
}

// topic returns the topic of a name, which it creates if there is none. The caller holds the mutex.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}}
		s.topics[name] = t
	}
	return t
}

// add appends a record. The caller holds the mutex.
func (s *store) add(name string, record []byte) {
	t := s.topic(name)
	if strings.HasPrefix(name, "keyed.") && len(record) > 0 && len(record) > int(record[0]) {
		key := string(record[1 : 1+int(record[0])])
		t.newest[key] = int64(len(t.records))
		if len(record) == 1+len(key) {
			delete(t.newest, key)
		}
	}
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row and returns when the store confirms it.
func (s *store) put(name, key string, row any) time.Time {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // rows are made of plain values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
	return time.Now()
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	const pageRows = 500
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageRows
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageRows)] {
		offset := t.newest[key]
		value := t.records[offset][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	reply := map[string]any{"items": items, "more-pages": more, "end": len(t.records)}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	over := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed := int64(len(t.records)), s.changed
		if from > end {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"first": 0})
			return
		}
		if from < end || !waiting {
			reply := binary.BigEndian.AppendUint64(nil, uint64(end))
			reply = binary.BigEndian.AppendUint64(reply, 0)
			for _, record := range t.records[from:] {
				reply = append(binary.BigEndian.AppendUint32(reply, uint32(len(record))), record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(reply)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topic(name).records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": first})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.add(name, body[4:4+size])
		body = body[4+size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": len(s.topic(name).records)})
}

// remove removes a row.
func (s *store) remove(name, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append([]byte{byte(len(key))}, key...))
}
