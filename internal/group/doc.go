// Package group decides which host may acknowledge writes to a database group,
// promotes a replica when the primary is lost, and bounds the staleness of
// replicas. See docs/design.md, sections 5 and 6, and
// docs/decisions/write-authority.md.
//
// Terms of this package:
//
//   - The home host of a database is the host that holds the role of that
//     backend server and runs its transactions.
//   - The owner of a group is the host that the group's row names. Only the
//     owner uses the primary and starts promotions. Ownership can be handed over
//     without a change of the term.
//   - The row is the group's entry in the table service. It is changed only by
//     compare-and-swap.
//   - The primary is open while the owner uses it in the row's term.
//   - Write authority is the right to acknowledge answers of the primary. It
//     rests either on the host lease or on confirmation by a majority of the
//     databases.
//   - A planned promotion moves the primary away from a working server.
//
// Machine is a pure state machine: Step takes the time and one input and
// returns the actions to perform. It performs no I/O, starts no goroutine and
// reads no clock. internal/owner performs its actions.
package group
