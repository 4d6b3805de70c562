// Package dbconn opens connections to backend servers with the proxy's own
// credentials and calls the functions of the database contract: status, fence,
// promote, follow and evict.
//
// Every call takes a context that bounds it and returns the backend server's
// error wrapped with the statement. A Conn must not be used concurrently. See
// docs/design.md, section 3.2.
package dbconn
