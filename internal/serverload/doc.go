// Package serverload holds the load of backend servers as their home hosts measure
// it and as it reaches the entry hosts, with answers and with heartbeats.
//
// Table is pure: it is given the time and does no I/O.
package serverload
