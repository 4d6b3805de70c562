// Package entry implements an entry host: it accepts client connections over TLS,
// serves the PostgreSQL protocol, and forwards statements and transactions to the
// home hosts of the backend servers.
//
// A batch is a simple query, or the messages of the extended protocol up to a
// Sync. An exchange is the Run stream between a session and a home host; it is
// opened for a batch and ends when no transaction is open any more. The floor of a
// session is the log position that its reads must cover. A refusal is an error that
// the proxy sends to the client in place of an answer of a backend server.
//
// Errors carry a verdict: NotRun if the request certainly did not run, MayHaveRun
// if its outcome is unknown.
//
// A session has one goroutine, which reads from the client. While an exchange is
// open, a second goroutine receives the responses of the home host. The batches of
// a session run one after the other; a pipelined batch waits in the socket buffer.
package entry
