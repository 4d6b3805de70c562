package cli

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/demo"
)

func (a *app) demoCommand() *ff.Command {
	flags := ff.NewFlagSet("demo")
	a.jsonFlag(flags)
	verbose := flags.Bool('v', "verbose", "show the hosts' logs on standard error")
	return &ff.Command{
		Name:      "demo",
		Usage:     "cranberryhinge demo [--json] [--verbose]",
		ShortHelp: "run a complete deployment on loopback and check its guarantees with PostgreSQL clients",
		LongHelp:  "The exit code is 0 only if every guarantee held.\n\nEXAMPLE\n  go run ./cmd/cranberryhinge demo",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			opts := demo.Options{Out: a.stdout}
			if a.json {
				opts.Out = io.Discard
			}
			if *verbose {
				opts.Log = a.stderr
			}
			r, err := demo.Run(ctx, opts)
			if err != nil {
				return err
			}
			if a.json {
				if err := a.printJSON(r); err != nil {
					return err
				}
			}
			if !r.OK {
				return errors.New("a promise was broken")
			}
			return nil
		},
	}
}
