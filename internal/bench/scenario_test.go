package bench

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smoke runs a short scenario and returns its figures.
func smoke(t *testing.T, name string, d time.Duration) map[string]Figure {
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

// requireMet fails for each named figure that is missing or misses its target.
func requireMet(t *testing.T, figures map[string]Figure, names ...string) {
	t.Helper()
	for _, name := range names {
		f, ok := figures[name]
		assert.Assert(t, ok && f.Target != "", "figure %s has no target", name)
		assert.Check(t, !f.Missed, "%s is %v, target %s", name, f.Value, f.Target)
	}
}

// Guards against lost, doubled, stale or falsely refused requests around a
// killed and a cut-off primary. The shares need longer runs.
func TestFailoverSmoke(t *testing.T) {
	figures := smoke(t, "failover", 16*time.Second)
	requireMet(t, figures, "writes_lost", "writes_doubled", "stale_reads", "false_not_run", "failover_gap_s")
	assert.Assert(t, figures["writes_acked"].Value.(int) > 100)
}

// Guards against admissions above the limit and connections above a database's
// limit while one customer sends several times its rate.
func TestNoisySmoke(t *testing.T) {
	figures := smoke(t, "noisy", 8*time.Second)
	requireMet(t, figures, "admitted_over_limit", "max_connections_seen", "writes_lost", "writes_doubled", "stale_reads", "false_not_run")
	assert.Assert(t, figures["within_rate_requests"].Value.(int) > 200)
	assert.Assert(t, figures["naive_wrongful_refusals"].Value.(int) > 0)
}

// Guards against requests that are cut, lost or admitted over the limit while a
// zone leaves and returns.
func TestZoneSmoke(t *testing.T) {
	figures := smoke(t, "zone", 9*time.Second)
	requireMet(t, figures, "config_in_force_s", "key_withdrawn_s", "requests_cut", "admitted_over_limit", "writes_lost", "stale_reads", "false_not_run")
	assert.Assert(t, figures["control_bytes_per_host_per_s"].Value.(float64) > 0)
}

// Guards against service that depends on the platform's store.
func TestOutageSmoke(t *testing.T) {
	figures := smoke(t, "outage", 8*time.Second)
	requireMet(t, figures, "config_in_force_s", "key_withdrawn_s", "requests_cut", "served_share_during", "admitted_over_limit", "writes_lost", "stale_reads", "false_not_run")
}
