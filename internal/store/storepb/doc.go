// Package storepb holds the generated gRPC code.
package storepb

//go:generate ../../generate.sh
