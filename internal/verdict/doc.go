// Package verdict says whether a request may have run on a backend server, why
// a request was refused, and how both are reported to a PostgreSQL client.
//
// Every error that can reach a caller is, or wraps, an *Error. Errors without
// one are treated as MayHaveRun, which is the safe assumption.
package verdict
