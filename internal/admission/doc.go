// Package admission decides at an entry host whether to send a request to the home host of
// a server or to refuse it before the hop, by how many of the customer's recent requests
// the home host could serve. See docs/design/contention.md.
//
// Throttle is pure: it is given the time and the random numbers and does no I/O.
package admission
