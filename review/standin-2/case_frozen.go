package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["frozen-front"] = frozenFront }

// frozenFront freezes a front while a runner crashes in the middle of its answers, and wakes it
// after the timeout of their route.
func frozenFront(p *play, binary, dir string) (bool, error) {
	const (
		rounds   = 6
		runners  = 4 // of which one crashes in each round
		key      = "k7d2m9x4"
		freeze   = 3500 * time.Millisecond // 4 s at most
		inFlight = 24
	)
	var alive []*processRunner
	start := func() error {
		r, err := startProcessRunner(p, fmt.Sprint("i-desk", len(p.processRunners)), "desk")
		if err == nil {
			alive, p.processRunners = append(alive, r), append(p.processRunners, r)
		}
		return err
	}
	for range runners {
		if err := start(); err != nil {
			return false, err
		}
	}
	p.config(10, []map[string]any{route("book", "/book/", "non_idempotent", "desk", 1)}, []map[string]any{tenant("crew", key)})
	if err := p.startFronts(binary, dir, 1); err != nil {
		return false, err
	}
	f := p.fronts[0]
	for round := range rounds {
		// One answer of the runner that will crash has no length: 6 of 144, less than 0.05.
		_ = alive[0].cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(50 * time.Millisecond)
		var calls sync.WaitGroup
		for i := range inFlight {
			calls.Go(func() { p.send(f, fmt.Sprintf("r%d-%d", round, i), "POST", "/book/7", key) })
		}
		time.Sleep(600 * time.Millisecond) // the first parts have reached the front
		if p.has("freeze") {
			p.note("front-1 freezes")
			_ = f.cmd.Process.Signal(syscall.SIGSTOP)
		}
		if p.has("crash") {
			time.Sleep(200 * time.Millisecond)
			p.note("%s crashes", alive[0].id)
			alive[0].crash()
			alive = alive[1:]
		}
		if p.has("freeze") {
			time.Sleep(freeze - 200*time.Millisecond)
			p.note("front-1 wakes")
			_ = f.cmd.Process.Signal(syscall.SIGCONT)
		}
		calls.Wait()
		if !p.has("crash") {
			continue
		}
		if err := start(); err != nil {
			return false, err
		}
		time.Sleep(5 * time.Second) // until the row of the crashed runner has expired
	}
	whole, cut := 0, 0
	for _, r := range p.requests {
		switch {
		case r.status != 200 || !r.complete:
		case r.body == firstPart(r.id)+secondPart(r.id):
			whole++
		default:
			cut++
		}
	}
	p.note("successes with the whole body: %d; with a part of it, as complete answers: %d", whole, cut)
	if !p.trouble && whole < rounds*inFlight/2 {
		return false, errors.New("too few requests are answered")
	}
	return cut > 0, nil
}
