package ownership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// fakeStore is an in-memory store. Hosts read it only in simulatedFleet.advance or
// when a test applies its rows to them.
type fakeStore struct {
	rows     map[string]store.Row
	revision store.Revision
	// copies are the earlier states, newest last, if record is set.
	copies []fakeCopy
	record bool
}

func (s *fakeStore) apply(w Write) bool {
	// The store knows no eras of expected versions.
	if s.rows[w.Key].Revision.Version() != w.Expect.Version() {
		return false
	}
	s.revision++
	if w.Remove {
		delete(s.rows, w.Key)
		return true
	}
	s.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Revision: s.revision}
	return true
}

func (s *fakeStore) allRows() []store.Change {
	var out []store.Change
	for _, r := range s.rows {
		out = append(out, store.Change{Row: r})
	}
	return out
}

// simulatedFleet is a set of machines that share one store and one clock.
type simulatedFleet struct {
	t     assert.TestingT
	now   time.Duration
	store *fakeStore
	hosts []*Machine
	// isolated hosts reach neither the store nor the other hosts. Hosts in
	// withoutStore reach the other hosts but not the store.
	isolated, withoutStore map[*Machine]bool
	// holdBack, if set, returns the time after which the store carries a write out whose
	// answer is lost, 0 for a write that is answered.
	holdBack func() time.Duration
	late     []lateWrite
}

func newSimulatedFleet(t *testing.T, n int) *simulatedFleet {
	f := &simulatedFleet{t: t, now: time.Minute, store: &fakeStore{rows: map[string]store.Row{}}, isolated: map[*Machine]bool{}, withoutStore: map[*Machine]bool{}}
	for i := range n {
		f.hosts = append(f.hosts, f.newMachine(fmt.Sprintf("h%d", i), 1))
	}
	return f
}

func (f *simulatedFleet) newMachine(name string, incarnation uint64) *Machine {
	m := NewMachine(f.now, Host{Name: name, Zone: "z", Address: name + ":1", Incarnation: incarnation}, "rows")
	m.SetWantedRoles([]RoleSpec{{Name: "r", Zone: "z"}})
	return m
}

// advance moves the clock by d. At each tick the hosts read the store, exchange
// heartbeats and write to the store.
func (f *simulatedFleet) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += tick {
		f.applyLateWrites()
		f.store.keepCopy(f.now)
		for _, m := range f.hosts {
			if f.isolated[m] {
				m.Tick(f.now) // its writes are lost
				continue
			}
			if !f.withoutStore[m] {
				f.enterEra(m)
				m.ApplyRows(f.now, f.now, f.store.allRows(), true)
			}
			for _, other := range f.hosts {
				if other != m && !f.isolated[other] {
					other.RecordHeartbeats(f.now, m.Heartbeats(f.now))
				}
			}
			for _, w := range m.Tick(f.now) {
				if !f.withoutStore[m] && !f.isHeldBack(w) {
					f.store.apply(w)
				}
				m.WriteDone(w.Key)
			}
		}
		f.checkSingleHolder()
	}
}

// checkSingleHolder fails the test if more than one host may use the role.
func (f *simulatedFleet) checkSingleHolder() {
	holders := 0
	for _, m := range f.hosts {
		if _, ok := m.UsableEpoch(f.now, "r"); ok {
			holders++
		}
	}
	assert.Assert(f.t, holders <= 1, "%d hosts use the role at %v", holders, f.now)
}

func (f *simulatedFleet) holder() *Machine {
	for _, m := range f.hosts {
		if _, ok := m.UsableEpoch(f.now, "r"); ok {
			return m
		}
	}
	return nil
}

// Guards against a request for a new epoch that is repeated endlessly. The owner
// of a database group confirms its primary in each new epoch, and would never
// come to use it.
func TestRequestNewEpochStartsExactlyOneEpoch(t *testing.T) {
	f := newSimulatedFleet(t, 3)
	f.advance(3 * time.Second)
	m := f.holder()
	assert.Assert(t, m != nil)
	before, _ := m.UsableEpoch(f.now, "r")
	m.RequestNewEpoch("r")
	f.advance(2 * time.Second)
	after, ok := m.UsableEpoch(f.now, "r")
	assert.Assert(t, ok)
	assert.Equal(t, after, before+1)
}

// Guards against two holders at once: the holder loses the store and the other
// hosts while another host takes over its role.
func TestTakeoverWaitsForLeaseExpiry(t *testing.T) {
	f := newSimulatedFleet(t, 4)
	f.advance(3 * time.Second)
	old := f.holder()
	assert.Assert(t, old != nil)
	f.isolated[old] = true
	f.advance(8 * time.Second)
	next := f.holder()
	assert.Assert(t, next != nil && next != old)
	f.isolated[old] = false
	f.advance(5 * time.Second)
	assert.Equal(t, f.holder(), next)
}

// Guards against a takeover wait after a planned stop, and against use of the
// role by the host that handed it over.
func TestLeavingHostHandsOverItsRole(t *testing.T) {
	f := newSimulatedFleet(t, 3)
	f.advance(3 * time.Second)
	old := f.holder()
	old.Leave()
	f.advance(200 * time.Millisecond)
	next := f.holder()
	assert.Assert(t, next != nil && next != old)
	assert.Equal(t, old.RemainingRoles(), 0)
}

// Guards against a takeover wait after a process was killed and restarted at
// the same address.
func TestRestartedProcessReclaimsItsRoleImmediately(t *testing.T) {
	f := newSimulatedFleet(t, 3)
	f.advance(6 * time.Second)
	old := f.holder()
	for i, m := range f.hosts {
		if m == old {
			f.hosts[i] = f.newMachine(old.self.Name, 2)
		}
	}
	f.advance(300 * time.Millisecond)
	assert.Assert(t, f.holder() != nil)
}

// Guards against a process that restarts during its takeover wait and then uses
// the role while the previous holder may still use it.
func TestRestartDoesNotSkipPredecessorsTakeoverWait(t *testing.T) {
	f := newSimulatedFleet(t, 4)
	f.advance(3 * time.Second)
	first := f.holder()
	f.isolated[first] = true
	// Advance until the takeover is written, but not until its takeover wait ends.
	currentHolder := func() string {
		for _, m := range f.hosts {
			if r, ok := m.roles["r"]; ok && !f.isolated[m] {
				return r.Holder
			}
		}
		return ""
	}
	for currentHolder() == first.self.Name {
		f.advance(50 * time.Millisecond)
	}
	for i, m := range f.hosts {
		if m.self.Name == currentHolder() {
			f.hosts[i] = f.newMachine(m.self.Name, 2)
			break
		}
	}
	f.advance(6 * time.Second) // checkSingleHolder fails if the first holder still uses the role
	assert.Assert(t, f.holder() != nil)
}

// Guards against a host that is partitioned from the other hosts, but not from
// the store, and takes over all roles.
func TestPartitionedHostClaimsNoRoles(t *testing.T) {
	f := newSimulatedFleet(t, 6)
	f.advance(3 * time.Second)
	holder := f.holder()
	var partitionedHost *Machine
	for _, m := range f.hosts {
		if m != holder {
			partitionedHost = m
		}
	}
	for end := f.now + 6*time.Second; f.now < end; f.now += 50 * time.Millisecond {
		partitionedHost.ApplyRows(f.now, f.now, f.store.allRows(), true)
		for _, w := range partitionedHost.Tick(f.now) {
			t.Fatalf("wrote %s because %s", w.Key, w.Reason)
		}
	}
}

// Guards against a role that stays with a host which has lost the store while
// other hosts have not, and against a takeover wait in that case.
func TestHostWithoutStoreReleasesItsRole(t *testing.T) {
	f := newSimulatedFleet(t, 4)
	f.advance(3 * time.Second)
	old := f.holder()
	f.withoutStore[old] = true
	f.advance(releaseAge + 500*time.Millisecond)
	next := f.holder()
	assert.Assert(t, next != nil && next != old)
	f.withoutStore[old] = false
	f.advance(3 * time.Second)
	assert.Equal(t, f.holder(), next)
}

// Guards against the release of roles while the whole store is down, when no
// other host could claim them.
func TestStoreOutageReleasesNoRoles(t *testing.T) {
	f := newSimulatedFleet(t, 4)
	f.advance(3 * time.Second)
	old := f.holder()
	for _, m := range f.hosts {
		f.withoutStore[m] = true
	}
	f.advance(releaseAge + 200*time.Millisecond)
	assert.Equal(t, f.holder(), old)
	f.advance(2 * time.Second)
	for _, m := range f.hosts {
		f.withoutStore[m] = false
	}
	f.advance(time.Second)
	assert.Equal(t, f.holder(), old)
}

// Guards against a second wait for the lease of a holder that has already been
// replaced, when all hosts restart after the takeover.
func TestTakeoverWaitIsNotRepeatedAfterRestart(t *testing.T) {
	f := newSimulatedFleet(t, 4)
	f.advance(3 * time.Second)
	old := f.holder()
	f.isolated[old] = true
	f.advance(8 * time.Second)
	assert.Assert(t, f.holder() != nil)
	for i, m := range f.hosts {
		f.hosts[i] = f.newMachine(m.self.Name, 2)
	}
	f.advance(300 * time.Millisecond)
	assert.Assert(t, f.holder() != nil)
}

// Guards against small hosts receiving as many roles as large ones: in a fleet
// with hosts of 0.19 and 0.8 of a core, the small ones were overloaded.
func TestRolesFollowCapacity(t *testing.T) {
	m := NewMachine(0, Host{Name: "h0", Zone: "z", Capacity: 0.2}, "rows")
	m.hosts["h0"] = &hostRow{Host: m.self}
	m.hosts["h1"] = &hostRow{Host: Host{Name: "h1", Zone: "z", Capacity: 0.8}}
	m.heartbeats["h1"] = &receivedHeartbeat{Heartbeat: Heartbeat{Host: "h1"}}
	large := 0
	for i := range 1000 {
		if m.Rank(0, fmt.Sprint("r", i), "z")[0].Name == "h1" {
			large++
		}
	}
	assert.Assert(t, large > 750 && large < 850, "%d of 1000", large)
}

// Guards against a takeover from a live holder after a partition: the half of the fleet
// that was cut off from the store gets the store back before the first heartbeats of the
// other half. The callers of the role would wait for the takeover for nothing.
func TestHealedPartitionTakesNoRoleFromLiveHolder(t *testing.T) {
	f := newSimulatedFleet(t, 6)
	f.advance(5 * time.Second)
	before := f.holder()
	assert.Assert(t, before != nil)
	sides := [2][]*Machine{{before}}
	for _, m := range f.hosts {
		switch {
		case m == before:
		case len(sides[0]) < len(f.hosts)/2:
			sides[0] = append(sides[0], m)
		default:
			sides[1] = append(sides[1], m)
		}
	}
	const tick = 50 * time.Millisecond
	// run lets the sides exchange heartbeats among themselves only.
	run := func(d time.Duration, secondReachesStore bool) {
		for end := f.now + d; f.now < end; f.now += tick {
			for i, side := range sides {
				reachesStore := i == 0 || secondReachesStore
				for _, m := range side {
					if reachesStore {
						m.ApplyRows(f.now, f.now, f.store.allRows(), true)
					}
					for _, other := range side {
						if other != m {
							other.RecordHeartbeats(f.now, []Heartbeat{m.OwnHeartbeat(f.now)})
						}
					}
					for _, w := range m.Tick(f.now) {
						assert.Assert(t, reachesStore || f.now < m.LeaseUntil(), "a claim without the lease")
						if reachesStore {
							f.store.apply(w)
						}
						m.WriteDone(w.Key)
					}
				}
			}
		}
	}
	run(7*time.Second, false)
	run(700*time.Millisecond, true)
	f.advance(3 * time.Second)
	assert.Assert(t, f.holder() == before, "the holder has lost the role")
	// A holder that is lost while the others have the store is replaced as before.
	f.isolated[before] = true
	f.advance(6 * time.Second)
	assert.Assert(t, f.holder() != nil && f.holder() != before)
}

// Guards against minters that meet on the few hosts which carry the servers of a zone: the
// loss of one of these would take a large part of the zone's tokens with it.
func TestOnlyRolesThatCarryStatementsFollowSpareCapacity(t *testing.T) {
	m := NewMachine(0, Host{Name: "h0", Zone: "z", Capacity: 0.2, SpareCapacity: 0.01}, "rows")
	m.carriesStatements = func(role string) bool { return strings.HasPrefix(role, "server/") }
	m.hosts["h0"] = &hostRow{Host: m.self}
	m.hosts["h1"] = &hostRow{Host: Host{Name: "h1", Zone: "z", Capacity: 0.2, SpareCapacity: 0.7}}
	first := func(kind string) (n int) {
		for i := range 400 {
			if m.ranking(fmt.Sprint(kind, i), "z")[0].Name == "h1" {
				n++
			}
		}
		return n
	}
	assert.Assert(t, first("server/") > 380)
	minters := first("rate/")
	assert.Assert(t, minters > 160 && minters < 240, "%d of 400 minters", minters)
}
