// Package supervise decides at the home host of a backend server whether the server
// answers well enough to get reads: it ejects servers that fail more often than callers
// can bear, and lets them come back through a few probes.
//
// Detector is pure: it is given the time and does no I/O.
package supervise
