// Package bench runs load against a whole deployment on loopback, measures what
// the design promises, and checks the answers against a simple oracle.
package bench
