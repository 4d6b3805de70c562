// Package failover decides which backend server leads a group. Machine is the
// pure state machine of one group at its owner; Shell drives the machines of the
// groups that a host owns.
//
// The platform promotes one server at a time and checks a token with every
// order, so that nothing is fenced here. The token is the epoch of the group's
// role. An owner uses a server as the primary only after an order with its own
// epoch was accepted and the server has then reported to be primary. That order
// bars all older ones that may still be under way.
package failover
