package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["last-tenant"] = lastTenant }

const revokeTime = 5 * time.Second // bound revoke-ms

// lastTenant takes the keys of the only tenant away and goes on sending with one of them.
func lastTenant(p *play, binary, dir string) (bool, error) {
	routes := []map[string]any{route("book", "/book/", "non_idempotent", "desk", 1)}
	for i := range 3 {
		if _, err := startRunner(p.store, p.runs, fmt.Sprint("i-desk", i), "desk"); err != nil {
			return false, err
		}
	}
	const key, neverHeld = "k7d2m9x4", "z0z0z0z0"
	p.config(10, routes, []map[string]any{tenant("crew", key)})
	if err := p.startFronts(binary, dir, 2); err != nil {
		return false, err
	}
	served := 0
	for i := range 40 {
		f := p.fronts[i%len(p.fronts)]
		if p.send(f, fmt.Sprint("before-", i), "POST", "/book/7", key).status == 200 {
			served++
		}
		p.send(f, fmt.Sprint("unknown-before-", i), "POST", "/book/7", neverHeld)
		time.Sleep(25 * time.Millisecond)
	}
	if served < 20 {
		return false, errors.New("requests with the key are not served before it is taken away")
	}
	removed := time.Now().Add(24 * time.Hour)
	if p.trouble {
		removed = p.config(20, routes, []map[string]any{})
	}
	for i, end := 0, time.Now().Add(12*time.Second); time.Now().Before(end); i++ {
		f := p.fronts[i%len(p.fronts)]
		p.send(f, fmt.Sprint("after-", i), "POST", "/book/7", key)
		p.send(f, fmt.Sprint("unknown-after-", i), "POST", "/book/7", neverHeld)
		time.Sleep(100 * time.Millisecond)
	}
	ran, late, unknown := p.runs.byID(), 0, 0
	for _, r := range p.requests {
		switch {
		case len(ran[r.id]) == 0:
		case r.key == neverHeld:
			unknown++
		case r.sent.After(removed.Add(revokeTime)):
			late++
		}
	}
	p.note("ran: %d sent later than revoke-ms after their key was taken away, %d whose key no config ever held", late, unknown)
	return late > 0 || unknown > 0, nil
}
