// Package peer implements the communication between hosts: the pool of gRPC client
// connections, the options of the gRPC server, the encoding of errors, and the two
// ends of a Run stream. A Run stream carries the statements of one transaction from
// an entry host, to which the caller is connected, to a home host, which runs them on
// a backend server. It behaves the same over gRPC and within one process.
// The generated gRPC API is in package peerpb.
package peer
