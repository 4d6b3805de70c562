// Package soak runs hosts as separate processes against stand-ins of databases
// and store, injects faults from outside of them by a plan that a seed draws, and
// checks the promises from what callers and databases see. docs/SOAK.md says how
// to run and read it.
package soak
