// Command primrosespoke runs an entry, an agent or a front, or a small deployment on loopback
// for trials. It also lists the settings.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"primrosespoke.dev/daemon/dev"
	"primrosespoke.dev/daemon/process"
	"primrosespoke.dev/daemon/settings"
	"primrosespoke.dev/daemon/signals"
	"primrosespoke.dev/platform"
)

// sources holds the flags from which an entry or an agent loads its settings.
type sources struct {
	Settings string   `help:"YAML file with the settings." type:"existingfile" short:"s"`
	Set      []string `help:"A setting as path.to.key=value; may be repeated. Goes over the environment, which goes over the file." sep:"none"`
}

func (s sources) forRole(role settings.Role) settings.Sources {
	return settings.Sources{File: s.Settings, Environ: os.Environ(), Flags: s.Set, Role: role}
}

// runner runs a process with its settings until ctx ends; see package process.
type runner func(ctx context.Context, s *settings.Settings, started process.Started) error

// run loads the settings and runs a process with them until a signal stops it. On SIGHUP the
// settings are checked again. Those in use don't change: whatever may change in a running
// process is part of the configuration.
func run(from settings.Sources, h *signals.Handler, start runner) error {
	s, err := settings.Load(from)
	if err != nil {
		return err
	}
	reload := func() error {
		_, err := settings.Load(from)
		return err
	}
	return start(h.Context(), s, func(log zerolog.Logger, dump func() any) {
		h.Attach(signals.Hooks{Log: log, Reload: reload, Dump: dump})
	})
}

// entryCommand is `primrosespoke entry`.
type entryCommand struct{ sources }

// Run serves callers until a signal stops it, then drains.
func (c entryCommand) Run(h *signals.Handler) error {
	return run(c.forRole(settings.RoleEntry), h, process.RunEntry)
}

// agentCommand is `primrosespoke agent`.
type agentCommand struct{ sources }

// Run serves one endpoint until a signal stops it, then drains.
func (c agentCommand) Run(h *signals.Handler) error {
	return run(c.forRole(settings.RoleAgent), h, process.RunAgent)
}

// frontCommand is `primrosespoke front`. Unlike sources, it also takes the path of the
// settings file from the environment.
type frontCommand struct {
	Settings string   `help:"YAML file with the settings." type:"existingfile" short:"s" env:"PRIMROSESPOKE_NODE_FILE"`
	Set      []string `help:"A setting as path.to.key=value; may be repeated." sep:"none"`
}

// Run serves callers on the users' platform until a signal stops it, then drains.
func (c frontCommand) Run(h *signals.Handler) error {
	from := settings.Sources{File: c.Settings, Environ: os.Environ(), Flags: c.Set, Role: settings.RoleFront}
	return run(from, h, func(ctx context.Context, s *settings.Settings, started process.Started) error {
		return process.RunFront(ctx, s, process.FrontPlatform{
			Store: platform.NewStore(s.Front.Store), Wire: platform.Wire{}, ReadinessPath: platform.ReadinessPath, ScarceMemory: platform.ScarceMemory, ClientAccounts: platform.ClientAccounts,
		}, started)
	})
}

// devCommand is `primrosespoke dev`.
type devCommand struct{ dev.Command }

// Run runs the deployment until a signal.
func (c devCommand) Run(h *signals.Handler) error {
	h.Foreground()
	return c.Command.Run(h.Context())
}

// settingsCommand is `primrosespoke settings`.
type settingsCommand struct {
	Page bool `help:"Print the reference page, as in docs/SETTINGS.md."`
}

// Run prints every setting with its description, default, unit and environment variable.
func (c settingsCommand) Run(h *signals.Handler) error {
	h.Foreground()
	if c.Page {
		fmt.Print(settings.Reference())
		return nil
	}
	for _, key := range settings.Keys() {
		fmt.Printf("%s\n    %s\n", key.Path, key.Doc)
		fmt.Printf("    default %q", key.Default)
		if key.Unit != "" {
			fmt.Printf(", unit %s", key.Unit)
		}
		fmt.Printf(", environment %s\n", key.Env())
	}
	return nil
}

// commands holds the subcommands, as kong parses them.
type commands struct {
	Entry    entryCommand    `cmd:"" help:"Hold callers' connections and schedule their requests."`
	Agent    agentCommand    `cmd:"" help:"Stand beside one endpoint and pass all its work."`
	Front    frontCommand    `cmd:"" help:"Hold callers' connections on the users' platform and send requests straight to endpoints."`
	Dev      devCommand      `cmd:"" help:"Run a whole small deployment on loopback, with stand-ins for the platform and the endpoints."`
	Settings settingsCommand `cmd:"" help:"List all settings with their defaults and units."`
}

func main() {
	handler := signals.Catch(hangUpIgnored())
	var cli commands
	parsed := kong.Parse(&cli, kong.Name("primrosespoke"),
		kong.Description("Request scheduler for unlike engines."),
		kong.Bind(handler))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
