// Package peerpb holds the generated gRPC code.
package peerpb

//go:generate ../../generate.sh
