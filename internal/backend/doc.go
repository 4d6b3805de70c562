// Package backend decides, for one backend server, which request runs next and
// on which connection: connection budget, slots, a fair queue by customer, and
// early refusals. It is a state machine without I/O and clock; the home host
// feeds it and carries out its actions. See docs/design.md, section 7.
package backend
