// Command standin runs one case of the review: it starts stand-ins of the platform, of
// the databases and of the clients, and hosts of cranberryhinge as separate processes.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxRunTime bounds a run of a case.
const maxRunTime = 115 * time.Second

// maxPrinted is the number of breaches that are printed; the record has all.
const maxPrinted = 10

// result is the outcome of a case.
type result struct {
	// checked counts what was checked; a run that has checked nothing couldn't run.
	checked  int
	breaches []string
}

var cases = map[string]func(rec *recorder, root string, trouble bool) (result, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	root, err := filepath.Abs(filepath.Join(folder, "../.."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	type outcome struct {
		result
		err error
	}
	ended := make(chan outcome, 1)
	go func() {
		r, err := cases[name](rec, root, trouble)
		ended <- outcome{r, err}
	}()
	select {
	case o := <-ended:
		return report(rec, o.result, o.err)
	case <-time.After(maxRunTime):
		// The hosts end with this process.
		rec.say("couldn't run: not over after %v", maxRunTime)
		return 2
	}
}

func report(rec *recorder, r result, err error) int {
	switch {
	case err != nil:
		rec.say("couldn't run: %v", err)
		return 2
	case len(r.breaches) > 0:
		for i, b := range r.breaches {
			rec.printf("BROKEN: %s", b)
			if i < maxPrinted {
				fmt.Println("BROKEN:", b)
			}
		}
		rec.say("the rule was broken %d times, %d checked", len(r.breaches), r.checked)
		return 1
	case r.checked == 0:
		rec.say("couldn't run: nothing was checked")
		return 2
	}
	rec.say("the rule held, %d checked", r.checked)
	return 0
}
