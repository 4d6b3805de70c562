// Package telemetry holds the structured logger, the expvar counters and the
// latency histograms that every other package reports to.
package telemetry
