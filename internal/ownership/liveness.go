package ownership

import (
	"slices"
	"strings"
	"time"
)

// RecordHeartbeats records heartbeats received from other hosts.
func (m *Machine) RecordHeartbeats(now time.Duration, heartbeats []Heartbeat) {
	for _, b := range heartbeats {
		m.recordHeartbeat(now, b)
	}
}

func (m *Machine) recordHeartbeat(now time.Duration, b Heartbeat) {
	if b.Host == m.self.Name {
		return
	}
	previous, ok := m.heartbeats[b.Host]
	if ok && previous.Incarnation == b.Incarnation && b.Counter <= previous.Counter {
		return
	}
	if ok && previous.Incarnation != b.Incarnation && !m.supersedes(b, previous.Heartbeat) {
		return
	}
	received := &receivedHeartbeat{Heartbeat: b, receivedAt: now}
	m.heartbeats[b.Host] = received
	if r, ok := m.hosts[b.Host]; ok {
		r.heartbeat = received
		m.zoneWatch.recordHeard(now, r.Zone)
	}
	if now-m.lastHeartbeatAt > m.suspectTimeout() {
		// The state of the other hosts is as old as the gap without
		// heartbeats was long.
		m.contactSince = now
	}
	m.lastHeartbeatAt = now
}

// supersedes reports whether a heartbeat of a different incarnation replaces
// the last one of the same host. It does unless the row of the host contains the
// incarnation of the last one.
func (m *Machine) supersedes(received, previous Heartbeat) bool {
	r, ok := m.hosts[received.Host]
	return !ok || r.Incarnation == received.Incarnation || r.Incarnation != previous.Incarnation
}

// OwnHeartbeat returns a new heartbeat of this host.
func (m *Machine) OwnHeartbeat(now time.Duration) Heartbeat {
	m.heartbeatCounter++
	own := Heartbeat{
		Host: m.self.Name, Incarnation: m.self.Incarnation, Counter: m.heartbeatCounter, Leaving: m.leaving,
		Fresh: m.rowsLoaded && now-m.confirmedAt < maxFreshAge,
	}
	for name, r := range m.roles {
		if m.namesSelf(r) && m.releasedEpochs[name] >= r.Epoch {
			if own.Released == nil {
				own.Released = map[string]uint64{}
			}
			own.Released[name] = r.Epoch
		}
	}
	return own
}

// Heartbeats returns the newest heartbeats of all hosts, this one included, for
// the next gossip exchange. Its own comes first.
func (m *Machine) Heartbeats(now time.Duration) []Heartbeat {
	out := []Heartbeat{m.OwnHeartbeat(now)}
	for _, b := range m.heartbeats {
		out = append(out, b.Heartbeat)
	}
	return out
}

// suspectTimeout returns the time without a new heartbeat after which a host is
// suspected to be down.
func (m *Machine) suspectTimeout() time.Duration {
	if len(m.hosts) <= smallFleetHosts {
		return suspectTimeoutSmall
	}
	return suspectTimeoutLarge
}

// isAlive reports whether the process in the host row is this process or has
// sent a recent heartbeat.
func (m *Machine) isAlive(now time.Duration, h Host) bool {
	if h.Name == m.self.Name {
		return h.Incarnation == m.self.Incarnation
	}
	if m.zoneWatch.isLost(h.Zone) {
		return false
	}
	b, ok := m.heartbeats[h.Name]
	return ok && b.Incarnation == h.Incarnation && now-b.receivedAt < m.suspectTimeout()
}

func (m *Machine) isLeaving(h Host) bool {
	if h.Name == m.self.Name {
		return m.leaving
	}
	b, ok := m.heartbeats[h.Name]
	return ok && b.Incarnation == h.Incarnation && b.Leaving
}

// Alive reports whether the named host is registered and has sent a recent
// heartbeat, or has just registered.
func (m *Machine) Alive(now time.Duration, name string) bool {
	r, ok := m.hosts[name]
	return ok && (m.isAlive(now, r.Host) || m.isJustRegistered(now, r))
}

// Others returns all other registered hosts, sorted by name. The caller must not
// change the result.
func (m *Machine) Others() []Host {
	if m.others == nil {
		for _, r := range m.hosts {
			if r.Name != m.self.Name {
				m.others = append(m.others, r.Host)
			}
		}
		slices.SortFunc(m.others, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	}
	return m.others
}

// isReleasing reports whether a host has lost the store for so long that it
// releases its roles, or states in its last heartbeat that it has released some.
func (m *Machine) isReleasing(now time.Duration, h Host) bool {
	if h.Name == m.self.Name {
		return now-m.confirmedAt >= releaseAge
	}
	b, ok := m.heartbeats[h.Name]
	return ok && len(b.Released) > 0
}

// anotherHostFresh reports whether another host is connected to the store
// according to a recent heartbeat.
func (m *Machine) anotherHostFresh(now time.Duration) bool {
	for _, b := range m.heartbeats {
		if b.Fresh && now-b.receivedAt < m.suspectTimeout()/2 {
			return true
		}
	}
	return false
}

// hasReleased reports whether the latest heartbeat of the holder states that it
// has stopped using the role.
func (m *Machine) hasReleased(h Host, r *roleRow) bool {
	b, ok := m.heartbeats[h.Name]
	return ok && b.Incarnation == h.Incarnation && b.Released[r.name] == r.Epoch && r.Epoch > 0
}

// reachesQuorum reports whether this host has recent heartbeats of enough hosts
// to take over roles. It prevents a host that is partitioned from the other
// hosts, but not from the store, from taking over all roles.
func (m *Machine) reachesQuorum(now time.Duration) bool {
	reachable, counted := 0, 0
	for _, r := range m.hosts {
		if m.isAlive(now, r.Host) {
			reachable++
			counted++
			continue
		}
		silentSince := m.contactSince
		if b, ok := m.heartbeats[r.Name]; ok {
			silentSince = max(b.receivedAt, m.contactSince)
		}
		if now-silentSince < quorumSilenceLimit {
			counted++
		}
	}
	return reachable*quorumDivisor > counted
}
