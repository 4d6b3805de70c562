package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
)

// roleUse records when each process last could use the role of a simulatedFleet.
type roleUse struct {
	last map[*Machine]time.Duration
	// dated counts the holders that knew when their predecessor had ended.
	dated int
}

// randomFaults runs a fleet whose hosts are killed, restarted, isolated and cut off from
// the store at random, and calls check whenever a process has got the role.
func randomFaults(draw func(n int) int, f *simulatedFleet, check func(m *Machine, end time.Duration, use *roleUse)) *roleUse {
	use := &roleUse{last: map[*Machine]time.Duration{}}
	incarnation := uint64(1)
	held := map[*Machine]uint64{}
	for range 60 {
		i := draw(len(f.hosts))
		m := f.hosts[i]
		switch draw(9) {
		case 0:
			incarnation++
			delete(f.isolated, m)
			delete(f.withoutStore, m)
			f.hosts[i] = f.newMachine(m.self.Name, incarnation)
		case 1:
			for j := range f.hosts { // all hosts at once
				incarnation++
				f.hosts[j] = f.newMachine(f.hosts[j].self.Name, incarnation)
			}
			clear(f.isolated)
			clear(f.withoutStore)
		case 2:
			f.isolated[m] = !f.isolated[m]
		case 3:
			f.withoutStore[m] = !f.withoutStore[m]
		case 4:
			f.advance(3 * time.Second)
		}
		for range 1 + draw(8) {
			f.advance(50 * time.Millisecond)
			for _, m := range f.hosts {
				epoch, ok := m.UsableEpoch(f.now, "r")
				if !ok {
					continue
				}
				if held[m] != epoch {
					held[m] = epoch
					if end, known := m.PredecessorEnd("r", epoch); known {
						use.dated++
						check(m, end, use)
					}
				}
				use.last[m] = f.now
			}
		}
	}
	return use
}

// Guards against a minter that is dated before the last use of the role by another process:
// it would mint what that one has granted already. Hosts are killed in the middle of a
// takeover, all at once, and while they are cut off.
func TestPredecessorHadEndedByTheStatedTime(t *testing.T) {
	dated := 0
	rapid.Check(t, func(rt *rapid.T) {
		f := newSimulatedFleet(t, rapid.IntRange(2, 4).Draw(rt, "hosts"))
		use := randomFaults(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }, f, func(m *Machine, end time.Duration, use *roleUse) {
			for other, last := range use.last {
				if other != m && last > end {
					rt.Fatalf("used by %s at %v, after %v", other.self.Name, last, end)
				}
			}
		})
		dated += use.dated
	})
	assert.Assert(t, dated > 0, "no run has a holder that knows when its predecessor ended")
}

// Guards against a restarted holder that trusts the start of its process although the
// process before it had not finished the takeover wait, so that an earlier holder may have
// used the role until later.
func TestUnfinishedTakeoverIsNotDated(t *testing.T) {
	f := newSimulatedFleet(t, 3)
	f.advance(4 * time.Second)
	first := f.holder()
	f.isolated[first] = true
	f.advance(suspectTimeoutSmall + time.Second) // another host is in its takeover wait
	claimant := -1
	for i, m := range f.hosts {
		if _, ok := m.AssignedEpoch(f.now, "r"); ok && m != first {
			claimant = i
		}
	}
	assert.Assert(t, claimant >= 0)
	restarted := f.newMachine(f.hosts[claimant].self.Name, 2)
	f.hosts[claimant] = restarted
	f.advance(5 * time.Second)
	assert.Equal(t, f.holder(), restarted)
	epoch, _ := restarted.UsableEpoch(f.now, "r")
	_, known := restarted.PredecessorEnd("r", epoch)
	assert.Assert(t, !known)
}

// Guards, for a fleet whose hosts all start at once, against hosts that disagree on the home
// host of a server and refuse calls to each other until the first heartbeats have spread;
// and against a host that counts as alive without a heartbeat for longer.
func TestHostsThatRegisterTogetherCountAsAlive(t *testing.T) {
	f := newGossipFleet(t, 33)
	for _, h := range f.hosts {
		assert.Assert(t, h.self.Name == "h5" || !h.Alive(f.now, "h5"))
		h.EnableFastRecovery()
	}
	want, _ := f.hosts[0].firstHome(f.now, "home", "z1")
	for _, h := range f.hosts {
		home, _ := h.firstHome(f.now, "home", "z1")
		assert.Equal(t, home, want)
		assert.Assert(t, h.self.Name == "h5" || h.Alive(f.now, "h5"))
		assert.Assert(t, h.self.Name == "h5" || !h.Alive(f.now+firstHeartbeatPeriod, "h5"))
		assert.Equal(t, len(h.Rank(f.now, "r", "")), 1, "a role is ceded to a host without a heartbeat")
	}
}
