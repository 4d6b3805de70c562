// Package dbconn opens connections to backend servers with the proxy's own
// credentials and makes the calls of the database contract: status, fence,
// promote, follow and evict. See docs/design.md, section 3.2.
package dbconn
