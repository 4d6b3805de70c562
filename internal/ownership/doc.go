// Package ownership tracks the hosts of the deployment and decides which host
// holds which role. Machine is a pure state machine; Shell runs it against the
// store.
//
// The hosts and the roles are rows of one space of the store. Every host
// follows the space by long polls. The answer to a poll confirms that the host
// had every row at the time when the poll was sent. Confirmations act as the
// lease: a host may use its roles until LeaseTTL after the last answered poll
// was sent. A host that takes over a role writes its name into the role's row
// and then waits for LeaseTTL before it uses the role (the takeover wait). By
// then the previous holder has either read the row or lost its lease. The wait
// is skipped if the previous holder gave up the role itself, or if a new
// process at the same address has replaced it. In the steady state nothing is
// written.
//
// The row of a role contains an epoch, which grows whenever the role gets a new
// holder or its holder starts a new epoch. A holder that has lost the store,
// while other hosts have not, releases the role: it stops using the epoch for
// good and states this in its heartbeats, so that another host can claim the
// role without a takeover wait.
//
// Only the rows that a host has read decide whether it holds a role. A write
// whose answer was lost therefore needs no special handling: either the row
// appears or it does not.
package ownership
