// Package fixedseed makes property tests draw the same cases in every run. Test
// files import it for its effect. Another seed is given on the command line:
// go test ./internal/customer -rapid.seed=7 -rapid.checks=5000
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag before init sets its default
)

// seed is the default of rapid's own flag; 0 would mean a random one.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
