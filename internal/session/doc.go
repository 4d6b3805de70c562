// Package session holds the state of one PostgreSQL client session: its causality
// token, the protocol state of the current batch, and its prepared statements.
//
// Machine is a state machine without I/O. The entry host passes it the messages
// from the client and the backend bytes from the home host, and sends the bytes
// that it returns. Machine decides which statements the proxy answers itself,
// which it refuses, and which statement names it rewrites.
//
// Terms used in this package:
//   - batch: the client messages up to and including Sync or a simple Query. The
//     backend server answers a batch with ReadyForQuery.
//   - stream: the exchange with one home host, which lasts for one batch, or for
//     all batches of a transaction.
//   - floor: the causality token that reads of the session must cover, so that
//     the session reads its own writes.
//   - preamble: the messages that set the session parameters on a backend
//     connection before the first batch of a stream.
package session
