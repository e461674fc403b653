package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is memory-mb of the fronts.
	memoryMB = 134
	// uploadBytes is below body-bytes of the configuration, and usualBytes is a usual body.
	uploadBytes, usualBytes = 4000000, 12000
	// uploads is how many clients send a body to each front at the same time.
	uploads = 40
	// faultyEnds is how often two processes must end by themselves for the rule to be broken.
	faultyEnds = 3
)

// guard plays the platform for a front: it kills the process when it exceeds memory-mb, and starts it
// again after a short delay. It returns how often it did when stop is closed.
func (w *world) guard(f *front, stop <-chan struct{}) (kills int, err error) {
	for {
		select {
		case <-stop:
			return kills, nil
		case <-time.After(5 * time.Millisecond):
		}
		mb := residentMB(f.cmd.Process.Pid)
		if mb <= memoryMB {
			continue
		}
		kills++
		w.note("platform: %s takes %d MB, more than the %d MB of memory-mb, and is killed", f.name, mb, memoryMB)
		f.signal(syscall.SIGKILL)
		<-f.ended
		time.Sleep(500 * time.Millisecond)
		if err := w.restartFront(f); err != nil {
			return kills, err
		}
	}
}

// residentMB returns the memory of a process that is resident, in megabytes.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

// largeBodies: many clients send bodies of just under body-bytes at the same time.
func largeBodies(w *world) (bool, error) {
	w.store.put("keyed.op", "config", []byte(configuration))
	for i := 1; i <= 4; i++ {
		if _, _, err := w.startRunner("i-desk-"+strconv.Itoa(i), "desk", "", nil, "--slots", "6", "--events", "1", "--pause", "30ms"); err != nil {
			return false, err
		}
	}
	fronts, err := w.startFronts()
	if err != nil {
		return false, err
	}
	size := usualBytes
	if w.trouble {
		size = uploadBytes
	}
	stop := make(chan struct{})
	kills, errs := make([]int, len(fronts)), make([]error, len(fronts))
	var guards sync.WaitGroup
	for i, f := range fronts {
		guards.Go(func() { kills[i], errs[i] = w.guard(f, stop) })
	}
	body := strings.Repeat("x", size)
	for round := range 4 {
		w.note("round %d: %d clients send %d bytes to each front", round, uploads, size)
		var calls sync.WaitGroup
		for i, f := range fronts {
			for n := range uploads {
				calls.Go(func() {
					w.callWith(f, http.MethodPost, "/booking/x", fmt.Sprintf("round-%d-%d-%d", round, i, n), 12*time.Second, body)
				})
			}
		}
		calls.Wait()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	guards.Wait()
	faulty := 0
	for i, f := range fronts {
		if errs[i] != nil {
			return false, errs[i]
		}
		w.note("%s was killed %d times because of its memory", f.name, kills[i])
		if kills[i] >= faultyEnds {
			faulty++
		}
	}
	return faulty >= 2, nil
}
