// Package host assembles a host that serves typed statements from its parts and
// the adapters that it is given: the listeners, the parts' goroutines, the
// heartbeats between hosts, the metrics and the planned stop.
package host
