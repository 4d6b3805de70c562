// Package storepb holds the gRPC API of the fake of the platform's services: the
// table service, the object store and the host list. The code is generated from
// store.proto, which describes the calls and messages.
package storepb

//go:generate ../../generate.sh
