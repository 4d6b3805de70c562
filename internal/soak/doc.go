// Package soak runs hosts as separate processes against stand-ins for the databases
// and the store. It draws a plan of faults and planned changes from a seed, injects
// them from outside the processes, and checks the consistency and availability
// guarantees from what callers and databases observe. docs/SOAK.md describes how to
// run it and how to read its results.
//
// Run returns every observed violation as a breach in Result.Breaches; its error
// covers only faults of the harness, such as files that cannot be written.
package soak
