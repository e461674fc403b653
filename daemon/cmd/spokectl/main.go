// Command spokectl is the operators' tool: it edits the table, inspects and drains processes
// and checks settings. It also emulates endpoints and the platform, generates load and runs
// benchmarks.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"primrosespoke.dev/daemon/bench"
	"primrosespoke.dev/daemon/ctl"
	"primrosespoke.dev/daemon/emulate"
)

// commands holds the subcommands, as kong parses them.
type commands struct {
	ctl.Commands
	Emulate emulate.Command     `cmd:"" help:"Run a stand-in for an endpoint or for a part of the platform."`
	Bench   bench.Command       `cmd:"" help:"Measure goodput by tier and wasted prefill against simple baselines."`
	Load    emulate.LoadCommand `cmd:"" help:"Send a bounded load to an entry and report goodput by tier."`
}

func main() {
	var cli commands
	parsed := kong.Parse(&cli, kong.Name("spokectl"), kong.Description("Operators' tool of primrosespoke."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
