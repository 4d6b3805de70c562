package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// gossipRound is the interval of heartbeats in package host, gossipStep the step of the
// simulated time.
const (
	gossipRound = 300 * time.Millisecond
	gossipStep  = 50 * time.Millisecond
)

// gossipFleet simulates the heartbeats of a fleet: hosts in six zones, three of them
// large in each, that all know the rows. Calls take no time.
type gossipFleet struct {
	t     testing.TB
	now   time.Duration
	rng   *rand.Rand
	hosts []*gossipHost
	byKey map[string]*gossipHost
	// lossRate is the share of exchanges that fail, stallRate the share of rounds that a
	// host skips.
	lossRate, stallRate float64
	zoneCut             string
	// slow are the hosts that answer too late and get their answers too late.
	slow      map[string]bool
	exchanges int
}

type gossipHost struct {
	*Machine
	// offset is the phase of the host's rounds.
	offset time.Duration
	dead   bool
	// sampleAt is the time of the newest sample that the host has.
	sampleAt time.Duration
	partners map[string]bool
}

func newGossipFleet(t testing.TB, n int) *gossipFleet {
	f := &gossipFleet{t: t, now: time.Minute, rng: rand.New(rand.NewPCG(1, uint64(n))), byKey: map[string]*gossipHost{}}
	var rows []store.Change
	zones := min(6, max(1, n/3))
	for i := range n {
		self := Host{Name: fmt.Sprintf("h%d", i), Zone: fmt.Sprint("z", i%zones), Address: fmt.Sprintf("h%d:1", i), Incarnation: 1, Capacity: 0.19}
		if i < 3*zones {
			self.Capacity = 0.8
		}
		h := &gossipHost{Machine: NewMachine(f.now, self, "rows"), offset: time.Duration(i%6) * gossipStep, partners: map[string]bool{}}
		f.hosts = append(f.hosts, h)
		f.byKey[self.Name] = h
		rows = append(rows, store.Change{Row: store.Row{Key: "rows/host/" + self.Name, Value: encode(self), Revision: store.Revision(i + 1)}})
	}
	for _, h := range f.hosts {
		h.ApplyRows(f.now, f.now, rows, true)
	}
	return f
}

// advance runs the rounds of the next d. After each step it calls check.
func (f *gossipFleet) advance(d time.Duration, check func()) {
	for end := f.now + d; f.now < end; {
		f.now += gossipStep
		for _, h := range f.hosts {
			if h.dead || (f.now-h.offset)%gossipRound != 0 || f.rng.Float64() < f.stallRate {
				continue
			}
			for _, target := range f.targets(h) {
				f.exchange(h, target)
			}
		}
		check()
	}
}

// targets returns the hosts with which a host exchanges heartbeats in this round.
func (f *gossipFleet) targets(h *gossipHost) []Host {
	if h.IsLargeFleet() {
		return h.ExchangeTargets(f.now, f.rng)
	}
	others := h.Others()
	var out []Host
	for _, i := range f.rng.Perm(len(others))[:min(2, len(others))] {
		out = append(out, others[i])
	}
	return out
}

func (f *gossipFleet) exchange(h *gossipHost, target Host) {
	other := f.byKey[target.Name]
	h.partners[target.Name] = true
	cut := f.zoneCut != "" && (h.self.Zone == f.zoneCut) != (other.self.Zone == f.zoneCut)
	if other.dead || cut || f.rng.Float64() < f.lossRate {
		h.RecordUnresponsive(f.now, target.Name)
		return
	}
	f.exchanges++
	explicit, packed := h.PackHeartbeats(f.now)
	other.RecordHeartbeats(f.now, explicit)
	other.RecordPackedHeartbeats(f.now, packed)
	if f.slow[h.self.Name] || f.slow[target.Name] {
		h.RecordUnresponsive(f.now, target.Name)
		return
	}
	explicit, packed = other.PackHeartbeats(f.now)
	h.RecordHeartbeats(f.now, explicit)
	h.RecordPackedHeartbeats(f.now, packed)
	h.RecordAnswer(f.now, target.Name)
	h.RecordExchange(f.now, target.Name)
	h.sampleAt = max(h.sampleAt, other.sampleAt)
}

// allSuspect reports whether every live host suspects the named one.
func (f *gossipFleet) allSuspect(name string) bool {
	for _, h := range f.hosts {
		if !h.dead && h.Alive(f.now, name) {
			return false
		}
	}
	return true
}

// fleetSizes are the sizes of the small, the grown and the large deployment, and the
// largest one of the sweep. The time to simulate grows with the square.
var fleetSizes = []struct {
	hosts   int
	calm    time.Duration
	maxPeer int
}{{9, 60 * time.Second, 8}, {89, 30 * time.Second, 20}, {295, 10 * time.Second, 20}, {1000, 2 * time.Second, 20}}

// Guards, for the load pattern of heartbeats in a fleet of any size, against hosts that
// are suspected although they live, with a tenth of the rounds stalled and a fiftieth of
// the exchanges lost; against a lost host that is not noticed; and against a number of
// partners that grows with the fleet.
func TestHeartbeatsDetectLostHostsInFleetsOfAnySize(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			if size.hosts > 500 && testing.Short() {
				t.Skip("takes long")
			}
			t.Parallel()
			f := newGossipFleet(t, size.hosts)
			f.advance(2*time.Second, func() {})
			f.lossRate, f.stallRate = 0.02, 0.1
			suspicions, checks := 0, 0
			f.advance(size.calm, func() {
				for i := 0; i < len(f.hosts); i += 1 + len(f.hosts)/40 {
					for _, other := range f.hosts[i].Others() {
						checks++
						if !f.hosts[i].Alive(f.now, other.Name) {
							suspicions++
						}
					}
				}
			})
			assert.Equal(t, suspicions, 0, "of %d checks", checks)
			partners := 0
			for _, h := range f.hosts[len(f.hosts)-3:] {
				partners = max(partners, len(h.partners))
			}
			assert.Assert(t, partners <= size.maxPeer, "a small host has %d partners", partners)
			f.lossRate, f.stallRate = 0, 0
			lost := f.hosts[len(f.hosts)/2]
			lost.dead = true
			killed, detected := f.now, time.Duration(0)
			for detected == 0 && f.now-killed <= lostHostBound {
				f.advance(gossipStep, func() {})
				if f.allSuspect(lost.self.Name) {
					detected = f.now - killed
				}
			}
			t.Logf("%d hosts: lost host suspected by all after %v, %.1f exchanges a host and second", size.hosts, detected, float64(f.exchanges)/float64(size.hosts)/(f.now-time.Minute).Seconds())
			assert.Assert(t, detected > 0 && detected <= lostHostBound, "%v", detected)
		})
	}
}

// lostHostBound is the time after which every host suspects a lost one: the suspect
// timeout, and a second in which its last heartbeats still spread.
const lostHostBound = suspectTimeoutLarge + time.Second

// Guards, for the load pattern of a zone that is cut off, against hosts of other zones
// that still count those of the zone as alive, and against a zone whose hosts suspect
// each other.
func TestLostZoneIsDetected(t *testing.T) {
	f := newGossipFleet(t, 295)
	f.advance(3*time.Second, func() {})
	f.zoneCut = "z2"
	f.advance(lostHostBound, func() {})
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if h == other {
				continue
			}
			sameSide := (h.self.Zone == "z2") == (other.self.Zone == "z2")
			assert.Equal(t, h.Alive(f.now, other.self.Name), sameSide, "%s of %s", h.self.Name, other.self.Name)
		}
	}
	f.zoneCut = ""
	f.advance(3*time.Second, func() {})
	for _, h := range f.hosts {
		assert.Assert(t, h.Alive(f.now, "h2") || h.self.Name == "h2")
	}
}

// Guards, for the load pattern of many hosts that follow the store through relays, against
// a zone whose relays are lost: its hosts follow the store themselves until it has new
// ones, and no other zone's hosts do.
func TestHostsFollowStoreThemselvesWithoutRelays(t *testing.T) {
	f := newGossipFleet(t, 295)
	following := func(zone string) (n int) {
		for _, h := range f.hosts {
			if !h.dead && h.self.Zone == zone && h.FollowsStore(f.now) {
				n++
			}
		}
		return n
	}
	f.advance(4*time.Second, func() {})
	for z := range 6 {
		assert.Equal(t, following(fmt.Sprint("z", z)), relaysPerZone)
	}
	for _, h := range f.hosts {
		h.dead = h.self.Zone == "z1" && h.IsRelay(f.now)
	}
	f.advance(relayTimeout+3*gossipRound, func() {})
	live := 0
	for _, h := range f.hosts {
		if h.self.Zone == "z1" && !h.dead {
			live++
		}
	}
	assert.Assert(t, following("z1") > live/2, "%d of %d follow the store", following("z1"), live)
	assert.Equal(t, following("z2"), relaysPerZone)
	f.advance(lostHostBound, func() {})
	assert.Equal(t, following("z1"), relaysPerZone, "the zone has no new relays")
}

// Guards, for the load pattern of log position samples that hundreds of hosts need of each
// owner, against samples that reach a host older than the shortest staleness bound, with
// only relays querying the owner, and against an owner that all hosts query.
func TestSamplesReachAllHostsThroughRelays(t *testing.T) {
	// maxSampleAge and maxIndirectSampleAge are those of package host.
	const maxSampleAge, maxIndirectSampleAge, stalenessBound = 300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond
	f := newGossipFleet(t, 295)
	f.advance(3*time.Second, func() {})
	f.lossRate, f.stallRate = 0.02, 0.1
	owner := f.hosts[200]
	queries, direct, worst := 0, 0, time.Duration(0)
	began := f.now
	f.advance(10*time.Second, func() {
		owner.sampleAt = f.now
		for _, h := range f.hosts {
			age := f.now - h.sampleAt
			switch {
			case (f.now-h.offset)%gossipRound != 0 || f.rng.Float64() < f.stallRate:
			case h.IsRelay(f.now) && age >= maxSampleAge:
				h.sampleAt = f.now
				queries++
			case age >= maxIndirectSampleAge:
				h.sampleAt = f.now
				direct++
			}
			if f.now-began > 2*time.Second {
				worst = max(worst, f.now-h.sampleAt)
			}
		}
	})
	t.Logf("oldest sample %v, %.1f queries of the owner a second by relays, %.1f by others", worst, float64(queries)/10, float64(direct)/10)
	assert.Assert(t, worst < stalenessBound, "%v", worst)
	assert.Assert(t, queries+direct <= 10*6*relaysPerZone*int(time.Second/gossipRound)*2, "%d and %d queries in 10 s", queries, direct)
}

// Guards against a heartbeat that is lost in its packed form: freshness, a restart, a
// release and a leave must arrive, in any order of forms.
func TestPackedHeartbeatsCarryTheState(t *testing.T) {
	f := newGossipFleet(t, 40)
	a, b := f.hosts[0], f.hosts[1]
	send := func() {
		explicit, packed := a.PackHeartbeats(f.now)
		b.RecordHeartbeats(f.now, explicit)
		b.RecordPackedHeartbeats(f.now, packed)
	}
	f.advance(2*time.Second, func() {})
	third := f.hosts[2].self.Name
	assert.Assert(t, b.heartbeats[third] != nil && !b.heartbeats[third].Leaving)
	f.hosts[2].Leave()
	a.RecordHeartbeats(f.now, []Heartbeat{f.hosts[2].OwnHeartbeat(f.now)})
	send()
	assert.Assert(t, b.heartbeats[third].Leaving)
	// A packed heartbeat of an unknown incarnation says nothing about the host.
	before := b.heartbeats[third].Heartbeat
	b.RecordPackedHeartbeats(f.now, PackedHeartbeats{IDs: []uint64{beatID(third, 9)}, Counters: []uint64{1 << 40}})
	b.RecordPackedHeartbeats(f.now, PackedHeartbeats{IDs: []uint64{f.hosts[2].hosts[third].beatID}})
	assert.DeepEqual(t, before, b.heartbeats[third].Heartbeat)
}

// Guards against a rank that differs from the order of a fresh computation after hosts
// have come, gone or changed, and against computing it anew while nothing changes.
func TestRankFollowsChangesOfHosts(t *testing.T) {
	f := newGossipFleet(t, 60)
	f.advance(2*time.Second, func() {})
	m := f.hosts[0].Machine
	first := m.Rank(f.now, "role", "z1")[0]
	assert.Equal(t, first.Zone, "z1")
	m.ApplyRows(f.now, f.now, []store.Change{{Row: store.Row{Key: "rows/host/" + first.Name, Revision: 1000}, Removed: true}}, false)
	for _, h := range m.Rank(f.now, "role", "z1") {
		assert.Assert(t, h.Name != first.Name)
	}
	ranked := m.firstRanked(f.now, "role", "z1", 1)
	assert.Assert(t, testing.AllocsPerRun(100, func() { m.firstRanked(f.now, "role", "z1", 1) }) <= 2)
	assert.DeepEqual(t, ranked[0], m.Rank(f.now, "role", "z1")[0])
	assert.Assert(t, len(m.Rank(f.now, "role", "nowhere")) > 40, "without live hosts in the zone, those of all zones can hold the role")
}

// Guards, for the load pattern of all hosts that start together, against claims of one
// role by many hosts: a host that has registered but was not heard of yet claims first.
func TestHostsThatStartTogetherClaimEachRoleOnce(t *testing.T) {
	f := newGossipFleet(t, 89)
	var specs []RoleSpec
	for i := range 20 {
		specs = append(specs, RoleSpec{Name: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%6)})
	}
	for _, h := range f.hosts {
		h.SetWantedRoles(specs)
		h.registered = true
	}
	// Most heartbeats have not arrived everywhere yet.
	f.advance(gossipRound+gossipStep, func() {})
	for _, h := range f.hosts {
		h.contactSince = f.now - observationPeriod
	}
	claims := map[string]int{}
	f.advance(claimDelayPerRank-gossipStep, func() {
		for _, h := range f.hosts {
			for _, w := range h.Tick(f.now) {
				claims[w.Key]++
			}
		}
	})
	assert.Equal(t, len(claims), len(specs))
	for key, n := range claims {
		assert.Equal(t, n, 1, key)
	}
}

// BenchmarkHostDuties measures the recurring work of one host by the size of the fleet.
func BenchmarkHostDuties(b *testing.B) {
	for _, n := range []int{9, 89, 295, 1000} {
		f := newGossipFleet(b, n)
		f.advance(1200*time.Millisecond, func() {})
		m, other := f.hosts[0].Machine, f.hosts[1].Machine
		b.Run(fmt.Sprintf("rank/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				m.firstRanked(f.now, "role", "z1", 1)
			}
		})
		b.Run(fmt.Sprintf("exchange/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				explicit, packed := m.PackHeartbeats(f.now)
				other.RecordHeartbeats(f.now, explicit)
				other.RecordPackedHeartbeats(f.now, packed)
			}
		})
		b.Run(fmt.Sprintf("targets/hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				m.ExchangeTargets(f.now, f.rng)
			}
		})
	}
}

// Guards against a host that can never register, hand over or take a role again, because
// another program has overwritten the row with one that cannot be decoded, and against two
// holders of such a role.
func TestOverwrittenRowsAreRepaired(t *testing.T) {
	f := newSimulatedFleet(t, 3)
	f.advance(4 * time.Second)
	before := f.holder()
	assert.Assert(t, before != nil)
	overwrite := func(key string) {
		f.store.revision++
		f.store.rows[key] = store.Row{Key: key, Value: []byte(`{"holder":[[`), Revision: f.store.revision}
	}
	overwrite("rows/role/r")
	overwrite("rows/host/h1")
	f.advance(time.Second)
	assert.Assert(t, f.holder() == before, "the holder keeps the role")
	// A host that starts now sees good rows only.
	late := f.newMachine("late", 1)
	late.ApplyRows(f.now, f.now, f.store.allRows(), true)
	assert.Equal(t, len(late.hosts), 3)
	holder, ok := late.Holder("r")
	assert.Assert(t, ok && holder.Name == before.self.Name)
	// The holder is lost while the row is odd: another host takes the role over.
	f.isolated[before] = true
	overwrite("rows/role/r")
	f.advance(12 * time.Second)
	assert.Assert(t, f.holder() != nil && f.holder() != before)
}

func FuzzRowsOfOtherWriters(f *testing.F) {
	f.Add("role/r", []byte(`{"holder":"h1","epoch":18446744073709551615}`))
	f.Add("host/h1", []byte(`{"name":"h1","capacity":1e308,"incarnation":-1}`))
	f.Add("host/", []byte(`[[[[`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m := NewMachine(time.Minute, Host{Name: "h0", Zone: "z", Address: "a", Incarnation: 1}, "rows")
		m.SetWantedRoles([]RoleSpec{{Name: "r", Zone: "z"}})
		m.ApplyRows(time.Minute, time.Minute, []store.Change{{Row: store.Row{Key: "rows/" + key, Value: value, Revision: 1}}}, true)
		for now := time.Minute; now < time.Minute+5*time.Second; now += 500 * time.Millisecond {
			m.Tick(now)
			m.Rank(now, "r", "z")
			m.ExchangeTargets(now, rand.New(rand.NewPCG(1, 1)))
		}
	})
}
