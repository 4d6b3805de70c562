package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// ready returns a fleet with a published document in which every role is held.
func ready(t *testing.T, seed uint64, zones, hosts int, g guards) *sim {
	t.Helper()
	s := newSim(seed, zones, hosts, g)
	s.advance(3 * time.Second)
	s.publish(s.hosts[0], 1, 0, s.document("v1"))
	s.advance(8 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assert.Equal(t, len(s.oracle.accepted), 1)
	assertServed(t, s)
	return s
}

// assertServed checks that every role has a valid holder.
func assertServed(t *testing.T, s *sim) {
	t.Helper()
	served := map[string]string{}
	for _, h := range s.hosts {
		for r := range valid(s, h) {
			served[r] = h.name
		}
	}
	for _, h := range s.hosts {
		if d, _ := h.f.Document(); d != nil && !h.down {
			for _, r := range h.f.roles.order {
				if r.wanted && served[r.name] == "" {
					t.Fatalf("%v: role %s has no valid holder; row %+v", s.now, r.name, r.row)
				}
			}
		}
	}
}

func TestFleetStarts(t *testing.T) {
	s := ready(t, 1, 3, 9, guards{})
	for _, h := range s.hosts {
		assert.Assert(t, h.f.KeysFresh(h.clock(s.now)), h.name)
	}
}

func holderOf(s *sim, role string) *simHost {
	for _, h := range s.hosts {
		if valid(s, h)[role] {
			return h
		}
	}
	return nil
}

func fresh(s *sim, h *simHost) bool { return h.f.KeysFresh(h.clock(s.now)) }

// A host that can send but not receive must lose its roles without a moment of
// two holders, although its renewals reach the store.
func TestAsymmetricPartition(t *testing.T) {
	s := ready(t, 2, 3, 9, guards{})
	h := holderOf(s, ServerRole("db004"))
	for _, p := range s.hosts {
		s.cut[[2]string{p.name, h.name}] = true
	}
	s.cut[[2]string{"store", h.name}] = true
	s.advance(20 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assert.Equal(t, len(valid(s, h)), 0)
	assert.Assert(t, !fresh(s, h))
	s.cut = map[[2]string]bool{}
	s.advance(20 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assertServed(t, s)
}

// A holder that is paused past its lease must not act on it when it resumes.
func TestPausedHolder(t *testing.T) {
	s := ready(t, 3, 3, 9, guards{})
	role := RateRole("z1", 0)
	h := holderOf(s, role)
	s.pause(h)
	s.advance(6 * time.Second)
	other := holderOf(s, role)
	assert.Assert(t, other != nil && other != h)
	assert.Equal(t, other.zone, "z1")
	s.resume(h)
	s.advance(10 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assertServed(t, s)
}

// Hosts that restart together after an outage must get their leases, roles and
// configuration back within seconds and without a burst of requests.
func TestAllRestartAfterOutage(t *testing.T) {
	s := ready(t, 4, 3, 9, guards{})
	s.storeDown = true
	s.advance(30 * time.Second)
	for _, h := range s.hosts {
		s.kill(h)
		s.boot(h)
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
	assertServed(t, s)
	// 7 duties of 9 hosts with one request in flight each.
	assert.Assert(t, peak <= 63, "%d requests within 100 ms", peak)
}

// In a store outage in which all hosts hear each other, keys stay valid, and
// homes and minters continue.
func TestStoreDownKeysStayFresh(t *testing.T) {
	s := ready(t, 5, 3, 9, guards{})
	held := map[*simHost]int{}
	for _, h := range s.hosts {
		held[h] = len(h.f.Held(h.clock(s.now)))
	}
	s.storeDown = true
	for range 600 {
		s.advance(100 * time.Millisecond)
		for _, h := range s.hosts {
			now := h.clock(s.now)
			assert.Assert(t, fresh(s, h), "%v: %s", s.now, h.name)
			for _, r := range h.f.Held(now) {
				assert.Assert(t, r.Live || r.Name[:4] != "rate" || h.f.MayMint(now, r.Name), "%v: %s %s", s.now, h.name, r.Name)
			}
		}
	}
	for _, h := range s.hosts {
		assert.Equal(t, len(h.f.Held(h.clock(s.now))), held[h])
	}
	s.storeDown = false
	s.advance(10 * time.Second)
	assert.Equal(t, s.oracle.fault, "")
	assertServed(t, s)
}

// A zone that is cut off from the store and the other zones stops keyed traffic
// within key_grace, keeps minting for public routes, and follows a withdrawal
// once the partition ends.
func TestCutOffZone(t *testing.T) {
	s := ready(t, 6, 3, 9, guards{})
	s.cutZone("z1", true)
	s.publish(s.hosts[0], 2, 1, s.document("v2")) // h000 is in z0
	s.advance(5*time.Second + propagation)
	for _, h := range s.hosts {
		assert.Equal(t, fresh(s, h), h.zone != "z1", h.name)
		if h.zone == "z1" {
			assert.Equal(t, h.f.version(), config.Version(1))
		}
	}
	s.advance(20 * time.Second)
	for shard := range RateShards {
		h := holderOf(s, RateRole("z1", shard))
		assert.Assert(t, h != nil && h.zone == "z1", "shard %d", shard)
	}
	s.cutZone("z1", false)
	s.advance(10 * time.Second)
	for _, h := range s.hosts {
		assert.Equal(t, h.f.version(), config.Version(2))
		assert.Assert(t, fresh(s, h))
	}
	assert.Equal(t, s.oracle.fault, "")
	assertServed(t, s)
}

// The roles of a zone that is out move to other zones and come back afterwards.
func TestZoneOut(t *testing.T) {
	s := ready(t, 7, 4, 8, guards{})
	s.publish(s.hosts[0], 2, 1, s.document("v2", "z1"))
	s.advance(3 * time.Second)
	for _, h := range s.hosts {
		if h.zone == "z1" {
			assert.Equal(t, len(valid(s, h)), 0)
		}
	}
	assertServed(t, s)
	s.publish(s.hosts[0], 3, 2, s.document("v3"))
	s.advance(60 * time.Second)
	assert.Assert(t, holderOf(s, RateRole("z1", 0)).zone == "z1")
	assert.Assert(t, holderOf(s, ServerRole("db001")).zone == "z1")
	assert.Equal(t, s.oracle.fault, "")
	assertServed(t, s)
}

// A planned stop hands every role over while the lease is live, so that no role
// has to wait for it to lapse.
func TestLeave(t *testing.T) {
	s := ready(t, 8, 3, 9, guards{})
	h := s.hosts[4]
	s.input(h, Leave{})
	s.advance(time.Second)
	assert.Equal(t, len(h.f.Held(h.clock(s.now))), 0)
	assertServed(t, s)
	s.input(h, GiveUpLease{})
	s.advance(time.Second)
	for _, p := range s.hosts {
		if p != h {
			assert.Assert(t, p.f.Lapsed(p.clock(s.now), h.name, h.f.Self().Incarnation))
		}
	}
	s.kill(h)
	s.storeDown = true // a host that said goodbye does not hold keys up
	s.advance(15 * time.Second)
	for _, p := range s.hosts {
		assert.Assert(t, p == h || fresh(s, p), p.name)
	}
	assert.Equal(t, s.oracle.fault, "")
}

// A zone without a live host hands its backend servers to other zones once the
// leases have lapsed, and its host takes them back.
func TestFallbackToOtherZone(t *testing.T) {
	s := ready(t, 9, 3, 6, guards{})
	for _, h := range s.hosts {
		if h.zone == "z2" {
			s.kill(h)
		}
	}
	s.advance(8 * time.Second)
	h := holderOf(s, ServerRole("db002"))
	assert.Assert(t, h != nil && h.zone != "z2")
	for _, h := range s.hosts {
		if h.zone == "z2" {
			s.boot(h)
		}
	}
	s.advance(30 * time.Second)
	assert.Equal(t, holderOf(s, ServerRole("db002")).zone, "z2")
	assert.Equal(t, s.oracle.fault, "")
	assertServed(t, s)
}
