// Package routing chooses the backend server and the home host for a request,
// and repeats requests where the verdict allows it.
//
// Board is the pure part: it orders candidates from a view of the group and from
// the outcomes of recent attempts. Router is the shell that opens Run streams.
package routing
