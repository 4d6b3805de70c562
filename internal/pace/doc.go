// Package pace limits the concurrent statements of a backend server that has just
// started, recovered or changed its home host, by how the server answers.
//
// Limit is pure: it is given the time and does no I/O. docs/design/pace.md says what was
// weighed.
package pace
