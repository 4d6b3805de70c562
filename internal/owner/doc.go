// Package owner drives the state machine of internal/group, called the machine
// below. It runs one machine for each group in which this host holds the home
// role of a backend server, and for each group about which another host has
// requested a report. Terms such as owner, row and open primary are defined in
// internal/group.
//
// The package passes roles, lease, configuration and answers to the machine and
// performs the machine's actions: it polls databases over its own monitor
// connections, fences, promotes and follows, reads and writes the group's row,
// and requests reports from other hosts. Home hosts call Owner to check whether
// results of the primary may be returned to clients. See docs/design.md,
// sections 5, 6 and 13.
package owner
