package failover

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
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

// fakeRoles holds the role of every group while held is set.
type fakeRoles struct{ held bool }

func (r *fakeRoles) UsableEpoch(string) (uint64, bool)   { return 1, r.held }
func (r *fakeRoles) AssignedEpoch(string) (uint64, bool) { return 1, r.held }
func (r *fakeRoles) RequestNewEpoch(string)              {}

// Guards against acknowledging a commit of a group with synchronous replicas after the
// role was lost or while a successor that may lack it takes over, and against delays in
// other groups.
func TestConfirmCommit(t *testing.T) {
	p := statement.Position{Term: 1, Number: 11}
	for name, x := range map[string]struct {
		sync  int
		held  bool
		phase Phase
		want  bool
	}{
		"primary in use":                  {1, true, Leading, true},
		"role lost":                       {1, false, Leading, false},
		"primary is being replaced":       {1, true, WaitingForPromotion, false},
		"asynchronous, being replaced":    {0, true, WaitingForPromotion, true},
		"asynchronous, the role was lost": {0, false, Idle, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Options{Roles: &fakeRoles{x.held}, Log: &log.Logger{Level: log.PanicLevel}, Counters: telemetry.NewCounters()})
			m := s.stateOf("g").machine
			m.group.SyncReplicas, m.phase, m.primary, m.target = x.sync, x.phase, "a", "b"
			limit := 3 * commitPollInterval
			if x.sync == 0 {
				limit = time.Hour // must not be waited for
			}
			assert.Equal(t, s.ConfirmCommit(context.Background(), "g", "a", p, limit), x.want)
		})
	}
}
