package bench

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runSmoke runs a scenario for the duration d and returns its figures by name.
func runSmoke(t *testing.T, name string, d time.Duration) map[string]Figure {
	t.Helper()
	r, err := Run(context.Background(), name, Options{Examples: "../../examples", Seed: 7, Duration: d})
	assert.NilError(t, err)
	figures := map[string]Figure{}
	for _, f := range r.Figures {
		t.Logf("%s = %v", f.Name, f.Value)
		figures[f.Name] = f
	}
	return figures
}

// requireTargetsMet fails the test if a named figure is absent, has no target or misses it.
func requireTargetsMet(t *testing.T, figures map[string]Figure, names ...string) {
	t.Helper()
	for _, name := range names {
		f, ok := figures[name]
		assert.Assert(t, ok && f.Target != "", "figure %s has no target", name)
		assert.Check(t, !f.Missed, "%s is %v, target %s", name, f.Value, f.Target)
	}
}

// Guards against lost and duplicate writes, stale reads and false refusals when a primary
// is killed or partitioned. The targets of the replica shares need longer runs.
func TestFailoverSmoke(t *testing.T) {
	figures := runSmoke(t, "failover", 16*time.Second)
	requireTargetsMet(t, figures, "writes_lost", "writes_doubled", "stale_reads", "false_not_run", "failover_gap_s")
	assert.Assert(t, figures["writes_acked"].Value.(int) > 100)
}

// Guards against admissions above the limit and connections above a database's
// limit while one customer sends several times its rate.
func TestNoisySmoke(t *testing.T) {
	figures := runSmoke(t, "noisy", 8*time.Second)
	requireTargetsMet(t, figures, "admitted_over_limit", "max_connections_seen", "writes_lost", "writes_doubled", "stale_reads", "false_not_run")
	assert.Assert(t, figures["within_rate_requests"].Value.(int) > 200)
	assert.Assert(t, figures["naive_wrongful_refusals"].Value.(int) > 0)
}

// Guards against requests that are cut, lost or admitted above the limit while a zone is
// taken out of service and brought back.
func TestZoneSmoke(t *testing.T) {
	figures := runSmoke(t, "zone", 9*time.Second)
	requireTargetsMet(t, figures, "config_in_force_s", "key_withdrawn_s", "requests_cut", "admitted_over_limit", "writes_lost", "stale_reads", "false_not_run")
	assert.Assert(t, figures["control_bytes_per_host_per_s"].Value.(float64) > 0)
}

// Guards against requests that fail because the platform's store is down, and against
// configuration changes and key withdrawals that take effect late after its return.
func TestOutageSmoke(t *testing.T) {
	figures := runSmoke(t, "outage", 8*time.Second)
	requireTargetsMet(t, figures, "config_in_force_s", "key_withdrawn_s", "requests_cut", "served_share_during", "admitted_over_limit", "writes_lost", "stale_reads", "false_not_run")
}
