// Package dbconn opens connections to backend servers with the proxy's own
// credentials and calls the functions of the database contract: status, fence,
// promote, follow and evict.
//
// Every call carries a Mark, which its answer repeats, so that another answer on
// the connection is not taken for it. Every call takes a context that bounds it and
// returns the backend server's error wrapped with the call. A Conn must not be used
// concurrently. See docs/design.md, section 3.2.
package dbconn
