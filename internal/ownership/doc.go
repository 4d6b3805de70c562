// Package ownership tracks the hosts of the deployment and decides which host
// holds which role. Machine is a pure state machine; Shell runs it against the
// store.
//
// The hosts and the roles are rows of one space of the store. Every host
// follows the space, by long polls or, in a large fleet, through relays. The
// answer to a poll confirms that the host had every row at the time when the
// poll was sent, and a relay passes the confirmation on with its age.
// Confirmations act as the lease: a host may use its roles until LeaseTTL after
// the time to which its last confirmation is dated. A host that takes over a
// role writes its name into the role's row and then waits for LeaseTTL before it
// uses the role (the takeover wait). By then the previous holder has either read the row or lost its lease. The wait
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
// Heartbeats tell which hosts are alive. In a small fleet they go to hosts
// chosen at random. In a large one, two hosts of each zone are relays: the other
// hosts of the zone exchange packed heartbeats with them, and relays do so with
// each other, so that the work of a host hardly depends on the size of the
// fleet (see ExchangeTargets). A host claims the role of a silent holder only
// while it has the lease, and not right after it has regained it: the heartbeats
// of the other side of a partition arrive later than the rows.
//
// Only the rows that a host has read decide whether it holds a role. A write
// whose answer was lost therefore needs no special handling: either the row
// appears or it does not.
package ownership
