// Package telemetry provides the structured logger, the expvar counters and the
// latency histograms of a host. Counters and Latencies are safe for concurrent use.
// An AsyncLogWriter decouples callers from the log output: it drops and counts lines
// rather than block.
package telemetry
