// Package emulate holds the commands that run fakes of endpoints and of the platform's
// services as separate processes on loopback, and the command of the load generator.
package emulate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/fake/instancelist"
	"primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/fake/service"
	"primrosespoke.dev/daemon/fake/weightstore"
	"primrosespoke.dev/daemon/peer/node"
)

// Command is `spokectl emulate`. Each subcommand prints "listening on HOST:PORT" once it
// serves, and ends on SIGTERM or an interrupt.
type Command struct {
	Engine    EngineCommand    `cmd:"" help:"Stand-in for a model engine."`
	Service   ServiceCommand   `cmd:"" help:"Stand-in for a plain service."`
	Log       LogCommand       `cmd:"" help:"Stand-in for the log service."`
	Instances InstancesCommand `cmd:"" help:"Stand-in for the instance list."`
	Weights   WeightsCommand   `cmd:"" help:"Stand-in for the weight store."`
}

// Listen is the flag for the address that a fake listens on.
type Listen struct {
	Listen string `default:"127.0.0.1:0" help:"HOST:PORT to listen on; port 0 takes a free one."`
}

func (l Listen) serve(handler http.Handler) error {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return errors.Wrap(err, "emulate")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Println("listening on", listener.Addr())
	return node.Serve(ctx, listener, handler)
}

// EngineCommand runs a fake model engine.
type EngineCommand struct {
	Listen
	Model            string        `default:"model" help:"Name of the model."`
	PrefillPerSecond float64       `help:"Prompt tokens computed a second; 0 = instant."`
	StepBase         time.Duration `help:"Time of a decode step."`
	StepPerRun       time.Duration `help:"Added to a step for each run in the batch."`
	MaxBatch         int           `help:"Runs in the batch; 0 = default."`
	KVTokens         int           `help:"Memory for runs, in tokens; 0 = default."`
	CacheTokens      int           `help:"Memory of the prefix cache, in tokens; 0 = default."`
	LoadLag          time.Duration `help:"Age of the load report."`
	CacheEventLag    time.Duration `help:"Delay of cache events."`
	CacheEventLoss   float64       `help:"Probability that a cache event is lost."`
	CheckFence       bool          `help:"Refuse orders with an old fencing number."`
	NoKVExport       bool          `help:"Refuse to export KV cache."`
	Seed             int64         `default:"1" help:"Seed of what is random."`
}

// Run serves until the process is told to end by a signal.
func (c EngineCommand) Run() error {
	return c.serve(engine.New(engine.Options{
		Model:            c.Model,
		PrefillPerSecond: c.PrefillPerSecond,
		StepBase:         c.StepBase,
		StepPerRun:       c.StepPerRun,
		MaxBatch:         c.MaxBatch,
		KVTokens:         c.KVTokens,
		CacheTokens:      c.CacheTokens,
		LoadLag:          c.LoadLag,
		CacheEventLag:    c.CacheEventLag,
		CacheEventLoss:   c.CacheEventLoss,
		CheckFence:       c.CheckFence,
		NoKVExport:       c.NoKVExport,
		Seed:             c.Seed,
	}))
}

// ServiceCommand runs a fake plain service.
type ServiceCommand struct{ Listen }

// Run serves until the process is told to end by a signal.
func (c ServiceCommand) Run() error { return c.serve(service.New()) }

// LogCommand runs a fake log service.
type LogCommand struct {
	Listen
	RetainCount      int           `help:"Records kept in a stream; 0 = all."`
	RetainAge        time.Duration `help:"Age up to which records are kept; 0 = any."`
	AppendsPerSecond float64       `help:"Limit of appends over all streams; 0 = none."`
}

// Run serves until the process is told to end by a signal.
func (c LogCommand) Run() error {
	return c.serve(logservice.New(logservice.Config{
		RetainCount:      c.RetainCount,
		RetainAge:        c.RetainAge,
		AppendsPerSecond: c.AppendsPerSecond,
	}))
}

// InstancesCommand runs a fake instance list.
type InstancesCommand struct {
	Listen
	Lag time.Duration `help:"Age of the rows that readers see."`
}

// Run serves until the process is told to end by a signal.
func (c InstancesCommand) Run() error {
	return c.serve(instancelist.New(instancelist.Options{Lag: c.Lag}))
}

// WeightsCommand runs a fake weight store.
type WeightsCommand struct {
	Listen
	BytesPerSecond float64 `default:"10000000" help:"Rate over all readers; 0 = no limit."`
	ObjectBytes    int     `default:"1000000" help:"Size of every object."`
}

// Run serves until the process is told to end by a signal.
func (c WeightsCommand) Run() error {
	return c.serve(weightstore.New(weightstore.Options{
		BytesPerSecond: c.BytesPerSecond,
		ObjectBytes:    c.ObjectBytes,
	}))
}
