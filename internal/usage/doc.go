// Package usage counts the requests of each customer that begin to run at backend
// servers, and reports the counts of each window of true time to the platform.
//
// Counter counts at the home host of a server, where a request begins. Machine is the
// pure state machine of the reporter, the host that holds the role Role: it asks all
// hosts for their counts, closes windows, and fixes the counts of a window in a row of
// the store before it sends them. Shell runs both against the store, the other hosts
// and the platform. docs/design/usage.md explains what happens when a host, a link or
// the store fails.
//
// The epoch of the role is the fencing token of a report. A reporter first writes its
// epoch into the row, so that every later write of its predecessors fails, and sends
// only what the row holds. No window is thus ever sent with two different counts, also
// when an answer was lost or a call is carried out late.
package usage
