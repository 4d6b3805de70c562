package supervise

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var threeServers = Group{Servers: 3}

// play sends reads of two customers at 44/s, as many as one server of a busy group gets,
// and returns how many were sent, how many of them failed, and the last state.
func play(d *Detector, length time.Duration, fails func(at time.Duration) bool) (sent, failures int, state State) {
	const interval = time.Second / 44
	for n := 0; time.Duration(n)*interval < length; n++ {
		now, customer := time.Duration(n)*interval, []string{"a", "b"}[n/2%2]
		state = d.State(now)
		probe, ok := d.AdmitRead(now)
		if !ok {
			continue
		}
		sent++
		if fails(now) {
			failures++
			d.RecordFailure(now, customer, threeServers)
			d.EndProbe(now, probe, Failed, threeServers)
		} else {
			d.RecordSuccess(now, customer)
			d.EndProbe(now, probe, Succeeded, threeServers)
		}
	}
	return sent, failures, state
}

// Guards against a grey server, which fails 45 % of its requests for 6.5 s, that each entry
// host has to find by itself.
func TestGreyServerIsEjected(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	grey := func(at time.Duration) bool { return at < 6500*time.Millisecond && rng.Float64() < 0.45 }
	d := &Detector{}
	_, failures, _ := play(d, 6500*time.Millisecond, grey)
	assert.Assert(t, failures < 13, "%d failures", failures)
}

// Guards against a server that claims to be well and fails every request.
func TestServerThatFailsAllIsEjectedUntilItAnswers(t *testing.T) {
	d := &Detector{}
	sent, failures, state := play(d, 16*time.Second, func(at time.Duration) bool { return at < 6*time.Second })
	assert.Equal(t, state, Serving)
	assert.Assert(t, failures <= minFailures+5, "%d failures", failures)
	assert.Assert(t, sent > 300, "%d reads in the 10 s after the fault", sent)
}

// Guards against a server that goes down and up every 1.4 s and gets full load each time
// that it comes up.
func TestFlappingServerIsDamped(t *testing.T) {
	down := func(at time.Duration) bool { return at < 8*time.Second && at/(1400*time.Millisecond)%2 == 0 }
	plain := 0
	for n := range 8 * 44 {
		if down(time.Duration(n) * time.Second / 44) {
			plain++
		}
	}
	_, failures, state := play(&Detector{}, 20*time.Second, down)
	assert.Assert(t, failures*8 < plain, "%d failures, %d without ejection", failures, plain)
	assert.Equal(t, state, Serving)
}

// Guards against an ejection because of a long statement, while the server answers others.
func TestLongStatementIsNoDarkServer(t *testing.T) {
	d := &Detector{}
	for n := range 50 {
		now := time.Duration(n) * 100 * time.Millisecond
		d.RecordSuccess(now, "a")
		_, changed := d.RecordOverdue(now+50*time.Millisecond, now-300*time.Millisecond, "b", threeServers)
		assert.Assert(t, !changed)
	}
	var changed bool
	for n := range minFailures * 20 {
		now := 10*time.Second + time.Duration(n)*time.Millisecond
		if _, ejected := d.RecordOverdue(now, now-300*time.Millisecond, "b", threeServers); ejected {
			changed = true
		}
	}
	assert.Assert(t, changed, "a dark server stays in use")
}

// Guards against an ejection by the failing statements of one customer.
func TestStatementsOfOneCustomerEjectNoServer(t *testing.T) {
	d := &Detector{}
	for n := range 100 {
		now := time.Duration(n) * 20 * time.Millisecond
		d.RecordSuccess(now, "a")
		_, changed := d.RecordFailure(now, "b", threeServers)
		assert.Assert(t, !changed)
	}
}

// Guards against a group that loses most of its servers to ejections.
func TestCapOnEjections(t *testing.T) {
	d := &Detector{}
	crowded := Group{Servers: 3, OthersEjected: 1}
	var c Change
	for n := range 40 {
		now := time.Duration(n) * 20 * time.Millisecond
		if change, ok := d.RecordFailure(now, []string{"a", "b"}[n%2], crowded); ok {
			c = change
		}
	}
	assert.Assert(t, c.Capped)
	assert.Equal(t, d.State(time.Second), Serving)
	assert.Assert(t, Group{Servers: 2}.allowsEjection())
	assert.Assert(t, !Group{Servers: 1}.allowsEjection())
}

// Guards against two servers of a group that are ejected at the same moment, past the cap,
// and stay out while a probe of each fails now and then: all reads would go to the primary.
func TestFailedProbeEndsAnEjectionBeyondTheCap(t *testing.T) {
	d := &Detector{}
	d.Inherit(time.Second)
	probe, ok := d.AdmitRead(time.Second)
	assert.Assert(t, ok)
	c, changed := d.EndProbe(time.Second, probe, Failed, Group{Servers: 3, OthersEjected: 1})
	assert.Assert(t, changed && c.Capped)
	assert.Equal(t, c.State, Serving)
	for range MaxProbes + 1 {
		probe, ok = d.AdmitRead(time.Second)
		assert.Assert(t, ok && probe == 0, "more than probes")
	}
}
