package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// roleUse records when each process last could use the role of a simulatedFleet.
type roleUse struct {
	last map[*Machine]time.Duration
	// dated counts the holders that knew when their predecessor had ended.
	dated int
}

// randomFaults runs a fleet whose hosts are killed, restarted, stopped, isolated and cut off
// from the store at random, and calls check whenever a process has got the role.
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
		case 5:
			m.Leave()
		case 6: // a process that reads its first rows late
			incarnation++
			delete(f.withoutStore, m)
			f.hosts[i] = f.newMachine(m.self.Name, incarnation)
			f.isolated[f.hosts[i]] = true
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

// Guards against a new holder that dates its predecessor's end by the start of its own
// process, or by the row of a restarted host, although a leaving host used the role until
// later and then ceded it to a process that had ended.
func TestRoleCededToAnEndedProcessIsDatedByTheRow(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		f := newSimulatedFleet(t, 3)
		f.advance(4 * time.Second)
		leaving := f.holder()
		target := leaving.Rank(f.now, "r", "z")[0]
		if target.Name == leaving.self.Name {
			target = leaving.Rank(f.now, "r", "z")[1]
		}
		var successor *Machine
		for i, m := range f.hosts {
			switch {
			case m.self.Name == target.Name && restarts:
				successor = f.newMachine(target.Name, 2)
				f.hosts[i] = successor
				f.isolated[successor] = true // it reads its first rows late
			case m.self.Name != leaving.self.Name && m.self.Name != target.Name && !restarts:
				successor = m
			}
		}
		assert.Assert(t, successor != nil)
		restarted := target
		restarted.Incarnation = 2
		if !restarts {
			successor.ApplyRows(f.now, 0, []store.Change{{Row: store.Row{Key: successor.hostKey(target.Name), Value: encode(restarted), Revision: 1000}}}, false)
		}
		f.now += 500 * time.Millisecond
		_, ok := leaving.UsableEpoch(f.now, "r")
		assert.Assert(t, ok)
		lastUse := f.now
		leaving.Leave()
		for _, w := range leaving.Tick(f.now) {
			assert.Assert(t, f.store.apply(w))
		}
		f.now += 50 * time.Millisecond
		successor.ApplyRows(f.now, f.now, f.store.allRows(), true)
		r := successor.roles["r"]
		assert.Equal(t, r.Holder, target.Name)
		if !restarts {
			successor.ApplyRows(f.now, 0, []store.Change{{Row: store.Row{Key: successor.hostKey(target.Name), Value: encode(restarted), Revision: 1000}}}, false)
		}
		successor.recordPredecessorEnd("r", r, Role{Epoch: r.Epoch + 1, NoTakeoverWait: true})
		end, known := successor.PredecessorEnd("r", r.Epoch+1)
		assert.Assert(t, !known || end >= lastUse, "restarts %v: ended at %v, used at %v", restarts, end, lastUse)
	}
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
