package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a runner ran.
type run struct {
	id, service, runner, path, tenant string
	at                                time.Time
}

// runs collects what all runners ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// byID returns the runs by the ID of their request.
func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	byID := map[string][]run{}
	for _, one := range r.all {
		byID[one.id] = append(byID[one.id], one)
	}
	return byID
}

// failingShare is the share of requests that a failing runner fails.
const failingShare = 0.45

// runner is a stand-in for a sound runner of a plain service.
type runner struct {
	id, service, zone string
	born              int64
	slots             int
	work              atomic.Int64 // how long a request takes, a time.Duration
	listener          net.Listener
	runs              *runs
	running           atomic.Int64
	failing           atomic.Bool // it fails failingShare of its requests after their run
	sequence          atomic.Int64
}

func startRunner(s *store, all *runs, id, service string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: "a", born: time.Now().UnixMilli(), slots: 6, listener: l, runs: all}
	r.work.Store(int64(15 * time.Millisecond))
	go func() { _ = http.Serve(l, r) }()
	r.register(s)
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.register(s)
		}
	}()
	return r, nil
}

// register writes the row of the runner.
func (r *runner) register(s *store) {
	s.put("keyed.servers", r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold-remaining-ms": 0, "sequence": r.sequence.Add(1), "born": r.born,
	})
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	if req.URL.Path == "/api/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"combined","models":[],"busy":false,"sequence":0,"waiting-requests":0,"running-requests":%d,"born":%d}`, r.running.Load(), r.born)
		return
	}
	w.Header().Set("X-Request-Id", id)
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	defer r.running.Add(-1)
	if r.running.Add(1) > int64(r.slots) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.runs.add(run{id: id, service: r.service, runner: r.id, path: req.RequestURI, tenant: req.Header.Get("X-Tenant"), at: time.Now()})
	time.Sleep(time.Duration(r.work.Load()))
	w.Header().Set("X-Response-Seal", "seal-"+r.id+"-"+id)
	if r.failing.Load() && rand.Float64() < failingShare {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}
