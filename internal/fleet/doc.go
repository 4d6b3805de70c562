// Package fleet holds the state of one host of the proxy fleet: its host lease,
// the leases it has observed of other hosts, the attestations received by
// heartbeat, the role rows, and the configuration in force together with its
// age.
//
// Fleet is a pure state machine. It performs no I/O and starts no goroutine.
// The caller passes the time of its monotonic clock and one input to Step,
// executes the returned actions, and passes their results back as inputs. Every
// action with a call id must be answered by exactly one input with the same id;
// a time-out is an answer with OutcomeUnknown.
//
// The safety of roles rests on one property: an incarnation whose lease has
// lapsed never becomes valid again. A host that regains its lease does so under
// a higher incarnation and rewrites its role rows. Once a host has established
// that an incarnation has lapsed, it may therefore take over that incarnation's
// roles at any later time, guarded only by the revision of the role row.
//
// Terms used in this package:
//
// Role: a task of the fleet that at most one host may perform at a time. The
// holder of a home role owns the connections to one backend server. The holder
// of a minter role issues (mints) the rate-limiter tokens of one shard of a
// zone. The role's epoch is the fencing token and grows with each new
// holder.
//
// Attestation: what a host states about itself at one moment: whether it holds
// a lease, the highest configuration version that it has seen, whether it is
// informed, and its promise, if any. Heartbeat exchanges carry attestations
// with their age.
//
// Informed: a host is informed once its process has seen every configuration
// version that was accepted. Hosts keep no state across restarts, so a new process
// starts uninformed.
//
// Promise: a commitment of a host not to take over minter roles for a fixed
// time. It lets minters continue while the store does not answer and leases
// lapse. In the quiet period, a time of the same length after its start, a process
// does not take over minter roles either, because its predecessor on the host may
// have promised not to.
//
// Pointer: the row that names the current configuration version and its object
// in the object store. A version is accepted when a majority of the inventory
// has seen it.
//
// Keys: the configuration lists the keys of customers. Keys are fresh while the
// configuration in force is known to have been current within key_grace. Only
// then may a host serve sessions that authenticated with a key, so that a withdrawn
// key is rejected everywhere within key_grace of the accepted withdrawal.
//
// Roster: the hosts from or about which this host has received an attestation,
// with their incarnations and addresses.
//
// Duty: one kind of recurring or on-demand call, to the store or to a peer,
// with at most one request in flight.
package fleet
