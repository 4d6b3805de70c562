// Package group decides which host may acknowledge writes to a database group,
// promotes a replica when the primary is lost, and bounds the staleness of
// replicas. See docs/design.md, sections 5 and 6, and
// docs/decisions/write-authority.md.
//
// Terms of this package:
//
//   - A database is the copy of the group's data on one backend server. The type
//     Server describes it.
//   - The home host of a database is the host that holds the role of that
//     backend server and runs its transactions.
//   - The owner of a group is the host that the group's row names. Only the
//     owner uses the primary and starts promotions. Ownership can be handed over
//     without a change of the term. Home hosts that do not own the group are the
//     candidates to take it over.
//   - The term grows with each promotion and serves as the fencing token: a database
//     that is fenced in a term rejects lower terms.
//   - A position is a place in the log of a database. The positions of entries grow
//     with their terms.
//   - A sample is a position that the primary had reached at a known time. Samples
//     bound the staleness of replicas.
//   - The floor of a session is the token whose data its reads must contain.
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
