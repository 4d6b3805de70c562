// Package cli implements the subcommands of the cranberryhinge binary. Main
// returns exit code 0 for success, 1 for a failure and 2 for a usage error.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// usageError is an error in the command line itself, reported with exitUsage.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return usageError{message: fmt.Sprintf(format, args...)}
}

// app holds the state that the subcommands share.
type app struct {
	stdout, stderr io.Writer
	json           bool
}

// Main runs the command line and returns the exit code. SIGINT and SIGTERM cancel
// the subcommand's context.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := &app{stdout: stdout, stderr: stderr}
	root := a.root()
	if err := root.Parse(args); err != nil {
		return a.reportUsageError(root, err)
	}
	err := root.Run(ctx)
	return a.exitCode(root, err)
}

// reportUsageError prints the error and the help of the selected subcommand, or
// only the help if that was requested, and returns the exit code.
func (a *app) reportUsageError(root *ff.Command, err error) int {
	selected := root.GetSelected()
	if selected == nil {
		selected = root
	}
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(a.stdout, ffhelp.Command(selected))
		return exitOK
	}
	fmt.Fprintf(a.stderr, "error: %v\n\n%s\n", err, ffhelp.Command(selected))
	return exitUsage
}

func (a *app) exitCode(root *ff.Command, err error) int {
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrNoExec), errors.As(err, &usage):
		return a.reportUsageError(root, err)
	default:
		fmt.Fprintf(a.stderr, "error: %v\n", err)
		return exitFailure
	}
}

func (a *app) root() *ff.Command {
	flags := ff.NewFlagSet("cranberryhinge")
	return &ff.Command{
		Name:      "cranberryhinge",
		Usage:     "cranberryhinge <SUBCOMMAND> ...",
		ShortHelp: "a database proxy with session consistency",
		Flags:     flags,
		Subcommands: []*ff.Command{
			a.checkCommand(), a.applyCommand(), a.statusCommand(), a.explainCommand(),
			a.keyCommand(), a.zoneCommand(), a.serveCommand(), a.standinCommand(), a.demoCommand(), a.benchCommand(), a.soakCommand(),
		},
	}
}

// jsonFlag adds --json to a flag set. The flag sets app.json.
func (a *app) jsonFlag(flags *ff.FlagSet) {
	flags.BoolVar(&a.json, 0, "json", "print one JSON object instead of text")
}

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "print JSON")
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.stdout, format, args...) }

// oneArg returns the only positional argument. The usage error for any other number
// of arguments names the argument.
func oneArg(args []string, argument string) (string, error) {
	if len(args) != 1 {
		return "", usagef("expected one argument: %s", argument)
	}
	return args[0], nil
}
