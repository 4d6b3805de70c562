// Package peer carries messages between hosts: the generated gRPC API, the pool
// of client connections, and the two ends of a Run stream, which work alike
// over gRPC and inside one process.
package peer
