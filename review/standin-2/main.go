// Command review-2 holds the stand-ins and the cases of the review in ../REPORT-2.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "database" {
		runDatabase(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE ROOT FOLDER")
		os.Exit(exitUnable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and writes its record.
func play(name, root, folder string) int {
	self, err := filepath.Abs(os.Args[0])
	if err == nil {
		os.Args[0] = self
	}
	rec := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](d, trouble)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(110 * time.Second):
		o.err = fmt.Errorf("the case took too long")
	}
	d.stop()
	code := exitHeld
	switch {
	case o.err != nil:
		rec.add("verdict", "could not run: "+o.err.Error())
		code = exitUnable
	case o.broken:
		rec.add("verdict", "rule broken")
		code = exitBroken
	default:
		rec.add("verdict", "rule held")
	}
	if err := rec.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	fmt.Println(rec.lines[len(rec.lines)-1])
	return code
}
