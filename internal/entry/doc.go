// Package entry is the shell of an entry host: the TLS listener, the PostgreSQL
// front end, and the forwarding of statements and transactions to home hosts.
//
// A session has one goroutine, which reads from the client. While a Run stream
// is open, a second one receives the answers. Batches of one session run one
// after the other; the next one waits in the socket.
package entry
