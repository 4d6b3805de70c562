package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// newReadyFleet returns a fleet with a published document in which every role
// is held.
func newReadyFleet(t *testing.T, seed uint64, zones, hosts int, g disabledGuards) *sim {
	t.Helper()
	s := newSim(seed, zones, hosts, g)
	s.advance(3 * time.Second)
	s.publish(s.hosts[0], 1, 0, s.document("v1"))
	s.advance(8 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assert.Equal(t, len(s.oracle.accepted), 1)
	assertAllRolesHeld(t, s)
	return s
}

// assertAllRolesHeld checks that every role has a valid holder.
func assertAllRolesHeld(t *testing.T, s *sim) {
	t.Helper()
	holders := map[string]string{}
	for _, h := range s.hosts {
		for r := range usableRoles(s, h) {
			holders[r] = h.name
		}
	}
	for _, h := range s.hosts {
		if d, _ := h.f.Document(); d != nil && !h.down {
			for _, r := range h.f.roles.sorted {
				if r.configured && holders[r.name] == "" {
					t.Fatalf("%v: role %s has no valid holder; row %+v", s.now, r.name, r.row)
				}
			}
		}
	}
}

// Guards against a new fleet in which a role has no holder or a host has no fresh
// keys seconds after the first publication.
func TestFreshFleetHoldsAllRoles(t *testing.T) {
	s := newReadyFleet(t, 1, 3, 9, disabledGuards{})
	for _, h := range s.hosts {
		assert.Assert(t, h.f.KeysFresh(h.clock(s.now)), h.name)
	}
}

// holderOf returns the first host that may act for the role, or nil.
func holderOf(s *sim, role string) *simHost {
	for _, h := range s.hosts {
		if usableRoles(s, h)[role] {
			return h
		}
	}
	return nil
}

func keysFresh(s *sim, h *simHost) bool { return h.f.KeysFresh(h.clock(s.now)) }

// Guards against two holders of a role at the same time when a host can send
// but not receive. Its renewals still reach the store, but it must lose its
// roles.
func TestHostThatCannotReceiveLosesRoles(t *testing.T) {
	s := newReadyFleet(t, 2, 3, 9, disabledGuards{})
	h := holderOf(s, HomeRole("db004"))
	for _, p := range s.hosts {
		s.blockedLinks[[2]string{p.name, h.name}] = true
	}
	s.blockedLinks[[2]string{"store", h.name}] = true
	s.advance(20 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assert.Equal(t, len(usableRoles(s, h)), 0)
	assert.Assert(t, !keysFresh(s, h))
	s.blockedLinks = map[[2]string]bool{}
	s.advance(20 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assertAllRolesHeld(t, s)
}

// Guards against a holder that resumes after a pause longer than its lease and
// still acts on the lapsed lease.
func TestPausedHolderLosesRole(t *testing.T) {
	s := newReadyFleet(t, 3, 3, 9, disabledGuards{})
	role := MinterRole("z1", 0)
	h := holderOf(s, role)
	s.pause(h)
	s.advance(6 * time.Second)
	other := holderOf(s, role)
	assert.Assert(t, other != nil && other != h)
	assert.Equal(t, other.zone, "z1")
	s.resume(h)
	s.advance(10 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assertAllRolesHeld(t, s)
}

// Guards against slow recovery and request bursts when all hosts restart during
// a store outage. They must regain leases, roles and configuration within
// seconds.
func TestAllRestartAfterOutage(t *testing.T) {
	s := newReadyFleet(t, 4, 3, 9, disabledGuards{})
	s.storeDown = true
	s.advance(30 * time.Second)
	for _, h := range s.hosts {
		s.kill(h)
		s.startProcess(h)
	}
	s.advance(10 * time.Second)
	s.storeDown = false
	s.reads, s.writes = 0, 0
	peak := 0
	for range 100 {
		before := s.reads + s.writes
		s.advance(100 * time.Millisecond)
		peak = max(peak, s.reads+s.writes-before)
	}
	assert.Equal(t, s.oracle.fault, "")
	assertAllRolesHeld(t, s)
	// 7 duties of 9 hosts with one request in flight each.
	assert.Assert(t, peak <= 63, "%d requests within 100 ms", peak)
}

// Guards against stale keys, lost home roles and stopped minters in a store outage
// in which all hosts still reach each other.
func TestStoreDownKeysStayFresh(t *testing.T) {
	s := newReadyFleet(t, 5, 3, 9, disabledGuards{})
	held := map[*simHost]int{}
	for _, h := range s.hosts {
		held[h] = len(h.f.HeldRoles(h.clock(s.now)))
	}
	s.storeDown = true
	for range 600 {
		s.advance(100 * time.Millisecond)
		for _, h := range s.hosts {
			now := h.clock(s.now)
			assert.Assert(t, keysFresh(s, h), "%v: %s", s.now, h.name)
			for _, r := range h.f.HeldRoles(now) {
				assert.Assert(t, r.LeaseLive || r.Name[:4] != "rate" || h.f.MayMint(now, r.Name), "%v: %s %s", s.now, h.name, r.Name)
			}
		}
	}
	for _, h := range s.hosts {
		assert.Equal(t, len(h.f.HeldRoles(h.clock(s.now))), held[h])
	}
	s.storeDown = false
	s.advance(10 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assertAllRolesHeld(t, s)
}

// Guards against a partitioned zone that serves sessions with keys for longer
// than key_grace. The zone has lost the store and the other zones. It must keep
// minting for public routes, and apply a withdrawal once the partition ends.
func TestPartitionedZoneStopsServingKeys(t *testing.T) {
	s := newReadyFleet(t, 6, 3, 9, disabledGuards{})
	s.partitionZone("z1", true)
	s.publish(s.hosts[0], 2, 1, s.document("v2")) // h000 is in z0
	s.advance(5*time.Second + clockTolerance)
	for _, h := range s.hosts {
		assert.Equal(t, keysFresh(s, h), h.zone != "z1", h.name)
		if h.zone == "z1" {
			assert.Equal(t, h.f.documentVersion(), config.Version(1))
		}
	}
	s.advance(20 * time.Second)
	for shard := range MinterShards {
		h := holderOf(s, MinterRole("z1", shard))
		assert.Assert(t, h != nil && h.zone == "z1", "shard %d", shard)
	}
	s.partitionZone("z1", false)
	s.advance(10 * time.Second)
	for _, h := range s.hosts {
		assert.Equal(t, h.f.documentVersion(), config.Version(2))
		assert.Assert(t, keysFresh(s, h))
	}
	assert.Equal(t, s.oracle.fault, "")
	assertAllRolesHeld(t, s)
}

// Guards against roles that stay in a zone that is out of service, or that do
// not return when the zone is in service again.
func TestRolesLeaveZoneOutOfService(t *testing.T) {
	s := newReadyFleet(t, 7, 4, 8, disabledGuards{})
	s.publish(s.hosts[0], 2, 1, s.document("v2", "z1"))
	s.advance(3 * time.Second)
	for _, h := range s.hosts {
		if h.zone == "z1" {
			assert.Equal(t, len(usableRoles(s, h)), 0)
		}
	}
	assertAllRolesHeld(t, s)
	s.publish(s.hosts[0], 3, 2, s.document("v3"))
	s.advance(60 * time.Second)
	assert.Assert(t, holderOf(s, MinterRole("z1", 0)).zone == "z1")
	assert.Assert(t, holderOf(s, HomeRole("db001")).zone == "z1")
	assert.Equal(t, s.oracle.fault, "")
	assertAllRolesHeld(t, s)
}

// Guards against a planned stop that leaves roles unserved until the lease
// lapses. Every role must be handed over while the lease is live.
func TestLeavingHostHandsOverRoles(t *testing.T) {
	s := newReadyFleet(t, 8, 3, 9, disabledGuards{})
	h := s.hosts[4]
	s.step(h, Leave{})
	s.advance(time.Second)
	assert.Equal(t, len(h.f.HeldRoles(h.clock(s.now))), 0)
	assertAllRolesHeld(t, s)
	s.step(h, ReleaseLease{})
	s.advance(time.Second)
	for _, p := range s.hosts {
		if p != h {
			assert.Assert(t, p.f.LeaseLapsed(p.clock(s.now), h.name, h.f.Self().Incarnation))
		}
	}
	s.kill(h)
	s.storeDown = true // keys must stay fresh without attestations of the host that has left
	s.advance(15 * time.Second)
	for _, p := range s.hosts {
		assert.Assert(t, p == h || keysFresh(s, p), p.name)
	}
	assert.Equal(t, s.oracle.fault, "")
}

// Guards against backend servers without a home when their zone has no live
// host. Other zones must take over once the leases have lapsed, and hand the
// roles back when the zone's hosts return.
func TestFallbackToOtherZone(t *testing.T) {
	s := newReadyFleet(t, 9, 3, 6, disabledGuards{})
	for _, h := range s.hosts {
		if h.zone == "z2" {
			s.kill(h)
		}
	}
	s.advance(8 * time.Second)
	h := holderOf(s, HomeRole("db002"))
	assert.Assert(t, h != nil && h.zone != "z2")
	for _, h := range s.hosts {
		if h.zone == "z2" {
			s.startProcess(h)
		}
	}
	s.advance(30 * time.Second)
	assert.Equal(t, holderOf(s, HomeRole("db002")).zone, "z2")
	assert.Equal(t, s.oracle.fault, "")
	assertAllRolesHeld(t, s)
}
