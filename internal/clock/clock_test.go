package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against dating the answer of a long poll by the time at which the poll was
// sent: half of the lease would be used up when the answer arrives.
func TestRemoteUsesStampOfLongPoll(t *testing.T) {
	var r RemoteClock
	const ms = time.Millisecond
	// The remote clock is 50 s behind. A first, short call takes 4 ms.
	r.EarliestLocal(100_000*ms, 100_004*ms, 50_002*ms)
	got := r.EarliestLocal(100_010*ms, 101_214*ms, 51_212*ms)
	assert.Assert(t, got <= 101_212*ms, "%v is after the answer", got)
	assert.Assert(t, got >= 101_150*ms, "%v is long before the answer", got)
}

// Guards against a result later than the true time of the stamp when the clocks
// drift or when all answers so far were slow.
func TestRemoteNeverExceedsStampTime(t *testing.T) {
	for _, rate := range []float64{0.985, 1, 1.015} {
		var r RemoteClock
		local := 10 * time.Second
		remote := func(local time.Duration) time.Duration { return time.Duration(float64(local) * rate) }
		for i := range 200 {
			wait := time.Duration(i%7) * 200 * time.Millisecond
			sent, stamped, received := local, local+wait, local+wait+2*time.Millisecond
			got := r.EarliestLocal(sent, received, remote(stamped))
			assert.Assert(t, got <= stamped && got >= sent, "call %d at rate %v: %v, sent %v, stamped %v", i, rate, got, sent, stamped)
			local = received
		}
	}
}

func TestDriftMarginsExtendAndReduce(t *testing.T) {
	assert.Assert(t, AddDriftMargin(3*time.Second) > 3*time.Second)
	assert.Assert(t, SubtractDriftMargin(3*time.Second) < 3*time.Second)
}
