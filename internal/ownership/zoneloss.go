package ownership

import (
	"math/rand/v2"
	"time"
)

const (
	// zoneSilence is the time without a new heartbeat of any host of an availability zone
	// before the zone counts as lost. The last heartbeats of a large fleet still spread for
	// about that time.
	zoneSilence = 400 * time.Millisecond
	// zoneProbeSilence is the age of the newest heartbeat of a zone from which on one of its
	// hosts is probed in each round, and zoneProbes of them once one has not answered.
	zoneProbeSilence = 500 * time.Millisecond
	// zoneProbePeriod is the shortest time between the first unanswered probe of a zone and
	// the decision that it is lost. A host answers within 250 ms, or its machine is slow.
	zoneProbePeriod = 500 * time.Millisecond
	// zoneProbes is the number of hosts of a zone that have to leave a probe unanswered, or
	// all of its hosts if it has fewer, but at least minZoneHosts. More than two machines
	// are seldom frozen or slow at the same time.
	zoneProbes   = 3
	minZoneHosts = 2
	// lostZoneProbePeriod is the time between probes of a zone that counts as lost.
	lostZoneProbePeriod = 900 * time.Millisecond
)

// zoneContact is what this host knows of its contact with one other availability zone.
type zoneContact struct {
	// unanswered holds the hosts of the zone that have left a heartbeat of this host
	// unanswered since any host of the zone last answered one.
	unanswered        map[string]bool
	firstUnansweredAt time.Duration
	answeredAt        time.Duration
	probedAt          time.Duration
	// heardAt is when a new heartbeat of a host of the zone last arrived.
	heardAt time.Duration
	lost    bool
}

// zoneWatch detects that all hosts of another availability zone have become unreachable at
// once, sooner than each of them would be suspected. One host's silence is weak evidence,
// as it may be slow or frozen. That several hosts of one zone do not answer, while hosts of
// the other zones do, is strong.
type zoneWatch struct {
	zones map[string]*zoneContact
	// updatedAt is when UpdateLostZones was last called.
	updatedAt time.Duration
}

// EnableFastRecovery makes the Machine suspect the hosts of a lost zone together, and count
// hosts as alive that have just registered.
func (m *Machine) EnableFastRecovery() { m.zoneWatch = &zoneWatch{zones: map[string]*zoneContact{}} }

func (w *zoneWatch) contact(zone string) *zoneContact {
	c, ok := w.zones[zone]
	if !ok {
		c = &zoneContact{unanswered: map[string]bool{}}
		w.zones[zone] = c
	}
	return c
}

// recordHeard records that a new heartbeat of a host of the zone has arrived.
func (w *zoneWatch) recordHeard(now time.Duration, zone string) {
	if w == nil {
		return
	}
	c := w.contact(zone)
	c.heardAt, c.lost = now, false
}

// recordProbe records whether a host has answered a heartbeat of this host.
func (m *Machine) recordProbe(now time.Duration, h Host, answered bool) {
	w := m.zoneWatch
	if w == nil {
		return
	}
	c := w.contact(h.Zone)
	if answered {
		if len(c.unanswered) >= min(zoneProbes, m.otherHostsIn(h.Zone)) {
			w.forgetUnanswered() // this host may have been cut off itself
		}
		clear(c.unanswered)
		c.answeredAt, c.lost = now, false
		return
	}
	if len(c.unanswered) == 0 {
		c.firstUnansweredAt = now
	}
	c.unanswered[h.Name] = true
}

// forgetUnanswered makes all zones prove anew that they do not answer.
func (w *zoneWatch) forgetUnanswered() {
	for _, c := range w.zones {
		clear(c.unanswered)
	}
}

// isLost reports whether the zone counts as lost.
func (w *zoneWatch) isLost(zone string) bool {
	if w == nil {
		return false
	}
	c, ok := w.zones[zone]
	return ok && c.lost
}

// UpdateLostZones decides which zones are lost and returns those that have become so.
func (m *Machine) UpdateLostZones(now time.Duration) (lost []string) {
	if m.zoneWatch == nil {
		return nil
	}
	if now-m.zoneWatch.updatedAt >= zoneSilence {
		m.zoneWatch.forgetUnanswered() // this host was frozen: it received nothing either
	}
	m.zoneWatch.updatedAt = now
	zones := m.otherZones()
	for _, zone := range zones {
		if c := m.zoneWatch.contact(zone); !c.lost && m.isZoneLost(now, zone, zones) {
			c.lost = true
			lost = append(lost, zone)
		}
	}
	return lost
}

// isZoneLost reports whether enough hosts of the zone have left probes unanswered while
// every other zone has answered one.
func (m *Machine) isZoneLost(now time.Duration, zone string, zones []string) bool {
	c := m.zoneWatch.contact(zone)
	hosts := m.otherHostsIn(zone)
	if hosts < minZoneHosts || len(c.unanswered) < min(zoneProbes, hosts) ||
		now-c.firstUnansweredAt < zoneProbePeriod || now-c.heardAt < zoneSilence {
		return false
	}
	return m.confirmedBy(c.firstUnansweredAt, zone, zones)
}

// otherHostsIn returns the number of other hosts of the zone.
func (m *Machine) otherHostsIn(zone string) int {
	hosts := 0
	for _, h := range m.Others() {
		if h.Zone == zone {
			hosts++
		}
	}
	return hosts
}

// confirmedBy reports whether every other zone than the given one has answered this host
// since the time, so that it is not this host that is cut off or slow. In a fleet of two
// zones the other hosts of its own zone have to.
func (m *Machine) confirmedBy(since time.Duration, zone string, zones []string) bool {
	if len(zones) == 1 {
		return m.zoneWatch.contact(m.self.Zone).answeredAt >= since
	}
	for _, z := range zones {
		if z != zone && m.zoneWatch.contact(z).answeredAt < since {
			return false
		}
	}
	return true
}

// ZoneProbes returns the hosts to which this host sends heartbeats in this round in order
// to find out whether a zone is lost: hosts of a zone that has fallen silent, and one of
// every other zone.
func (m *Machine) ZoneProbes(now time.Duration, rng *rand.Rand) []Host {
	if m.zoneWatch == nil {
		return nil
	}
	var out []Host
	zones := m.otherZones()
	for _, zone := range zones {
		c := m.zoneWatch.contact(zone)
		switch {
		case c.lost && now-c.probedAt < lostZoneProbePeriod:
			continue
		case c.lost:
			out = append(out, m.sampleZone(zone, 1, rng, nil)...)
		case len(c.unanswered) > 0 && now-c.firstUnansweredAt < suspectTimeoutLarge:
			out = append(out, m.sampleZone(zone, zoneProbes, rng, c.unanswered)...)
		case now-c.heardAt >= zoneProbeSilence && now-m.startedAt >= suspectTimeoutLarge:
			out = append(out, m.sampleZone(zone, 1, rng, c.unanswered)...)
		default:
			continue
		}
		c.probedAt = now
	}
	if len(out) == 0 {
		return nil
	}
	probed := map[string]bool{}
	for _, h := range out {
		probed[h.Zone] = true
	}
	for _, zone := range append(zones, m.self.Zone) {
		if !probed[zone] {
			out = append(out, m.sampleZone(zone, 1, rng, nil)...)
		}
	}
	return out
}

// sampleZone returns up to n other hosts of a zone in random order, those that are not in
// last first.
func (m *Machine) sampleZone(zone string, n int, rng *rand.Rand, last map[string]bool) []Host {
	var first, rest []Host
	others := m.Others()
	for _, i := range rng.Perm(len(others)) {
		switch h := others[i]; {
		case h.Zone != zone:
		case last[h.Name]:
			rest = append(rest, h)
		default:
			first = append(first, h)
		}
	}
	all := append(first, rest...)
	return all[:min(n, len(all))]
}

// ZoneProbes returns the hosts to probe in this round, see Machine.ZoneProbes.
func (s *Shell) ZoneProbes(rng *rand.Rand) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.ZoneProbes(s.opt.Clock(), rng)
}

// updateLostZones logs and counts the zones that have become lost. The caller holds s.mu.
func (s *Shell) updateLostZones(now time.Duration) {
	for _, zone := range s.machine.UpdateLostZones(now) {
		c := s.machine.zoneWatch.contact(zone)
		s.opt.Counters.Add("zones_lost", 1)
		s.opt.Log.Warn().Str("zone", zone).Int("unanswered", len(c.unanswered)).Dur("first_unanswered_ago", now-c.firstUnansweredAt).
			Dur("heard_ago", now-c.heardAt).Msg("availability zone lost")
	}
}
