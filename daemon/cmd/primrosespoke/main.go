// Command primrosespoke runs an entry, an agent or a front, or a small deployment on loopback
// for trials. It also lists the settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"primrosespoke.dev/daemon/dev"
	"primrosespoke.dev/daemon/process"
	"primrosespoke.dev/daemon/settings"
	"primrosespoke.dev/platform"
)

// sources holds the flags from which an entry or an agent loads its settings.
type sources struct {
	Settings string   `help:"YAML file with the settings." type:"existingfile" short:"s"`
	Set      []string `help:"A setting as path.to.key=value; may be repeated. Goes over the environment, which goes over the file." sep:"none"`
}

func (s sources) load(role settings.Role) (*settings.Settings, error) {
	return settings.Load(settings.Sources{File: s.Settings, Environ: os.Environ(), Flags: s.Set, Role: role})
}

// entryCommand is `primrosespoke entry`.
type entryCommand struct{ sources }

// Run serves callers until a signal, then drains.
func (c entryCommand) Run(ctx context.Context) error {
	s, err := c.load(settings.RoleEntry)
	if err != nil {
		return err
	}
	return process.RunEntry(ctx, s)
}

// agentCommand is `primrosespoke agent`.
type agentCommand struct{ sources }

// Run serves one endpoint until a signal, then drains.
func (c agentCommand) Run(ctx context.Context) error {
	s, err := c.load(settings.RoleAgent)
	if err != nil {
		return err
	}
	return process.RunAgent(ctx, s)
}

// frontCommand is `primrosespoke front`. Unlike sources, it also takes the path of the
// settings file from the environment.
type frontCommand struct {
	Settings string   `help:"YAML file with the settings." type:"existingfile" short:"s" env:"PRIMROSESPOKE_NODE_FILE"`
	Set      []string `help:"A setting as path.to.key=value; may be repeated." sep:"none"`
}

// Run serves callers on the users' platform until a signal, then drains. At SIGHUP the
// settings are only checked again, not applied.
func (c frontCommand) Run(ctx context.Context) error {
	src := settings.Sources{File: c.Settings, Environ: os.Environ(), Flags: c.Set, Role: settings.RoleFront}
	s, err := settings.Load(src)
	if err != nil {
		return err
	}
	reload := func() error {
		_, err := settings.Load(src)
		return err
	}
	return process.RunFront(ctx, s, process.FrontPlatform{
		Store: platform.NewStore(s.Front.Store), Wire: platform.Wire{}, ReadinessPath: platform.ReadinessPath,
	}, reload)
}

// settingsCommand is `primrosespoke settings`.
type settingsCommand struct {
	Page bool `help:"Print the reference page, as in docs/SETTINGS.md."`
}

// Run prints every setting with its description, default, unit and environment variable.
func (c settingsCommand) Run() error {
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
	Dev      dev.Command     `cmd:"" help:"Run a whole small deployment on loopback, with stand-ins for the platform and the endpoints."`
	Settings settingsCommand `cmd:"" help:"List all settings with their defaults and units."`
}

func main() {
	// The first signal starts a drain and restores the default handling, so that a second one
	// ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	var cli commands
	parsed := kong.Parse(&cli, kong.Name("primrosespoke"),
		kong.Description("Request scheduler for unlike engines."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
