// Package cli implements the subcommands of the cranberryhinge binary.
package cli

import (
	"fmt"
	"io"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	fmt.Fprintln(stderr, "usage: cranberryhinge <subcommand>")
	return exitUsage
}
