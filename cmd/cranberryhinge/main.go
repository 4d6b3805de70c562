// Command cranberryhinge is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/cranberryhinge/cranberryhinge/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
