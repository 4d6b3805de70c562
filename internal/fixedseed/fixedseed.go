// Package fixedseed gives rapid a fixed default seed, so that property tests draw
// the same cases in every run, and turns off rapid's files of failing cases. Test
// files import it for its side effects. Flags on the command line take precedence:
//
//	go test ./internal/customer -rapid.seed=7 -rapid.checks=5000
package fixedseed

import (
	"flag"
	"os"
	"strings"

	_ "pgregory.net/rapid" // registers the flags before init sets their defaults
)

// seed is the default value of -rapid.seed. 0 would select a random seed.
const seed = "20261204"

func init() {
	mustSetFlag("rapid.seed", seed)
	mustSetFlag("rapid.nofailfile", "true")
}

// SetDefaults sets rapid's flags to the given values, by flag name, except those that
// the command line sets. It must be called from TestMain, and panics on an unknown
// flag or an invalid value.
func SetDefaults(values map[string]string) {
	flag.Parse()
	for name, value := range values {
		if !setOnCommandLine(name) {
			mustSetFlag(name, value)
		}
	}
}

// setOnCommandLine reports whether an argument of the test binary sets the flag.
// flag.Visit does not answer this, because it also visits flags that init has set.
func setOnCommandLine(name string) bool {
	for _, a := range os.Args[1:] {
		a = strings.TrimLeft(a, "-")
		if a == name || strings.HasPrefix(a, name+"=") {
			return true
		}
	}
	return false
}

func mustSetFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
