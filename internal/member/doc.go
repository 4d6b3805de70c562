// Package member runs the state machine of package fleet, which performs no I/O
// itself. A Member feeds it the time and the results of calls, and performs the
// actions that it returns: store calls, heartbeat exchanges with other hosts,
// probes, transfers of the configuration and notices of handed-over roles.
//
// Each duty, which is one purpose of store calls such as renewing the lease, has a
// goroutine of its own. Calls to other hosts run in a bounded pool. Through the
// interface Fleet a Member gives other packages access to leases, roles, peers and
// the configuration; its methods are safe for concurrent use.
package member
