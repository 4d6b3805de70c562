// Package member is the shell of the fleet aggregate. It carries out the store
// calls, heartbeat exchanges and probes that the aggregate asks for, one
// goroutine per store duty and a bounded pool for calls to peers, and answers
// the other shells' questions about leases, roles, peers and the configuration.
package member
