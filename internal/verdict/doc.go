// Package verdict classifies the outcome of a request: whether it may have run
// on a backend server, why it was refused, and how both are reported to a
// PostgreSQL client.
//
// Every error that can reach a caller is, or wraps, an *Error. Any other error
// is treated as MayHaveRun, which is the safe assumption.
package verdict
