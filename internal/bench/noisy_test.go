package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Guards against a summary in which a good average hides the worst customer, or in which
// refusals of the noisy customer or of requests above the rate count as wrongful.
func TestSummarizeServiceReportsWorstCustomer(t *testing.T) {
	sample := func(customer string, o Outcome, within bool, latency time.Duration) Sample {
		return Sample{Customer: customer, Outcome: o, WithinRate: within, Scheduled: time.Second, Sent: 2 * time.Second, Done: time.Second + latency}
	}
	got := summarizeService([]Sample{
		sample("a", Served, true, 10*time.Millisecond),
		sample("a", Served, true, 10*time.Millisecond),
		sample("b", Served, true, 40*time.Millisecond),
		sample("b", Refused, true, 0),
		sample("b", Refused, false, 0),
		sample("b", Unsent, true, 0),
		sample("noisy", Refused, true, 0),
	}, "noisy")
	assert.Equal(t, got.withinRate, 5)
	assert.Equal(t, got.wrongfulRefusals, 1)
	assert.Equal(t, got.worstShare, 0.25)
	assert.Assert(t, got.worstP99 >= 39*time.Millisecond && got.worstP99 <= 41*time.Millisecond, "%v", got.worstP99)
}

// Guards against a model that does not show the defect of the naive proxy: it refuses
// demand that moves to one host although it is within the customer's rate.
func TestNaiveProxyRefusesMovedDemand(t *testing.T) {
	doc, err := config.Load("../../examples/kandyan")
	assert.NilError(t, err)
	var samples []Sample
	for i := range 90 {
		samples = append(samples, Sample{Customer: "kandy-depot", Host: "lk-west-a-1", Group: "fleet", WithinRate: true, Scheduled: time.Duration(i) * 60 * time.Millisecond})
	}
	got := simulateNaiveProxy(doc, samples, 1)
	assert.Equal(t, got.overLimit, 0)
	assert.Assert(t, summarizeService(got.samples, "").wrongfulRefusals > 60)
}

// Guards against demand that never moves to other hosts or exceeds the customer's rate.
func TestMovingDemandStaysWithinRate(t *testing.T) {
	hosts := 9
	moved := false
	for period := range 10 {
		at, total := time.Duration(period)*demandPeriod, 0.0
		for host := range hosts {
			rate := movingDemand(1, 2, host, hosts, 8)(at)
			total += rate
			moved = moved || rate != movingDemand(1, 2, host, hosts, 8)(0)
		}
		assert.Equal(t, total, 8.0*demandHosts)
	}
	assert.Assert(t, moved)
}
