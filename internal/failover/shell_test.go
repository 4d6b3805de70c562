package failover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// Guards against a failover gap that cannot be split into its parts afterwards.
func TestGapIsMeasuredByPhase(t *testing.T) {
	latencies := telemetry.NewLatencies(telemetry.NewCounters())
	s := New(Options{Latencies: latencies})
	g := &supervised{}
	for i, p := range []Phase{Surveying, Ordering, WaitingForLead, Leading, CatchingUp, Ordering, Leading} {
		now := time.Duration(i+1) * 100 * time.Millisecond
		s.measure(now, g, p)
		g.shown, g.since = p, now
	}
	assert.Equal(t, latencies.Count("failover_surveying"), int64(1))
	assert.Equal(t, latencies.Count("failover_ordering"), int64(2))
	assert.Equal(t, latencies.Count("failover_waiting_for_lead"), int64(1))
	assert.Equal(t, latencies.Count("failover_leading"), int64(0))
	assert.Equal(t, latencies.Count(GapLatency), int64(2))
}
