// Package peerpb holds the gRPC API between the hosts of one deployment. The code
// is generated from peer.proto, which describes the calls and messages.
package peerpb

//go:generate ../../generate.sh
