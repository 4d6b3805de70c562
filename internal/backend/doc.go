// Package backend schedules the requests of one backend server. It decides
// which waiting request runs next and on which connection, and it enforces the
// connection budget, the number of concurrent statements, fair queueing between
// customers, and early refusal of requests that would wait for too long.
//
// The home host of a backend server is the host that schedules its requests. A
// slot is the right to run one statement on the backend server. A request is one
// transaction. A waiter is a queued request that needs a connection and a slot,
// or the queued next statement of an open transaction, which needs only a slot.
//
// SharedDispatcher shares the connections of a backend server between customers.
// Dispatcher serves backend servers whose connections belong to one customer each.
// Both are state machines without I/O and without a clock: the home host passes in
// the time and the events, and carries out the actions that are returned. See
// docs/design.md, section 7.
package backend
