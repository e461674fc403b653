package main

import (
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// Bounds of the installation.
const (
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 58
)

func init() { cases["budget"] = budget }

// budget kills all fronts several times while the runners fail a part of their requests.
func budget(p *play, binary, dir string) (bool, error) {
	const (
		key      = "k7d2m9x4"
		interval = 15 * time.Millisecond // between requests
		lasts    = 26 * time.Second
		grey     = 12 * time.Second // three times 4 s
		kills    = 3
		down     = 200 * time.Millisecond // 1 s at most
	)
	var runners []*runner
	for i := range 3 {
		r, err := startRunner(p.store, p.runs, fmt.Sprint("i-lookup", i), "lookup")
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	p.config(10, []map[string]any{route("look", "/look/", "idempotent", "lookup", 2)}, []map[string]any{tenant("crew", key)})
	if err := p.startFronts(binary, dir, 3); err != nil {
		return false, err
	}
	fail := func(failing bool) {
		p.note("runners fail a part of their requests: %v", failing)
		for _, r := range runners {
			r.failing.Store(failing)
		}
	}
	time.AfterFunc(8*time.Second, func() { fail(true) })
	time.AfterFunc(8*time.Second+grey, func() { fail(false) })
	var killing sync.WaitGroup
	var startErr error
	if p.trouble {
		killing.Go(func() {
			time.Sleep(9500 * time.Millisecond)
			for range kills {
				p.note("all fronts are killed")
				for _, f := range p.fronts {
					f.kill()
				}
				time.Sleep(down)
				for _, f := range p.fronts {
					startErr = errors.Join(startErr, f.start())
				}
				time.Sleep(2*time.Second - down)
			}
		})
	}
	var calls sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < lasts; i++ {
		f := p.fronts[rand.Intn(len(p.fronts))]
		calls.Go(func() { p.send(f, fmt.Sprint("q-", i), "GET", "/look/7", key) })
		time.Sleep(interval)
	}
	calls.Wait()
	killing.Wait()
	if startErr != nil {
		return false, startErr
	}
	return p.overBudget(), nil
}

// overBudget checks all windows that begin with a request.
func (p *play) overBudget() bool {
	type repeat struct{ at time.Time }
	var repeats []repeat
	for _, arrivals := range p.runs.byID() {
		for _, one := range arrivals[1:] {
			repeats = append(repeats, repeat{one.at})
		}
	}
	sent := func(from time.Time) (n int) {
		for _, r := range p.requests {
			if !r.sent.Before(from) && r.sent.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	over, most := false, 0.0
	for _, r := range repeats {
		n := 0
		for _, other := range repeats {
			if !other.at.Before(r.at) && other.at.Before(r.at.Add(budgetWindow)) {
				n++
			}
		}
		requests := max(sent(r.at), sent(r.at.Add(-budgetWindow)), sent(r.at.Add(-budgetWindow/2)))
		allowed := budgetRatio*float64(requests) + budgetSlack
		if share := float64(n) / allowed; share > most {
			most = share
			p.note("%d runs beyond the first of their request in 10 s from %.3f s, for %d requests; allowed %.0f", n, r.at.Sub(p.begun).Seconds(), requests, allowed)
		}
		over = over || float64(n) > allowed
	}
	return over
}
