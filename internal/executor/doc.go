// Package executor is the home host of backend servers: it runs typed statements
// on connections that belong to one customer each, within the server's slots and
// connection limit, and keeps the connection of an open transaction.
package executor
