package cli

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/bench"
)

func (a *app) benchCommand() *ff.Command {
	flags := ff.NewFlagSet("bench")
	a.jsonFlag(flags)
	names := strings.Join(bench.ScenarioNames(), ", ")
	scenario := flags.String(0, "scenario", "", "one of "+names)
	seed := flags.Uint64(0, "seed", 1, "seed of the random load and delays")
	duration := flags.Duration(0, "duration", 0, "time under load; 0 for the scenario's default")
	examples := flags.String(0, "examples", "examples", "directory of the example configurations")
	plots := flags.String(0, "plot", "", "directory for plots of the scenario scale")
	return &ff.Command{
		Name:      "bench",
		Usage:     "cranberryhinge bench --scenario <NAME> [--json] [--seed N] [--duration D]",
		ShortHelp: "run load against a complete deployment on loopback and compare the results with the targets",
		LongHelp:  "The exit code is 1 when a target is missed.\n\nEXAMPLE\n  cranberryhinge bench --scenario failover --seed 7",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *scenario == "" {
				return usagef("--scenario is missing; expected one of %s", names)
			}
			return a.bench(ctx, *scenario, bench.Options{Examples: *examples, Seed: *seed, Duration: *duration, Plot: *plots})
		},
	}
}

func (a *app) bench(ctx context.Context, name string, opts bench.Options) error {
	if !slices.Contains(bench.ScenarioNames(), name) {
		return usagef("unknown scenario %q; expected one of %s", name, strings.Join(bench.ScenarioNames(), ", "))
	}
	if opts.Duration < 0 || opts.Duration > time.Hour {
		return usagef("--duration must be between 0 and 1h")
	}
	r, err := bench.Run(ctx, name, opts)
	if err != nil {
		return err
	}
	if a.json {
		if err := a.printJSON(r); err != nil {
			return err
		}
	} else {
		r.WriteText(a.stdout)
	}
	if missed := r.Missed(); len(missed) > 0 {
		return errors.Errorf("missed targets: %s", strings.Join(missed, ", "))
	}
	return nil
}
