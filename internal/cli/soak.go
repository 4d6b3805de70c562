package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/soak"
)

// Defaults of a soak run.
const (
	soakHosts    = 6
	soakCallers  = 24
	soakDuration = 45 * time.Second
)

func (a *app) soakCommand() *ff.Command {
	flags := ff.NewFlagSet("soak")
	seed := flags.Uint64(0, "seed", 0, "first seed; 0 for a random one")
	runs := flags.Int(0, "runs", 1, "number of runs, each with the next seed")
	hosts := flags.Int(0, "hosts", soakHosts, "number of host processes")
	callers := flags.Int(0, "callers", soakCallers, "number of callers")
	duration := flags.Duration(0, "length", soakDuration, "length of a run")
	dir := flags.String(0, "dir", "", "directory for logs and results; default is a new one under the temporary directory")
	requirements := flags.String(0, "requirements", "", "comma-separated requirements in the settings of the hosts, which switch optional parts on")
	optional := flags.String(0, "optional-kinds", "", "comma-separated kinds of events to inject beside those of the seed, such as repeat_answers")
	replay := flags.String(0, "replay", "", "result.json of an earlier run whose plan is to be replayed")
	return &ff.Command{
		Name:      "soak",
		Usage:     "cranberryhinge soak [--seed <N>] [--runs <N>] [--replay <FILE>]",
		ShortHelp: "run hosts as processes under random faults and check every guarantee",
		LongHelp:  "The exit code is 1 if a guarantee was violated.\n\nEXAMPLE\n  cranberryhinge soak --seed 7 --runs 3",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *seed == 0 {
				*seed = uint64(time.Now().UnixNano()) % 1_000_000
			}
			if *dir == "" {
				d, err := os.MkdirTemp("", "soak")
				if err != nil {
					return errors.Wrap(err, "create directory")
				}
				*dir = d
			}
			kinds, err := soak.ParseOptionalKinds(*optional)
			if err != nil {
				return err
			}
			var plans []soak.Plan
			for i := range *runs {
				p := soak.NewPlan(*seed+uint64(i), *hosts, *callers, *duration, kinds...)
				if *requirements != "" {
					p.Requirements = strings.Split(*requirements, ",")
				}
				plans = append(plans, p)
			}
			if *replay != "" {
				p, err := loadPlan(*replay)
				if err != nil {
					return err
				}
				plans = []soak.Plan{p}
			}
			return a.soak(ctx, plans, *dir)
		},
	}
}

// loadPlan returns the plan of an earlier run from its result.json.
func loadPlan(path string) (soak.Plan, error) {
	var r soak.Result
	data, err := os.ReadFile(path)
	if err != nil {
		return r.Plan, errors.Wrap(err, "read result")
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return soak.Plan{}, errors.Wrap(err, "decode result")
	}
	return r.Plan, nil
}

// soak runs the plans one after the other and prints their results. It returns an
// error if a run violated a guarantee.
func (a *app) soak(ctx context.Context, plans []soak.Plan, dir string) error {
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "locate the executable")
	}
	failedSeeds := 0
	for _, p := range plans {
		if ctx.Err() != nil {
			break
		}
		runDir := filepath.Join(dir, fmt.Sprintf("seed-%d", p.Seed))
		r, err := soak.Run(ctx, soak.Options{Plan: p, Binary: binary, Dir: runDir, Out: a.stderr})
		if err != nil {
			return err
		}
		a.printf("seed %d: %d events, %d operations, %d served, share %.2f served at the end, %d breaches, results in %s\n",
			p.Seed, len(p.Events), r.Attempted, r.Served, r.FinalServedShare, len(r.Breaches), runDir)
		for _, b := range r.Breaches {
			a.printf("  %s\n", b)
		}
		if len(r.Breaches) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee", failedSeeds, len(plans))
	}
	return nil
}
