// Package cluster runs a complete deployment on loopback in one process: stand-in
// databases, the in-memory fake of the platform's services, and several hosts. A
// simulated network can delay and cut the traffic between availability zones. The
// demonstration, the benchmarks and the tests use this package.
package cluster
