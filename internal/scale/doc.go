// Package scale measures how the cost of each duty grows with the size of the
// fleet, fits a line through each series, and works out the load of one node at
// the target size from the measurements.
package scale
