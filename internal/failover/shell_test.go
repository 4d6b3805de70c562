package failover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// Guards against latency metrics from which the phases of a failover gap can't be
// told apart.
func TestGapIsMeasuredByPhase(t *testing.T) {
	latencies := telemetry.NewLatencies(telemetry.NewCounters())
	s := New(Options{Latencies: latencies})
	g := &groupState{}
	for i, p := range []Phase{Surveying, Ordering, WaitingForPromotion, Leading, CatchingUp, Ordering, Leading} {
		now := time.Duration(i+1) * 100 * time.Millisecond
		s.recordPhaseLatency(now, g, p)
		g.loggedPhase, g.phaseSince = p, now
	}
	assert.Equal(t, latencies.Count("failover_surveying"), int64(1))
	assert.Equal(t, latencies.Count("failover_ordering"), int64(2))
	assert.Equal(t, latencies.Count("failover_waiting_for_lead"), int64(1))
	assert.Equal(t, latencies.Count("failover_leading"), int64(0))
	assert.Equal(t, latencies.Count(GapLatency), int64(2))
}
