package ownership

import (
	"slices"
	"strings"
	"time"
)

// RecordHeartbeats records heartbeats received from other hosts.
func (m *Machine) RecordHeartbeats(now time.Duration, heartbeats []Heartbeat) {
	for _, b := range heartbeats {
		if b.Host == m.self.Name {
			continue
		}
		previous, ok := m.heartbeats[b.Host]
		if ok && previous.Incarnation == b.Incarnation && b.Counter <= previous.Counter {
			continue
		}
		if ok && previous.Incarnation != b.Incarnation && !m.supersedes(b, previous.Heartbeat) {
			continue
		}
		m.heartbeats[b.Host] = &receivedHeartbeat{Heartbeat: b, receivedAt: now}
		if now-m.lastHeartbeatAt > m.suspectTimeout() {
			// The state of the other hosts is as old as the gap without
			// heartbeats was long.
			m.contactSince = now
		}
		m.lastHeartbeatAt = now
	}
}

// supersedes reports whether a heartbeat of a different incarnation replaces
// the last one of the same host. It does unless the row of the host contains the
// incarnation of the last one.
func (m *Machine) supersedes(received, previous Heartbeat) bool {
	r, ok := m.hosts[received.Host]
	return !ok || r.Incarnation == received.Incarnation || r.Incarnation != previous.Incarnation
}

// Heartbeats returns the newest heartbeats of all hosts, this one included, for
// the next gossip exchange.
func (m *Machine) Heartbeats(now time.Duration) []Heartbeat {
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
	out := []Heartbeat{own}
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
	b, ok := m.heartbeats[h.Name]
	return ok && b.Incarnation == h.Incarnation && now-b.receivedAt < m.suspectTimeout()
}

// Live returns the hosts that are alive and not leaving, sorted by name.
func (m *Machine) Live(now time.Duration) []Host {
	var out []Host
	for _, r := range m.hosts {
		if m.isAlive(now, r.Host) && !m.isLeaving(r.Host) {
			out = append(out, r.Host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (m *Machine) isLeaving(h Host) bool {
	if h.Name == m.self.Name {
		return m.leaving
	}
	b, ok := m.heartbeats[h.Name]
	return ok && b.Incarnation == h.Incarnation && b.Leaving
}

// Alive reports whether the named host is registered and has sent a recent
// heartbeat.
func (m *Machine) Alive(now time.Duration, name string) bool {
	r, ok := m.hosts[name]
	return ok && m.isAlive(now, r.Host)
}

// Others returns all other registered hosts, sorted by name.
func (m *Machine) Others() []Host {
	var out []Host
	for _, r := range m.hosts {
		if r.Name != m.self.Name {
			out = append(out, r.Host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out
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
