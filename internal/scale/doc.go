// Package scale measures how the cost of each duty of a host grows with the size
// of the fleet, fits a line to each series of measurements, and computes from them
// the load of one host at the size in Target. A duty is a kind of recurring
// work, such as heartbeats, status polls or rate grants.
//
// Run measures processor time and memory of the whole process. Concurrent work in
// the same process distorts the results.
package scale
