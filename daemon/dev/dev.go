// Package dev runs a small deployment in one process on loopback, for trials: an entry, two
// engines of different speed and one plain service with an agent each, and in-memory fakes of
// the endpoints and the platform.
package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/fake/instancelist"
	"primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/fake/service"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/process"
	"primrosespoke.dev/daemon/settings"
)

// Command is `primrosespoke dev`. Its listeners take consecutive ports: first those of the
// entry for callers, operators and peers, then the log service and the instance list, then
// three ports for each endpoint.
type Command struct {
	BasePort int    `default:"8080" help:"First of the twenty ports on 127.0.0.1 that are used."`
	LogLevel string `default:"warn" enum:"debug,info,warn,error" help:"Least level logged."`
}

// Offsets of the ports from the base port, and the number of ports for each endpoint.
const (
	portCaller = iota
	portEntryOperator
	portEntryInternal
	portLog
	portList
	portFirstEndpoint // per endpoint: its own port, then the internal and the operator listener of its agent
	portsPerEndpoint  = 3
)

const (
	// listPoll is the time between two reads of the instance list.
	listPoll = 200 * time.Millisecond
	// readyTimeout is how long the whole deployment may take to become ready.
	readyTimeout = 20 * time.Second
	// readyPoll is the time between two readiness checks of a process.
	readyPoll = 50 * time.Millisecond
)

// endpoint is one endpoint of the deployment with its agent.
type endpoint struct {
	name          string
	pool          string // name of its row in the table
	kind          string // engine or service
	failureDomain string
	handler       http.Handler // the fake endpoint
}

// endpoints returns the endpoints of the deployment, with new fakes that hold no state yet.
func endpoints() []endpoint {
	fast := engine.Options{Model: Model, PrefillPerSecond: 20000, StepBase: 8 * time.Millisecond, StepPerRun: time.Millisecond / 2, MaxBatch: 16}
	slow := engine.Options{Model: Model, PrefillPerSecond: 5000, StepBase: 25 * time.Millisecond, StepPerRun: time.Millisecond, MaxBatch: 8}
	return []endpoint{
		{"engine-fast", Model, "engine", "domain-a", engine.New(fast)},
		{"engine-slow", Model, "engine", "domain-b", engine.New(slow)},
		{"desk", Service, "service", "domain-a", service.New()},
	}
}

// deployment holds what the running parts share.
type deployment struct {
	command Command
	group   *errgroup.Group
	ctx     context.Context // ends when the command is stopped or a part fails
	list    *instancelist.List
}

// Run starts the deployment, prints its addresses and keys, and serves until ctx ends or a
// part fails.
func (c Command) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	d := &deployment{command: c, group: group, ctx: groupCtx, list: instancelist.New(instancelist.Options{})}
	if err := d.start(); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	d.printUsage()
	return group.Wait()
}

// address returns the HOST:PORT at an offset from the base port.
func (d *deployment) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.command.BasePort+offset)
}

func (d *deployment) url(offset int) string {
	return "http://" + d.address(offset)
}

// start starts the platform's fakes, the endpoints with their agents, and the entry. The
// table is written and the instances are listed before the entry reads them.
func (d *deployment) start() error {
	log := logservice.New(logservice.Config{})
	if err := d.serve(portLog, log); err != nil {
		return err
	}
	if err := d.serve(portList, d.list); err != nil {
		return err
	}
	if err := seedTable(d.ctx, d.url(portLog)); err != nil {
		return err
	}
	d.list.Set(membership.Instance{
		ID: "entry-1", Role: membership.RoleEntry, Address: d.address(portEntryInternal),
		FailureDomain: "domain-a", State: membership.StateLive,
	})
	for i, e := range endpoints() {
		if err := d.startEndpoint(portFirstEndpoint+i*portsPerEndpoint, e); err != nil {
			return err
		}
	}
	s, err := d.settings("entry-1", "domain-a", portEntryInternal, portEntryOperator, settings.RoleEntry,
		"addresses.caller="+d.address(portCaller))
	if err != nil {
		return err
	}
	d.group.Go(func() error { return process.RunEntry(d.ctx, s, nil) })
	return nil
}

// startEndpoint serves a fake endpoint and runs its agent.
func (d *deployment) startEndpoint(offset int, e endpoint) error {
	if err := d.serve(offset, e.handler); err != nil {
		return err
	}
	internal, operator := offset+1, offset+2
	s, err := d.settings(e.name, e.failureDomain, internal, operator, settings.RoleAgent,
		"agent.pool="+e.pool, "agent.kind="+e.kind, "agent.endpoint_url="+d.url(offset))
	if err != nil {
		return err
	}
	d.list.Set(membership.Instance{
		ID: e.name, Role: membership.RoleAgent, Pool: e.pool, Address: d.address(internal),
		FailureDomain: e.failureDomain, State: membership.StateLive,
	})
	d.group.Go(func() error { return process.RunAgent(d.ctx, s, nil) })
	return nil
}

// settings returns the settings of a process. The internal and operator listeners are given
// as offsets of their ports; more holds further settings as path=value.
func (d *deployment) settings(id, domain string, internal, operator int, role settings.Role, more ...string) (*settings.Settings, error) {
	flags := append([]string{
		"id=" + id,
		"failure_domain=" + domain,
		"log_level=" + d.command.LogLevel,
		"platform.log_service=" + d.url(portLog),
		"platform.instance_list=" + d.url(portList),
		"platform.list_poll=" + listPoll.String(),
		"addresses.internal=" + d.address(internal),
		"addresses.operator=" + d.address(operator),
	}, more...)
	return settings.Load(settings.Sources{Flags: flags, Role: role})
}

// serve serves a handler on a port until the deployment ends.
func (d *deployment) serve(offset int, handler http.Handler) error {
	listener, err := net.Listen("tcp", d.address(offset))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.group.Go(func() error { return node.Serve(d.ctx, listener, handler) })
	return nil
}

// awaitReady waits until the readiness checks of the entry and of all agents succeed.
func (d *deployment) awaitReady() error {
	readyCtx, cancel := context.WithTimeout(d.ctx, readyTimeout)
	defer cancel()
	offsets := []int{portEntryOperator}
	for i := range endpoints() {
		offsets = append(offsets, portFirstEndpoint+i*portsPerEndpoint+2)
	}
	for _, offset := range offsets {
		for !isReady(readyCtx, d.url(offset)+"/readyz") {
			select {
			case <-readyCtx.Done():
				return errors.Errorf("%s did not become ready", d.url(offset))
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// isReady reports whether a readiness check answers with status 200.
func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) printUsage() {
	fmt.Printf("ready\n  callers    %s  (keys: %s, %s)\n", d.url(portCaller), DeskKey, CrewKey)
	fmt.Printf("  operators  %s\n  model      %s\n  service    %s\n", d.url(portEntryOperator), Model, Service)
}
