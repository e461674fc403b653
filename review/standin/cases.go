package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// configuration is a small version of the operator's config: a stream that may not be resumed, one
// that may, a booking and a lookup.
const configuration = `{"version":7,"routes":[
{"name":"stream","host":"site.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":15000,"target-latency-ms":800,"priority":0,"service":"model","max-attempts":1,"public":false,"sticky-sessions":true,"resume-streams":false,"gap-target-ms":400},
{"name":"resumable","host":"site.example","path-prefix":"/resumable/","kind":"streaming","timeout-ms":15000,"target-latency-ms":800,"priority":0,"service":"model","max-attempts":2,"public":false,"sticky-sessions":true,"resume-streams":true,"gap-target-ms":400},
{"name":"booking","host":"site.example","path-prefix":"/booking/","kind":"non_idempotent","timeout-ms":12000,"target-latency-ms":400,"priority":2,"service":"desk","max-attempts":1,"public":false},
{"name":"lookup","host":"site.example","path-prefix":"/lookup/","kind":"idempotent","timeout-ms":12000,"target-latency-ms":400,"priority":2,"service":"desk","max-attempts":2,"public":false}],
"services":[{"name":"model","health-check-path":"/health","connection-limit":370,"protocol":"h1","tls":false,"engine":{"slots":12,"stride":6,"models":[{"name":"m"}]}},
{"name":"desk","health-check-path":"/health","connection-limit":110,"protocol":"h1","tls":false}],
"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"tenant-a","api-keys":["key-a"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":263969,"burst":263969}]}`

// startRunner starts a runner process, and passes the lines that it prints to each. An empty address
// stands for a free one.
func (w *world) startRunner(id, service, address string, each func(line string), args ...string) (p *process, at string, err error) {
	if address == "" {
		if address, err = freeAddress(); err != nil {
			return nil, "", err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return nil, "", err
	}
	all := append([]string{"runner", "--id", id, "--service", service, "--address", address, "--store", w.store.address}, args...)
	p, err = w.start(id, os.Environ(), func(line string) {
		w.note("runner %s: %s", id, line)
		if each != nil {
			each(line)
		}
	}, self, all...)
	w.note("process of runner %s started at %s", id, address)
	return p, address, err
}

// startFronts starts two fronts and waits until they are ready.
func (w *world) startFronts() ([]*front, error) {
	var fronts []*front
	for _, id := range []string{"front-a-1", "front-a-2"} {
		f, err := w.startFront(id)
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, f)
	}
	for _, f := range fronts {
		if err := until(10*time.Second, f.isReady); err != nil {
			return nil, fmt.Errorf("%s is not ready: %w", f.name, err)
		}
	}
	time.Sleep(2 * time.Second) // the fronts get to know each other
	return fronts, nil
}

// callAll makes calls at the same time; the function results waits for their results.
func (w *world) callAll(f *front, n int, method, path, prefix string, deadline time.Duration) (results func() []result) {
	all := make([]result, n)
	var calls sync.WaitGroup
	for i := range all {
		calls.Go(func() { all[i] = w.call(f, method, path, prefix+strconv.Itoa(i), deadline) })
	}
	return func() []result { calls.Wait(); return all }
}

// hangupWhileStopping: a front that gets SIGTERM goes on with its requests; a second later its
// settings file changes, and it gets SIGHUP.
func hangupWhileStopping(w *world) (bool, error) {
	w.store.put("keyed.op", "config", []byte(configuration))
	if _, _, err := w.startRunner("i-model-1", "model", "", nil, "--stream", "--events", "20", "--pause", "200ms"); err != nil {
		return false, err
	}
	if _, _, err := w.startRunner("i-desk-1", "desk", "", nil, "--events", "1", "--pause", "3s"); err != nil {
		return false, err
	}
	fronts, err := w.startFronts()
	if err != nil {
		return false, err
	}
	f := fronts[0]
	streams := w.callAll(f, 6, "POST", "/stream/x", "stream-", 12*time.Second)
	bookings := w.callAll(f, 3, "POST", "/booking/x", "booking-", 12*time.Second)
	time.Sleep(time.Second)
	stopped := time.Now()
	w.note("SIGTERM to %s", f.name)
	f.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if w.trouble {
		w.note("SIGHUP to %s: its settings file has changed", f.name)
		f.signal(syscall.SIGHUP)
	}
	broken := false
	for _, r := range append(streams(), bookings()...) {
		// All were passed on before SIGTERM, and their runners end them 4 s after they were sent.
		if r.err != nil {
			w.note("LOST: request %s was read and passed on, and its channel ended without a complete answer %.1f s after SIGTERM", r.id, r.ended.Sub(stopped).Seconds())
			broken = true
		}
	}
	return broken, nil
}

// crashWhileFrozen: a front stands still for 3 s. Meanwhile one of four runners crashes while it
// answers requests of that front, and is back 2 s later.
func crashWhileFrozen(w *world) (bool, error) {
	const events = 40
	w.store.put("keyed.op", "config", []byte(configuration))
	var runs runList
	runners := map[string]*process{}
	addresses := map[string]string{}
	args := []string{"--stream", "--events", strconv.Itoa(events), "--pause", "100ms"}
	for i := 1; i <= 4; i++ {
		id := "i-model-" + strconv.Itoa(i)
		all := args
		if i <= 2 {
			all = append([]string{"--unframed", "/stream/long"}, args...)
		}
		r, at, err := w.startRunner(id, "model", "", runs.watch(id), all...)
		if err != nil {
			return false, err
		}
		runners[id], addresses[id] = r, at
	}
	fronts, err := w.startFronts()
	if err != nil {
		return false, err
	}
	f := fronts[0]
	for i := range 10 {
		w.callAll(f, 16, "POST", "/stream/short", fmt.Sprintf("short-%d-", i), 12*time.Second)()
	}
	streams := w.callAll(f, 8, "POST", "/stream/long", "long-", 12*time.Second)
	time.Sleep(time.Second)
	crashes := "i-model-1"
	if runs.count("i-model-2", "long-") > runs.count(crashes, "long-") {
		crashes = "i-model-2"
	}
	if runs.count(crashes, "long-") == 0 {
		return false, errors.New("no request runs at a runner that answers without a length")
	}
	if w.trouble {
		w.note("%s freezes", f.name)
		f.signal(syscall.SIGSTOP)
		frozen := time.Now()
		time.Sleep(300 * time.Millisecond)
		w.note("runner %s crashes", crashes)
		runners[crashes].signal(syscall.SIGKILL)
		<-runners[crashes].ended
		time.Sleep(2 * time.Second)
		all := append([]string{"--unframed", "/stream/long"}, args...)
		if _, _, err := w.startRunner(crashes, "model", addresses[crashes], runs.watch(crashes), all...); err != nil {
			return false, err
		}
		time.Sleep(time.Until(frozen.Add(3 * time.Second)))
		w.note("%s wakes", f.name)
		f.signal(syscall.SIGCONT)
	}
	broken := false
	for _, r := range streams() {
		if r.err == nil && r.status == 200 && !hasLine(r.body, events) {
			w.note("MIXED: request %s got a success that looks complete and is not its runner's whole body", r.id)
			broken = true
		}
	}
	return broken, nil
}

// runList records which requests the runners ran.
type runList struct {
	mu   sync.Mutex
	runs map[string][]string // request IDs by runner
}

// watch returns a function that records the lines that a runner prints.
func (l *runList) watch(id string) func(line string) {
	return func(line string) {
		request, ok := strings.CutPrefix(line, "runs ")
		if !ok {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.runs == nil {
			l.runs = map[string][]string{}
		}
		l.runs[id] = append(l.runs[id], request[:strings.Index(request, ",")])
	}
}

// count counts the runs of a runner whose request ID has a prefix.
func (l *runList) count(id, prefix string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, request := range l.runs[id] {
		if strings.HasPrefix(request, prefix) {
			n++
		}
	}
	return n
}

// hasLine reports whether a body holds its last line or event.
func hasLine(body string, last int) bool {
	return strings.Contains(body, fmt.Sprintf(" %d of %d of ", last, last))
}
