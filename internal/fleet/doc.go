// Package fleet is the aggregate of what one host knows about the fleet: the
// heartbeat vector, the own host lease, the leases of other hosts, the role
// rows, the promises to minters, and the configuration with the age of its
// knowledge.
//
// Fleet is a pure state machine. It performs no I/O and starts no goroutine. The
// shell calls Step with the time on its monotonic clock and one input, carries
// out the returned actions, and feeds their results back as inputs. Every
// action that carries a call id must be answered by exactly one input with the
// same id; a time-out is an answer with the outcome Unknown.
//
// The safety of roles rests on one property: an incarnation whose lease has
// lapsed is never valid again. A host that regains its lease does so under a
// higher incarnation and writes its role rows again. A host that has once
// established that an incarnation has lapsed may therefore take its roles over
// at any later time, guarded only by the revision of the role row.
package fleet
