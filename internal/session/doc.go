// Package session is the aggregate of one client connection: causality token,
// protocol state of the open batch and prepared statement names.
//
// A Machine performs no I/O. The entry host feeds it the messages of the client
// and the backend bytes of the home host, and sends what it returns.
package session
