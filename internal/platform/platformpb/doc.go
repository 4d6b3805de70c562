// Package platformpb holds the generated gRPC code.
package platformpb

//go:generate ../../generate.sh
