// Package server assembles one host: it reads the host's settings, connects the
// shells of the aggregates to each other, serves the peer API and the admin
// listener, and carries out the planned stop.
package server
