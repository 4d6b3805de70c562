// Package failover decides which backend server is the primary of a database
// group, and replaces a primary that fails, leaves, or is in a zone that is out of
// service. Machine is the pure state machine of one group on its owner, the host
// that holds the group's role. Shell runs the machines of the groups that a host
// owns: it sends status polls and promotion orders and passes the answers to the
// machines.
//
// The platform promotes one server at a time and checks a fencing token with every
// promotion order, so this package does not fence servers itself. The token is the
// epoch of the group's role. An owner uses a server as the primary only after an
// order with its own epoch was accepted and the server has then reported that it is
// the primary. From then on the platform rejects all older orders, also those that
// were sent before and arrive late.
package failover
