// Command standin2 plays the scripted cases of the second review: it starts fronts as processes,
// and in its own process a store, runners and clients, all on loopback.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// request is one request of a client, and what became of it.
type request struct {
	id, front, method, path, key string
	sent                         time.Time
	status                       int // 0 = no answer
	body                         string
	complete                     bool // the body was read to its end
}

// play is one play of a case.
type play struct {
	trouble        bool
	deadline       time.Duration // of the requests
	store          *store
	runs           *runs
	fronts         []*front
	processRunners []*processRunner
	begun          time.Time
	record         *os.File

	mu       sync.Mutex
	requests []*request
}

// has reports whether a part of the disruption is played: all of them, unless ONLY names one.
func (p *play) has(part string) bool {
	only := os.Getenv("ONLY")
	return p.trouble && (only == "" || only == part)
}

// end kills all processes that the play has started.
func (p *play) end() {
	for _, f := range p.fronts {
		f.kill()
	}
	for _, r := range p.processRunners {
		r.crash()
	}
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f s  %s\n", time.Since(p.begun).Seconds(), fmt.Sprintf(format, args...))
}

// send sends a request on a new channel and records it.
func (p *play) send(f *front, id, method, path, key string) *request {
	deadline := p.deadline
	r := &request{id: id, front: f.id, method: method, path: path, key: key, sent: time.Now()}
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("kit=7"))
	}
	out, err := http.NewRequest(method, "http://"+f.callers+path, body)
	if err != nil {
		panic(err) // the paths of the cases are valid
	}
	out.Host, out.GetBody = "desk.example", nil
	out.Header.Set("X-Request-Id", id)
	out.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		out.Header.Set("Authorization", "Bearer "+key)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline}
	if resp, err := client.Do(out); err == nil {
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		r.status, r.body, r.complete = resp.StatusCode, string(text), err == nil
	}
	p.mu.Lock()
	p.requests = append(p.requests, r)
	p.mu.Unlock()
	p.note("sent %s %s %s key=%q to %s at %.3f s: status %d, complete %v, %.90q", id, method, path, key, f.id, r.sent.Sub(p.begun).Seconds(), r.status, r.complete, r.body)
	return r
}

// config writes a config to the store and returns when that was confirmed.
func (p *play) config(version int, routes, tenants []map[string]any) time.Time {
	at := p.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": "desk", "health-check-path": "/health", "connection-limit": 110}, {"name": "lookup", "health-check-path": "/health", "connection-limit": 110}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	p.note("config %d confirmed: routes %v, tenants %v", version, routes, tenants)
	return at
}

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "path-prefix": prefix, "kind": kind, "service": service, "max-attempts": attempts,
		"timeout-ms": 2000, "target-latency-ms": 100, "priority": 2,
	}
}

func tenant(name string, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{"name": name, "api-keys": keys}
}

// startFronts starts fronts and waits until they are ready.
func (p *play) startFronts(binary, dir string, n int) error {
	for i := range n {
		f, err := startFront(binary, dir, fmt.Sprint("front-", i+1), p.store.address())
		if err != nil {
			return err
		}
		p.fronts = append(p.fronts, f)
	}
	for _, f := range p.fronts {
		if !f.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", f.id)
		}
	}
	return nil
}

// cases are the scripted cases by name, each of which returns whether its rule was broken. The files
// of the cases fill it.
var cases = map[string]func(p *play, binary, dir string) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("front", "target/primrosespoke", "path of the program")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run to")
	runner := flag.String("runner", "", "serve as the runner with this ID; used by the cases themselves")
	born := flag.Int64("born", 0, "when that runner started, in Unix milliseconds")
	flag.Parse()
	if *runner != "" {
		if err := serveProcessRunner(*runner, *born); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(*name, *binary, *record))
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func playCase(name, binary, record string) int {
	playOne, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	s, err := newStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	p := &play{deadline: 12 * time.Second, trouble: os.Getenv("TROUBLE") != "0", store: s, runs: &runs{}, begun: time.Now(), record: file}
	defer p.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		p.end()
		os.Exit(exitNotRun)
	}()
	broken, err := playOne(p, binary, dir)
	for _, one := range p.runs.all {
		p.note("%s ran at %s (%s) at %.3f s: %s tenant=%q", one.id, one.runner, one.service, one.at.Sub(p.begun).Seconds(), one.path, one.tenant)
	}
	switch {
	case err != nil:
		p.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		p.note("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	p.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
