// Package fixedseed makes property tests draw the same cases in every run. Test
// files import it for its effect. Another seed is given on the command line:
// go test ./internal/customer -rapid.seed=7 -rapid.checks=5000
package fixedseed

import (
	"flag"
	"os"
	"strings"

	_ "pgregory.net/rapid" // registers the flags before init sets their defaults
)

// seed is the default of rapid's own flag; 0 would mean a random one.
const seed = "20261204"

func init() {
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
}

// Defaults changes rapid's flags, but for those that the command line sets. Call
// it from TestMain.
func Defaults(values map[string]string) {
	flag.Parse()
	for name, value := range values {
		if !given(name) {
			set(name, value)
		}
	}
}

// given reports whether an argument of the test binary sets the flag. flag.Visit
// can't tell, because it reports flags that init has set, too.
func given(name string) bool {
	for _, a := range os.Args[1:] {
		a = strings.TrimLeft(a, "-")
		if a == name || strings.HasPrefix(a, name+"=") {
			return true
		}
	}
	return false
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
