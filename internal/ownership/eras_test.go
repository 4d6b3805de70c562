package ownership

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// fakeCopy is an earlier state of a fakeStore.
type fakeCopy struct {
	at      time.Duration
	rows    map[string]store.Row
	version uint64
}

// lateWrite is a write that the store carries out at a later time.
type lateWrite struct {
	Write
	at time.Duration
}

func (s *fakeStore) keepCopy(now time.Duration) {
	if s.record {
		s.copies = append(s.copies, fakeCopy{now, maps.Clone(s.rows), s.revision.Version()})
	}
}

// restore brings the store back from its state at a time, in the next era.
func (s *fakeStore) restore(at time.Duration) {
	c := s.copies[0]
	for len(s.copies) > 1 && s.copies[len(s.copies)-1].at > at {
		s.copies = s.copies[:len(s.copies)-1]
	}
	if last := s.copies[len(s.copies)-1]; last.at <= at {
		c = last
	}
	era := s.revision.Era() + 1
	s.rows, s.revision = map[string]store.Row{}, store.NewRevision(era, c.version)
	for key, r := range c.rows {
		r.Revision = store.NewRevision(era, r.Revision.Version())
		s.rows[key] = r
	}
}

// enterEra does what a follower does at the first rows of an era.
func (f *simulatedFleet) enterEra(m *Machine) {
	if e := f.store.revision.Era(); e != m.eras.era {
		m.NewEra(f.now, e)
	}
}

func (f *simulatedFleet) isHeldBack(w Write) bool {
	if f.holdBack == nil {
		return false
	}
	d := f.holdBack()
	if d > 0 {
		f.late = append(f.late, lateWrite{w, f.now + d})
	}
	return d > 0
}

func (f *simulatedFleet) applyLateWrites() {
	pending := f.late
	f.late = nil
	for _, w := range pending {
		if w.at > f.now {
			f.late = append(f.late, w)
		} else {
			f.store.apply(w.Write)
		}
	}
}

// firstEra is the highest one that may be the first one of a store.
const firstEra store.Era = 2

// newEraFleet returns a fleet whose store has eras.
func newEraFleet(t *testing.T, hosts int) *simulatedFleet {
	f := newSimulatedFleet(t, hosts)
	f.store.revision, f.store.record = store.NewRevision(firstEra, 0), true
	return f
}

// Guards against two holders, and against an epoch that two processes have, when the store
// comes back from older copies while hosts are killed, cut off and restarted, and writes are
// carried out late, also in the next era.
func TestRestoresKeepOneHolderAndEpochsUnique(t *testing.T) {
	restores, used := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		f := newEraFleet(t, 2+draw(3))
		f.t = rt
		if draw(2) == 0 {
			f.holdBack = func() time.Duration {
				if draw(5) > 0 {
					return 0
				}
				return time.Duration(1+draw(60)) * 50 * time.Millisecond
			}
		}
		holders, highest := map[uint64]*Machine{}, uint64(0)
		incarnation := uint64(1)
		f.advance(3 * time.Second)
		for range 40 {
			i := draw(len(f.hosts))
			m := f.hosts[i]
			switch draw(8) {
			case 0:
				incarnation++
				delete(f.isolated, m)
				delete(f.withoutStore, m)
				f.hosts[i] = f.newMachine(m.self.Name, incarnation)
			case 1:
				f.isolated[m] = !f.isolated[m]
			case 2:
				f.withoutStore[m] = !f.withoutStore[m]
			case 3, 4:
				restores++
				f.store.restore(f.now - time.Duration(draw(80))*50*time.Millisecond)
			case 5:
				m.RequestNewEpoch("r")
			case 6:
				if draw(3) == 0 {
					m.Leave()
				}
			}
			for range 1 + draw(14) {
				f.advance(50 * time.Millisecond)
				inUse := 0
				for _, m := range f.hosts {
					if epoch, ok := m.UsableEpoch(f.now, "r"); ok {
						inUse++
						used++
						if epoch < highest {
							rt.Fatalf("%s uses the epoch %d after %d", m.self.Name, epoch, highest)
						}
						highest = epoch
					}
					epoch, ok := m.AssignedEpoch(f.now, "r")
					if !ok {
						continue
					}
					if other, taken := holders[epoch]; taken && other != m {
						rt.Fatalf("%s and %s have the epoch %d", other.self.Name, m.self.Name, epoch)
					}
					holders[epoch] = m
				}
				if inUse > 1 {
					rt.Fatalf("%d hosts use the role at %v", inUse, f.now)
				}
			}
		}
	})
	assert.Assert(t, restores > 0 && used > 0)
}

// Guards against a gap for every role when the store comes back: the holder goes on, with
// the same epoch, if the copy has its row, and at once with a new one if it has not.
func TestHolderKeepsItsRoleInNewEra(t *testing.T) {
	for _, age := range []time.Duration{0, 5 * time.Second} { // the copies with the row and before any row
		f := newEraFleet(t, 3)
		f.advance(4500 * time.Millisecond)
		m := f.holder()
		assert.Assert(t, m != nil)
		before, _ := m.UsableEpoch(f.now, "r")
		f.store.restore(f.now - age)
		f.advance(200 * time.Millisecond)
		after, ok := m.UsableEpoch(f.now, "r")
		assert.Assert(t, ok && (age == 0) == (after == before), "copy of %v: epoch %d, before %d", age, after, before)
		f.advance(5 * time.Second)
		assert.Equal(t, f.holder(), m)
	}
}

// Guards, for a process that starts right after the store came back and knows nothing,
// against the use of a role whose holder it cannot know, and against an epoch that the lost
// rows had given out.
func TestProcessThatKnowsNothingWaits(t *testing.T) {
	for _, sameName := range []bool{true, false} {
		f := newEraFleet(t, 2)
		f.advance(4 * time.Second)
		old := f.holder()
		before := f.now
		for range 3 {
			old.RequestNewEpoch("r")
			f.advance(200 * time.Millisecond)
		}
		lost, _ := old.UsableEpoch(f.now, "r")
		f.store.restore(before)
		name := "new"
		if sameName {
			name = old.self.Name
		}
		m := f.newMachine(name, 7)
		f.hosts = []*Machine{m}
		begin := f.now
		f.advance(LeaseTTL)
		_, ok := m.UsableEpoch(f.now, "r")
		assert.Assert(t, !ok, "uses the role after %v", f.now-begin)
		f.advance(25 * time.Second) // the other hosts no longer count for the quorum
		epoch, ok := m.UsableEpoch(f.now, "r")
		assert.Assert(t, ok && epoch > lost, "epoch %d, lost %d", epoch, lost)
	}
}

// Guards against a process that stops because the copy holds the row of an earlier process
// under its name.
func TestRowOfEarlierProcessReplacesNobody(t *testing.T) {
	f := newEraFleet(t, 2)
	f.advance(2 * time.Second)
	before := f.now
	m := f.newMachine("h0", 2)
	f.hosts[0] = m
	f.advance(time.Second)
	f.store.restore(before)
	f.advance(time.Second)
	assert.Assert(t, !m.Replaced())
	assert.Equal(t, m.hosts["h0"].Incarnation, uint64(2))
}

// startInNewEra returns a host that held the role when the store came back, and has read the
// rows of the new era.
func startInNewEra(t *testing.T, rows ...store.Change) *Machine {
	f := newEraFleet(t, 1)
	f.advance(2 * time.Second)
	m := f.hosts[0]
	assert.Equal(t, f.holder(), m)
	m.NewEra(f.now, firstEra+1)
	m.ApplyRows(f.now, f.now, rows, true)
	return m
}

func roleChange(e store.Era, version uint64, r Role) store.Change {
	return store.Change{Row: store.Row{Key: "rows/role/r", Value: encode(r), Revision: store.NewRevision(e, version)}}
}

// Guards against a predecessor's end that is read off a row of an earlier era: a minter
// dated by it grants what an unknown holder has granted.
func TestRowOfEarlierEraDatesNoPredecessor(t *testing.T) {
	m := startInNewEra(t, roleChange(firstEra+1, 5, Role{Holder: "h0", Address: "h0:1", Epoch: 3, Era: firstEra, NoTakeoverWait: true}))
	m.recordPredecessorEnd("r", m.roles["r"], Role{Epoch: 9, Era: firstEra + 1, NoTakeoverWait: true})
	_, known := m.PredecessorEnd("r", 9)
	assert.Assert(t, !known)
}

// Guards against the result of a write of an earlier era that arrives after the rows of the
// next one.
func TestResultOfEarlierEraAssignsNoRole(t *testing.T) {
	m := startInNewEra(t)
	m.eras.kept = nil
	m.ApplyRows(time.Hour, 0, []store.Change{roleChange(firstEra, 90, Role{Holder: "h0", Incarnation: 1, Epoch: 90, Era: firstEra, NoTakeoverWait: true})}, false)
	_, exists := m.roles["r"]
	assert.Assert(t, !exists)
}

// Guards against a role that is marked with the new era while its holder is not registered:
// others would claim it without a wait, because the holder looks as if it had left.
func TestHolderRegistersBeforeItMarksItsRole(t *testing.T) {
	m := startInNewEra(t)
	writes := m.Tick(m.confirmedAt)
	assert.Assert(t, len(writes) == 1 && writes[0].Reason == "register", "%v", writes)
}

// Guards against a successor whose wait ends by its own clock, while the store has come back
// with the old holder's row and the old holder goes on.
func TestTakeoverNeedsItsWaitRecorded(t *testing.T) {
	f := newEraFleet(t, 2)
	f.advance(3 * time.Second)
	old := f.holder()
	next := f.hosts[0]
	if next == old {
		next = f.hosts[1]
	}
	before := f.now
	f.isolated[old] = true
	f.advance(2 * time.Second)
	_, claimed := next.AssignedEpoch(f.now, "r")
	assert.Assert(t, claimed)
	f.isolated[next] = true
	f.store.restore(before)
	f.isolated[old] = false
	f.advance(4 * time.Second) // advance checks that one host at most uses the role
	assert.Equal(t, f.holder(), old)
}

// Guards against a claim over a holder that has claimed the role in the new era already, on
// the strength of the last one.
func TestHolderOfLastEraYieldsToClaimOfThisEra(t *testing.T) {
	m := startInNewEra(t, roleChange(firstEra+1, 5, Role{Holder: "h9", Incarnation: 4, Address: "h9:1", Epoch: 90, Era: firstEra + 1}))
	m.registered = true
	for _, w := range m.Tick(m.confirmedAt) {
		assert.Assert(t, w.Key != "rows/role/r", "%s", w.Reason)
	}
}

// Guards against a holder that returns with its old epoch after the lost rows have given out
// a later one.
func TestHolderThatWaitedGetsANewEpoch(t *testing.T) {
	m := startInNewEra(t)
	row := roleChange(firstEra+1, 5, Role{Holder: "h0", Incarnation: 1, Address: "h0:1", Epoch: 3, Era: firstEra, NoTakeoverWait: true})
	m.ApplyRows(m.confirmedAt, m.confirmedAt, []store.Change{row}, false) // a late write of the last era
	at := m.confirmedAt + LeaseTTL
	m.ApplyRows(at, at, nil, false)
	_, ok := m.AssignedEpoch(at, "r")
	assert.Assert(t, !ok)
	w, ok := m.heldRoleWrite(at+time.Second, "r", m.roles["r"])
	var next Role
	assert.Assert(t, ok && decodeRow(w.Value, &next))
	assert.Equal(t, next.Epoch, uint64(store.NewRevision(firstEra+1, 6)))
}
