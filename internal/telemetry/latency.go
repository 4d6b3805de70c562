package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms in microseconds, and their precision.
const (
	shortestLatency = 50
	longestLatency  = 60_000_000
	latencyDigits   = 2
)

// Latencies holds latency histograms by name.
type Latencies struct {
	mu    sync.Mutex
	names map[string]*hdrhistogram.Histogram
}

// NewLatencies returns Latencies without any, shown under the counters.
func NewLatencies(c *Counters) *Latencies {
	l := &Latencies{names: map[string]*hdrhistogram.Histogram{}}
	c.root.Set("latency_us", expvar.Func(l.summary))
	return l
}

// Record adds one measurement.
func (l *Latencies) Record(name string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.names[name]
	if !ok {
		h = hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)
		l.names[name] = h
	}
	// The value is clamped, so that it is always within the histogram's range.
	_ = h.RecordValue(min(max(d.Microseconds(), shortestLatency), longestLatency))
}

func (l *Latencies) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]map[string]int64{}
	for name, h := range l.names {
		out[name] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtPercentile(50), "p90": h.ValueAtPercentile(90),
			"p99": h.ValueAtPercentile(99), "max": h.Max(),
		}
	}
	return out
}

// Count returns the number of measurements of a name.
func (l *Latencies) Count(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.names[name]; ok {
		return h.TotalCount()
	}
	return 0
}
