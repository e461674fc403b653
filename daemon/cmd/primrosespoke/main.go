// Command primrosespoke is the daemon: an entry, an agent, or a whole
// deployment on loopback for trying it out.
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

// sources are the flags that say where settings come from.
type sources struct {
	Settings string   `help:"YAML file with the settings." type:"existingfile" short:"s"`
	Set      []string `help:"A setting as path.to.key=value; may be repeated. Goes over the environment, which goes over the file." sep:"none"`
}

func (s sources) load(role settings.Role) (*settings.Settings, error) {
	return settings.Load(settings.Sources{File: s.Settings, Environ: os.Environ(), Flags: s.Set, Role: role})
}

type entryCommand struct{ sources }

// Run serves callers until a signal, then drains.
func (c entryCommand) Run(ctx context.Context) error {
	s, err := c.load(settings.RoleEntry)
	if err != nil {
		return err
	}
	return process.RunEntry(ctx, s)
}

type agentCommand struct{ sources }

// Run serves one endpoint until a signal, then drains.
func (c agentCommand) Run(ctx context.Context) error {
	s, err := c.load(settings.RoleAgent)
	if err != nil {
		return err
	}
	return process.RunAgent(ctx, s)
}

type frontCommand struct {
	Settings string   `help:"YAML file with the settings." type:"existingfile" short:"s" env:"PRIMROSESPOKE_NODE_FILE"`
	Set      []string `help:"A setting as path.to.key=value; may be repeated." sep:"none"`
}

// Run serves callers on the users' platform until a signal, then drains.
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

type settingsCommand struct {
	Page bool `help:"Print the reference page, as in docs/SETTINGS.md."`
}

// Run lists every setting with its default, unit and meaning.
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

type commands struct {
	Entry    entryCommand    `cmd:"" help:"Hold callers' connections and schedule their requests."`
	Agent    agentCommand    `cmd:"" help:"Stand beside one endpoint and pass all its work."`
	Front    frontCommand    `cmd:"" help:"Hold callers' connections on the users' platform and send requests straight to endpoints."`
	Dev      dev.Command     `cmd:"" help:"Run a whole small deployment on loopback, with stand-ins for the platform and the endpoints."`
	Settings settingsCommand `cmd:"" help:"List all settings with their defaults and units."`
}

func main() {
	// A second signal ends the process at once.
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
