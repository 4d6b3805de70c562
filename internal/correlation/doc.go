// Package correlation decides which answers of a backend server belong to which
// statements, on a connection whose protocol carries no request ids and matches both by
// their order only. A server may repeat an answer, also late, when the next statement is
// already outstanding; taken for the answer to that statement, it would shift all
// later answers of the connection by one.
//
// Tracker is pure. It relies on these properties of the protocol: a signature is issued for
// one run of one statement; a repeated answer has the same signature, or the same error,
// as the first one, while the state and position at its end may be the present ones; and
// outside a transaction SET, PREPARE, RESET and ROLLBACK do not fail. From these follows by
// induction over the statements of a connection:
//
//   - A signed answer with a new signature belongs to the outstanding statement.
//   - An error that the connection has not seen is not a repetition. A repeated error may
//     be one, so that it proves nothing, and the connection has to be closed.
//   - An unsigned success cannot be told from a repetition. It is accepted, because the
//     statements that it answers promise nothing to callers. The answer that it has
//     overtaken, if any, comes next: a success is recognised by its form at the next signed
//     statement, and an error is refused until a signed answer has come.
package correlation
