// Package cluster runs a whole deployment on loopback: stand-in databases, the
// platform fake and several hosts in one process. The demonstration, the
// benchmarks and the tests use it.
package cluster
