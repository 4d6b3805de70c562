// Package host assembles a host that serves typed statements from the internal
// components and the adapters of a platform. It owns the listeners, the
// goroutines of the components, the heartbeats between hosts, the metrics
// endpoint and the planned stop.
//
// Terms of this package: a role is a responsibility that at most one host may
// use at a time. The owner of a database group holds the group's role and
// executes statements on its primary; the home host of any other backend server
// is the first host in the server's rendezvous ranking. The holder of a minter
// role issues the rate limit tokens of some customers in one availability zone. A
// beat is the heartbeat counter and the status of one host; hosts spread beats by
// gossip.
package host
