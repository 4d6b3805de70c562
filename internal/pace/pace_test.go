package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serverModel is a server of 6 slots that gets reads in a Poisson process. A read that the
// limit refuses goes to another server.
type serverModel struct {
	rate   float64
	length time.Duration
	// service returns the duration of a statement, busy whether the server refuses a
	// statement while others run, down whether it fails.
	service func(r *rand.Rand, at time.Duration, running int) time.Duration
	busy    func(at time.Duration, running int) bool
	down    func(at time.Duration) bool
	// slots returns the slots that callers use; all if it is nil.
	slots func(at time.Duration) int
}

type outcome struct {
	served, failed, slow, moved int
	// fullAt is the time from which on all slots were allowed.
	fullAt time.Duration
}

const (
	modelSlots     = 6
	modelObjective = 200 * time.Millisecond
)

// play runs the model with the limit or, for today's behaviour, without one.
func (m serverModel) play(limited bool) outcome {
	type running struct{ at, ends time.Duration }
	arrivals, services := rand.New(rand.NewPCG(3, 4)), rand.New(rand.NewPCG(5, 6))
	l := New(modelSlots)
	if limited {
		l.Restart()
	}
	var out outcome
	var active []running
	next := time.Duration(0)
	kind := Kind{Statement: "read"}
	for now := time.Duration(0); now < m.length; now += time.Millisecond {
		var rest []running
		for _, r := range active {
			if r.ends > now {
				rest = append(rest, r)
				continue
			}
			out.served++
			if r.ends-r.at > modelObjective {
				out.slow++
			}
			l.RecordAnswer(now, kind, r.ends-r.at)
		}
		active = rest
		for ; next <= now; next += time.Duration(arrivals.ExpFloat64() / m.rate * float64(time.Second)) {
			service := m.service(services, now, len(active))
			slots := modelSlots
			if m.slots != nil {
				slots = m.slots(now)
			}
			if len(active) >= slots || limited && !l.RecordDemand(now, len(active)) {
				out.moved++
				continue
			}
			switch {
			case m.down != nil && m.down(now):
				out.failed++
				l.RecordFailure(now)
			case m.busy != nil && m.busy(now, len(active)):
				out.failed++
				l.RecordBusy(now)
			default:
				active = append(active, running{now, now + service})
			}
		}
		if !l.IsFull() {
			out.fullAt = now
		}
	}
	return out
}

// tailed returns a service time of 28 ms with a tail: 3 % take seven times as long.
func tailed(r *rand.Rand) time.Duration {
	d := time.Duration((10 + 18*r.ExpFloat64()) * float64(time.Millisecond))
	if r.Float64() < 0.03 {
		d *= 7
	}
	return d
}

func healthy(r *rand.Rand, _ time.Duration, _ int) time.Duration { return tailed(r) }

// compare plays the model without and with the limit and logs both.
func (m serverModel) compare(t *testing.T) (before, after outcome) {
	before, after = m.play(false), m.play(true)
	t.Logf("served %d before, %d after; failed %d, %d; over the objective %d, %d; moved %d, %d; full use from %v on", before.served, after.served,
		before.failed, after.failed, before.slow, after.slow, before.moved, after.moved, after.fullAt)
	return before, after
}

// Guards against a healthy server with tails of seven times the mean that is left idle.
func TestHealthyServerWithTailsReachesFullUseQuickly(t *testing.T) {
	before, after := serverModel{rate: 200, length: 10 * time.Second, service: healthy}.compare(t)
	assert.Assert(t, after.fullAt < 500*time.Millisecond)
	assert.Assert(t, after.served > before.served*98/100)
}

// Guards against full load on a server that is slow for 4 s, the more so the more it runs.
// Latency alone takes no more than half of the slots away, so the reads over the objective
// are compared with those at a server that is known to be cold and gets half the load.
func TestColdServerGetsLoadAsItWarmsUp(t *testing.T) {
	cold := func(r *rand.Rand, at time.Duration, running int) time.Duration {
		if at < 4*time.Second {
			return tailed(r) * time.Duration(1+running)
		}
		return tailed(r)
	}
	m := serverModel{rate: 200, length: 8 * time.Second, service: cold}
	before, after := m.compare(t)
	m.slots = func(at time.Duration) int {
		if at < 4*time.Second {
			return modelSlots / 2
		}
		return modelSlots
	}
	known := m.play(false)
	t.Logf("over the objective with half the load while cold: %d", known.slow)
	assert.Assert(t, (after.slow-known.slow)*2 < before.slow-known.slow)
	assert.Assert(t, after.fullAt < 4*time.Second+fullAfter)
}

// Guards against a server that says BUSY because others use half of its slots for 4 s.
func TestFloodedServerIsGivenLess(t *testing.T) {
	busy := func(at time.Duration, running int) bool { return at < 4*time.Second && running >= 3 }
	before, after := serverModel{rate: 200, length: 8 * time.Second, service: healthy, busy: busy}.compare(t)
	assert.Assert(t, after.failed*2 < before.failed)
	assert.Assert(t, after.fullAt < 4*time.Second+fullAfter)
}

// Guards against a server that has become slower for good and stays limited.
func TestSlowerServerKeepsItsSlots(t *testing.T) {
	slower := func(r *rand.Rand, at time.Duration, _ int) time.Duration {
		if at > 2*time.Second {
			return 5 * tailed(r) / 2
		}
		return tailed(r)
	}
	before, after := serverModel{rate: 200, length: 10 * time.Second, service: slower}.compare(t)
	assert.Assert(t, after.served > before.served*85/100)
	assert.Assert(t, after.fullAt < 2*time.Second+2*fullAfter)
}

// Guards against a server that goes down and up and gets full load each time.
func TestFlappingServerIsPacedAfterEachFailure(t *testing.T) {
	down := func(at time.Duration) bool { return at < 7*time.Second && at/(1400*time.Millisecond)%2 == 1 }
	m := serverModel{rate: 200, length: 9 * time.Second, service: healthy, down: down}
	_, after := m.compare(t)
	assert.Assert(t, after.fullAt < 7*time.Second+fullAfter)
}

// Guards against a limit that grows while nobody uses the server.
func TestNoGrowthWithoutUse(t *testing.T) {
	l := New(modelSlots)
	l.Restart()
	for n := range 100 {
		now := time.Duration(n) * 100 * time.Millisecond
		l.RecordDemand(now, 0)
		l.RecordAnswer(now, Kind{}, 10*time.Millisecond)
	}
	assert.Equal(t, l.Allowed(), 2)
}

// Guards against a server that is eight times slower after its return and stays at half of
// its slots for longer than fullAfter: its usual latency adapts with each answer, of which
// it gives few.
func TestSlowServerInUseGetsAllSlotsAfterFullAfter(t *testing.T) {
	l, kind, now := New(modelSlots), Kind{Statement: "read"}, time.Second
	for range 100 {
		now += 30 * time.Millisecond
		l.RecordAnswer(now, kind, 30*time.Millisecond)
	}
	l.Restart()
	var withheld time.Duration
	for began := now; now < began+13*time.Second/2; {
		step := 240 * time.Millisecond / time.Duration(l.Allowed())
		if !l.IsFull() {
			withheld += step
		}
		now += step
		l.RecordDemand(now, l.Allowed())
		l.RecordAnswer(now, kind, 240*time.Millisecond)
	}
	t.Logf("slots withheld for %v of 6.5s", withheld)
	assert.Assert(t, withheld < fullAfter+time.Second)
}

// answerIdle plays answers of a server that runs one statement at a time, and returns the
// number after which all slots were allowed, 0 if they were not.
func answerIdle(l *Limit, answers int, interval time.Duration, latency func(n int) time.Duration) int {
	for n := 1; n <= answers; n++ {
		now := time.Duration(n) * interval
		l.RecordDemand(now, 0)
		l.RecordAnswer(now, Kind{}, latency(n))
		if l.IsFull() {
			return n
		}
	}
	return 0
}

// Guards against a server that stays at a third of its slots while it answers well, because
// it is little used: entry hosts would send reads to other zones although it is idle.
func TestLittleUsedServerReachesFullPaceWithinABound(t *testing.T) {
	for _, slots := range []int{2, 3, 6, 40} {
		l := New(slots)
		l.Restart()
		at := answerIdle(l, 1000, 200*time.Millisecond, func(int) time.Duration { return 10 * time.Millisecond })
		assert.Assert(t, at > 0 && at <= 2*calmAnswers, "%d slots: full after %d answers", slots, at)
	}
}

// Guards against a cold server that is little used and gets all slots although it is slow,
// refuses statements or fails now and then.
func TestLittleUsedServerThatAnswersBadlyStaysLimited(t *testing.T) {
	for name, spoil := range map[string]func(l *Limit, now time.Duration){
		"busy":    func(l *Limit, now time.Duration) { l.RecordBusy(now) },
		"failure": func(l *Limit, now time.Duration) { l.RecordFailure(now) },
	} {
		l := New(modelSlots)
		l.Restart()
		for n := range 1000 {
			now := time.Duration(n) * 100 * time.Millisecond
			l.RecordDemand(now, 0)
			l.RecordAnswer(now, Kind{}, 10*time.Millisecond)
			if n%100 == 99 {
				spoil(l, now)
			}
		}
		assert.Assert(t, l.Allowed() <= 2, "%s: %d", name, l.Allowed())
	}
	l := New(modelSlots)
	l.Restart()
	slow := func(n int) time.Duration {
		if n%60 > 50 {
			return 80 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	assert.Equal(t, answerIdle(l, 1000, 100*time.Millisecond, slow), 0)
}
