// Package executor implements the home host of backend servers, the host that keeps
// the connections to a server and runs statements for the entry hosts. Every
// connection belongs to one customer. The executor enforces the slots of a server,
// the number of statements that it runs at a time, and its connection limit. An open
// transaction keeps its connection until it ends; between its statements it uses no
// slot.
package executor
