// Package group decides who may write to a database group and how fresh its
// replicas are. See docs/design.md, sections 5 and 6, and
// docs/decisions/write-authority.md.
//
// Machine is a pure state machine: Step takes the time and one input and
// returns the actions to perform. It performs no I/O, starts no goroutine and
// reads no clock. internal/owner is its shell.
package group
