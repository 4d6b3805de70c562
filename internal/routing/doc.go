// Package routing chooses the backend server and its home host for a request,
// and retries requests where the verdict of the failed attempt allows it. The
// home host of a backend server is the host that holds the server's home role.
//
// Balancer is the pure part: it orders candidates by a view of the group and by
// the outcomes of recent attempts. Router opens Run streams to the chosen home
// hosts.
package routing
