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

// store is the platform's store, with the calls on keyed topics that a front uses.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
}

type topic struct {
	records [][]byte // each the length of the key, the key and the value
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{}
	}
	return s.topics[name]
}

// put writes a record; an empty value removes the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	t := s.topic(name)
	t.records = append(t.records, append(record, value...))
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	first := -1
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+n]
		body = body[4+n:]
		keyEnd := 1 + int(record[0])
		s.put(name, string(record[1:keyEnd]), record[keyEnd:])
	}
	s.mu.Lock()
	end := len(s.topic(name).records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first + end, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topic(q.Get("topic")).records, s.changed
		s.mu.Unlock()
		if len(records) > from {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeRecords(w, records, from)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, records [][]byte, from int) {
	reply := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	reply = binary.BigEndian.AppendUint64(reply, 0)
	for _, record := range records[min(from, len(records)):] {
		reply = binary.BigEndian.AppendUint32(reply, uint32(len(record)))
		reply = append(reply, record...)
	}
	_, _ = w.Write(reply)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("topic")).records
	s.mu.Unlock()
	byKey := map[string]item{}
	for offset, record := range records {
		keyEnd := 1 + int(record[0])
		key := string(record[1:keyEnd])
		if len(record) == keyEnd {
			delete(byKey, key)
			continue
		}
		byKey[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(record[keyEnd:]), Offset: offset}
	}
	items := []item{}
	for _, i := range byKey {
		items = append(items, i)
	}
	sort.Slice(items, func(i, j int) bool { return strings.Compare(items[i].Key, items[j].Key) < 0 })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more-pages": false, "end": len(records)})
}
