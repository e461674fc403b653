package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["split-route"] = splitRoute }

const applyTime = 2 * time.Second // bound configuration-apply-ms

// splitRoute splits a route, and sends requests whose path the new prefix does not begin.
func splitRoute(p *play, binary, dir string) (bool, error) {
	for i := range 3 {
		if _, err := startRunner(p.store, p.runs, fmt.Sprint("i-desk", i), "desk"); err != nil {
			return false, err
		}
		if _, err := startRunner(p.store, p.runs, fmt.Sprint("i-lookup", i), "lookup"); err != nil {
			return false, err
		}
	}
	const key = "k7d2m9x4"
	tenants := []map[string]any{tenant("crew", key)}
	routes := []map[string]any{route("kits", "/kit/", "non_idempotent", "desk", 1)}
	p.config(10, routes, tenants)
	if err := p.startFronts(binary, dir, 2); err != nil {
		return false, err
	}
	paths := []string{"/kit/free%2F7", "/kit/7"}
	if p.trouble {
		confirmed := p.config(20, append(routes, route("free", "/kit/free/", "idempotent", "lookup", 2)), tenants)
		time.Sleep(time.Until(confirmed.Add(applyTime + time.Second)))
		paths = append(paths, "/kit/free/7")
	}
	for i := range 60 {
		p.send(p.fronts[i%len(p.fronts)], fmt.Sprint("r-", i), "POST", paths[i%len(paths)], key)
		time.Sleep(25 * time.Millisecond)
	}
	ran, served, wrong := p.runs.byID(), 0, 0
	for _, r := range p.requests {
		for _, one := range ran[r.id] {
			served++
			if one.service == "lookup" && r.path != "/kit/free/7" {
				wrong++
			}
		}
	}
	if served < 30 {
		return false, errors.New("too few requests ran")
	}
	p.note("ran at a service to which no config sent allows them to go: %d", wrong)
	return wrong > 0, nil
}
