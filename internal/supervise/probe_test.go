package supervise

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// probing returns a detector whose ejection has just ended.
func probing(now time.Duration) *Detector {
	d := &Detector{}
	d.Inherit(now)
	return d
}

// Guards against an ejection that is prolonged by a statement that was sent before it, or
// by one at the primary.
func TestOnlyAProbeProlongsAnEjection(t *testing.T) {
	now := 10 * time.Second
	d := probing(now)
	probe, ok := d.AdmitRead(now)
	assert.Assert(t, ok && probe != 0)
	for range 20 {
		_, changed := d.RecordFailure(now, "a", threeServers)
		assert.Assert(t, !changed)
		_, changed = d.RecordOverdue(now, now-time.Second, "b", threeServers)
		assert.Assert(t, !changed)
	}
	assert.Equal(t, d.State(now), Probing)
	c, changed := d.EndProbe(now, probe, Failed, threeServers)
	assert.Assert(t, changed)
	assert.Equal(t, c.State, Ejected)
	assert.Equal(t, c.Until, now+2*baseEjection)
}

// Guards against more than one probe at a time, and an end of the probing, because of the
// answers of other statements.
func TestOtherAnswersLeaveTheProbeItsPlace(t *testing.T) {
	now := 10 * time.Second
	d := probing(now)
	_, ok := d.AdmitRead(now)
	assert.Assert(t, ok)
	for range 2 * probeSuccesses {
		d.RecordSuccess(now, "a")
	}
	_, ok = d.AdmitRead(now)
	assert.Assert(t, !ok)
	assert.Equal(t, d.State(now), Probing)
}

// Guards against a place that stays taken after a probe without a decision.
func TestProbeWithoutDecisionFreesItsPlace(t *testing.T) {
	now := 10 * time.Second
	d := probing(now)
	probe, _ := d.AdmitRead(now)
	d.RecordSuccess(now+2, "a")
	assert.Assert(t, d.HasAnsweredSince(now+1))
	_, changed := d.EndProbe(now+3, probe, Undecided, threeServers)
	assert.Assert(t, !changed)
	_, ok := d.AdmitRead(now + 4)
	assert.Assert(t, ok)
}

// Guards against a server without answers that is probed for ever, because its probes end
// after they are given up, and against probes of an earlier ejection that decide.
func TestLateOutcomeOfAProbeDecidesItsOwnEjection(t *testing.T) {
	now := 10 * time.Second
	d := probing(now)
	first, _ := d.AdmitRead(now)
	second, ok := d.AdmitRead(now + probeTimeout)
	assert.Assert(t, ok)
	c, changed := d.EndProbe(now+2*time.Second, first, Failed, threeServers)
	assert.Assert(t, changed)
	_, changed = d.EndProbe(now+2*time.Second+1, second, Failed, threeServers)
	assert.Assert(t, !changed)
	assert.Equal(t, d.State(c.Until), Probing)
	third, ok := d.AdmitRead(c.Until)
	assert.Assert(t, ok)
	_, changed = d.EndProbe(c.Until+1, second, Failed, threeServers)
	assert.Assert(t, !changed)
	_, changed = d.EndProbe(c.Until+2, third, Failed, threeServers)
	assert.Assert(t, changed)
}
