// Package server assembles one host of the PostgreSQL proxy: it reads the host's
// settings, connects the shells to each other, serves the peer API and the admin
// listener, and carries out the planned stop. A shell is the package that does
// the I/O for one aggregate, a state machine without I/O.
package server
