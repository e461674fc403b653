package ctl

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/peer/operator"
	"primrosespoke.dev/daemon/settings"
)

// DumpCommand prints the state of a process.
type DumpCommand struct {
	URL string `arg:"" help:"The process's operator listener, HOST:PORT or URL."`
}

// Run prints the dump as the process sends it.
func (c *DumpCommand) Run() error {
	data, _, err := call(context.Background(), http.MethodGet, joinURL(c.URL, operator.PathDump), "", nil)
	if err != nil {
		return err
	}
	_, err = Output.Write(data)
	return errors.WithStack(err)
}

// DrainCommand drains a process or recalls its drain.
type DrainCommand struct {
	URL    string `arg:"" help:"The process's operator listener, HOST:PORT or URL."`
	Recall bool   `help:"Put the process back into service."`
}

// Run starts or recalls the drain.
func (c *DrainCommand) Run() error {
	method, state := http.MethodPost, "draining"
	if c.Recall {
		method, state = http.MethodDelete, "in service"
	}
	if _, _, err := call(context.Background(), method, joinURL(c.URL, operator.PathDrain), "", nil); err != nil {
		return err
	}
	_, err := fmt.Fprintf(Output, "%s: %s\n", c.URL, state)
	return errors.WithStack(err)
}

// CheckCommand checks settings files.
type CheckCommand struct {
	Files []string `arg:"" name:"file" help:"Settings files." type:"existingfile"`
}

// Run prints all findings of all files, and fails if there are any.
func (c *CheckCommand) Run() error {
	count := 0
	for _, file := range c.Files {
		for _, finding := range settings.Check(file) {
			fmt.Fprintln(Output, finding.String())
			count++
		}
	}
	if count > 0 {
		return errors.Errorf("%d findings in the settings files", count)
	}
	_, err := fmt.Fprintf(Output, "%d files without findings\n", len(c.Files))
	return errors.WithStack(err)
}
