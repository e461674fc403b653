package bench

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Command holds the flags of `spokectl bench`.
type Command struct {
	Deployment string        `default:"norte-es" help:"norte-es or lagos."`
	Case       []string      `help:"Cases to run; none = all."`
	Policy     []string      `help:"Policies to run; none = ours and all baselines."`
	Ablations  bool          `help:"Run ours with each idea switched off instead of the baselines."`
	Seeds      int           `default:"1" help:"Number of seeds, from 1."`
	Duration   time.Duration `default:"12s" help:"Time over which requests are sent in a trial, before scaling."`
	Scale      float64       `default:"2" help:"Divides all times alike."`
	Parallel   int           `default:"3" help:"Trials at a time."`
	Quick      bool          `help:"A few cases and policies in under a minute."`
	List       bool          `help:"Name all cases and policies and end."`
	JSON       string        `help:"File for all figures."`
	HTML       string        `help:"File for the plots."`
}

// Run runs the chosen trials and writes the report.
func (c Command) Run() error {
	o, err := c.options()
	if err != nil {
		return err
	}
	if c.List {
		return list(os.Stdout)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	o.Progress = func(t Trial) { fmt.Fprintln(os.Stderr, t) }
	trials, err := Run(ctx, o)
	if err != nil {
		return err
	}
	report := NewReport(o, trials)
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := writeFile(c.JSON, report.WriteJSON); err != nil {
		return err
	}
	return writeFile(c.HTML, report.WriteHTML)
}

func (c Command) options() (Options, error) {
	o := Options{Duration: c.Duration, Scale: c.Scale, Parallel: c.Parallel}
	for _, d := range Deployments() {
		if d.Name == c.Deployment {
			o.Deployment = d
		}
	}
	if o.Deployment.Name == "" {
		return o, errors.Errorf("bench: no deployment is named %q", c.Deployment)
	}
	if c.Quick {
		c.applyQuick(&o)
	}
	for seed := range c.Seeds {
		o.Seeds = append(o.Seeds, int64(seed+1))
	}
	var err error
	if o.Cases, err = selectByName(Cases(), c.Case, func(v Case) string { return v.Name }); err != nil {
		return o, err
	}
	choice := append([]Policy{FullSystem()}, Baselines()...)
	if c.Ablations {
		choice = append([]Policy{FullSystem()}, Ablations()...)
	}
	if len(c.Policy) > 0 {
		choice = AllPolicies()
	}
	o.Policies, err = selectByName(choice, c.Policy, func(v Policy) string { return v.Name })
	return o, err
}

// applyQuick shortens the trials and, where none are chosen, takes the few cases and
// policies that show the most in under a minute.
func (c *Command) applyQuick(o *Options) {
	o.Duration = 8 * time.Second
	if len(c.Case) == 0 {
		c.Case = []string{"steady-0.95", "burst-3x"}
	}
	if len(c.Policy) == 0 {
		c.Policy = []string{"ours", "least-loaded", "fcfs-agent"}
	}
}

// selectByName returns the values with the given names, or all if no name is given.
func selectByName[T any](all []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var kept []T
	for _, n := range names {
		i := slices.IndexFunc(all, func(v T) bool { return name(v) == n })
		if i < 0 {
			return nil, errors.Errorf("bench: no case or policy is named %q", n)
		}
		kept = append(kept, all[i])
	}
	return kept, nil
}

func list(out *os.File) error {
	for _, c := range Cases() {
		fmt.Fprintln(out, "case", c.Name)
	}
	for _, p := range AllPolicies() {
		fmt.Fprintln(out, "policy", p.Name)
	}
	return nil
}
