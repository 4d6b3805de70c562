package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms in microseconds, and their precision in
// significant decimal digits.
const (
	minLatencyMicros         = 50
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 2
)

// Latencies holds the latency histograms of one host by name.
type Latencies struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewLatencies returns an empty Latencies. The counters c include a summary of its
// histograms.
func NewLatencies(c *Counters) *Latencies {
	l := &Latencies{histograms: map[string]*hdrhistogram.Histogram{}}
	c.root.Set("latency_us", expvar.Func(l.summary))
	return l
}

// Record adds d to the named histogram, which it creates if necessary.
func (l *Latencies) Record(name string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.histograms[name]
	if !ok {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
		l.histograms[name] = h
	}
	// The value is clamped to the histogram's range, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// summary returns the count, some percentiles and the maximum of each histogram,
// times in microseconds.
func (l *Latencies) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]map[string]int64{}
	for name, h := range l.histograms {
		out[name] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtPercentile(50), "p90": h.ValueAtPercentile(90),
			"p99": h.ValueAtPercentile(99), "max": h.Max(),
		}
	}
	return out
}

// Count returns the number of values in the named histogram.
func (l *Latencies) Count(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.histograms[name]; ok {
		return h.TotalCount()
	}
	return 0
}
