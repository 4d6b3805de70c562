package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Guards against a summary in which a good average hides the worst customer, or
// in which the noisy customer or requests above the rate count as wrongful.
func TestServiceOfTakesTheWorstCustomer(t *testing.T) {
	sample := func(customer string, o Outcome, within bool, latency time.Duration) Sample {
		return Sample{Customer: customer, Outcome: o, Within: within, Due: time.Second, Sent: 2 * time.Second, Done: time.Second + latency}
	}
	got := serviceOf([]Sample{
		sample("a", Served, true, 10*time.Millisecond),
		sample("a", Served, true, 10*time.Millisecond),
		sample("b", Served, true, 40*time.Millisecond),
		sample("b", Refused, true, 0),
		sample("b", Refused, false, 0),
		sample("b", Unsent, true, 0),
		sample("noisy", Refused, true, 0),
	}, "noisy")
	assert.Equal(t, got.within, 5)
	assert.Equal(t, got.wrongful, 1)
	assert.Equal(t, got.worstShare, 0.25)
	assert.Assert(t, got.worstP99 >= 39*time.Millisecond && got.worstP99 <= 41*time.Millisecond, "%v", got.worstP99)
}

// Guards against a baseline that does not show the naive fault: demand that
// moves to one host is refused although it is within the customer's rate.
func TestNaiveModelRefusesMovedDemand(t *testing.T) {
	doc, err := config.Load("../../examples/kandyan")
	assert.NilError(t, err)
	var samples []Sample
	for i := range 90 {
		samples = append(samples, Sample{Customer: "kandy-depot", Host: "lk-west-a-1", Group: "fleet", Within: true, Due: time.Duration(i) * 60 * time.Millisecond})
	}
	got := naiveModel(doc, samples, 1)
	assert.Equal(t, got.over, 0)
	assert.Assert(t, serviceOf(got.samples, "").wrongful > 60)
}

// Guards against demand that leaves its hosts never or exceeds the customer's rate.
func TestDemandMovesWithinTheRate(t *testing.T) {
	hosts := 9
	moved := false
	for period := range 10 {
		at, total := time.Duration(period)*demandMoves, 0.0
		for host := range hosts {
			rate := movingDemand(1, 2, host, hosts, 8)(at)
			total += rate
			moved = moved || rate != movingDemand(1, 2, host, hosts, 8)(0)
		}
		assert.Equal(t, total, 8.0*demandHosts)
	}
	assert.Assert(t, moved)
}
