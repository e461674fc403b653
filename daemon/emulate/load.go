package emulate

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/load"
)

// LoadCommand is `spokectl load`, which sends a bounded load to entries.
type LoadCommand struct {
	URLs         []string      `arg:"" name:"url" help:"Base URLs of entries, used in turn."`
	Mix          string        `type:"existingfile" help:"YAML file of a mix; the flags below are then not used."`
	Key          []string      `default:"key" help:"Callers' keys, each NAME=KEY or KEY; they share the load evenly."`
	Tier         []string      `help:"Tiers to ask for, in even shares; none = the account's default."`
	Model        string        `default:"model" help:"Model to ask for."`
	Service      string        `help:"Book at this plain service instead."`
	PromptMin    int           `default:"32" help:"Shortest prompt in tokens."`
	PromptMax    int           `default:"1024" help:"Longest prompt in tokens."`
	TokensMin    int           `default:"8" help:"Shortest answer in tokens."`
	TokensMax    int           `default:"256" help:"Longest answer in tokens."`
	Prefixes     int           `help:"Shared beginnings of prompts to choose from."`
	PrefixTokens int           `default:"512" help:"Length of a shared beginning."`
	Deadline     time.Duration `default:"60s" help:"Time for a whole answer."`
	Patience     time.Duration `help:"Time after which a caller without a first token gives up."`
	Retries      int           `help:"How often a caller asks again."`
	Rate         float64       `default:"10" help:"Requests a second."`
	Duration     time.Duration `default:"10s" help:"Time over which requests are sent."`
	FirstToken   time.Duration `help:"Promise on the first token, to count as good."`
	Interval     time.Duration `help:"Promise on the mean time between tokens, to count as good."`
	ChooseIDs    bool          `help:"Send request IDs of the caller's own."`
	Seed         int64         `default:"1" help:"Seed of the plan."`
	JSON         bool          `help:"Write JSON instead of a table."`
}

// Run sends the load and writes the report.
func (c LoadCommand) Run() error {
	mix, err := c.mix()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	plan := load.NewPlan(mix, load.Constant(c.Rate), c.Duration, c.Seed)
	results := load.Run(ctx, plan, load.Target{URLs: c.URLs, ChooseIDs: c.ChooseIDs})
	report := load.Summarise(plan, results, c.promises(mix))
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.WriteTable(os.Stdout)
}

// mix reads the mix from its file or, without a file, makes one from the flags.
func (c LoadCommand) mix() (load.Mix, error) {
	var mix load.Mix
	if c.Mix != "" {
		text, err := os.ReadFile(c.Mix)
		if err != nil {
			return mix, errors.Wrap(err, "mix")
		}
		return mix, errors.Wrap(yaml.UnmarshalWithOptions(text, &mix, yaml.Strict()), c.Mix)
	}
	mix = load.Mix{Model: c.Model, Patience: c.Patience, Retries: c.Retries, HonourRetryAfter: true}
	tiers := c.Tier
	if len(tiers) == 0 {
		tiers = []string{""}
	}
	for _, tier := range tiers {
		mix.Classes = append(mix.Classes, load.Class{
			Tier: tier, Share: 1, Deadline: c.Deadline, Service: c.Service,
			Prompt:   load.Range{Min: c.PromptMin, Max: c.PromptMax},
			Tokens:   load.Range{Min: c.TokensMin, Max: c.TokensMax},
			Prefixes: c.Prefixes, PrefixTokens: c.PrefixTokens,
		})
	}
	for _, key := range c.Key {
		name, secret, ok := strings.Cut(key, "=")
		if !ok {
			name, secret = "caller", key
		}
		mix.Accounts = append(mix.Accounts, load.Account{Name: name, Key: secret, Share: 1})
	}
	return mix, nil
}

// promises returns the latency promises to measure by, the same for every tier.
func (c LoadCommand) promises(mix load.Mix) map[string]load.Promise {
	promises := map[string]load.Promise{}
	for _, class := range mix.Classes {
		promises[class.Tier] = load.Promise{FirstToken: c.FirstToken, TokenInterval: c.Interval}
	}
	return promises
}
