package ownership

import (
	"slices"
	"strings"
	"time"
)

// Beats takes signs of life in.
func (m *Machine) Beats(now time.Duration, beats []Beat) {
	for _, b := range beats {
		if b.Host == m.self.Name {
			continue
		}
		old, ok := m.beats[b.Host]
		if ok && old.Incarnation == b.Incarnation && b.Counter <= old.Counter {
			continue
		}
		if ok && old.Incarnation != b.Incarnation && !m.newer(b, old.Beat) {
			continue
		}
		m.beats[b.Host] = &signOfLife{Beat: b, at: now}
		if now-m.lastHeard > m.suspectAfter() {
			// What was known of the others is as old as the pause was long.
			m.resumed = now
		}
		m.lastHeard = now
	}
}

// newer reports whether a beat of another incarnation replaces the known one.
func (m *Machine) newer(b, old Beat) bool {
	r, ok := m.hosts[b.Host]
	return !ok || r.Incarnation == b.Incarnation || r.Incarnation != old.Incarnation
}

// Statements returns the signs of life to pass on, the own one included.
func (m *Machine) Statements(now time.Duration) []Beat {
	m.counter++
	own := Beat{
		Host: m.self.Name, Incarnation: m.self.Incarnation, Counter: m.counter, Leaving: m.leaving,
		Fresh: m.known && now-m.confirmed < freshFor,
	}
	for name, r := range m.roles {
		if m.own(r) && m.released[name] >= r.Epoch {
			if own.Released == nil {
				own.Released = map[string]uint64{}
			}
			own.Released[name] = r.Epoch
		}
	}
	out := []Beat{own}
	for _, b := range m.beats {
		out = append(out, b.Beat)
	}
	return out
}

func (m *Machine) suspectAfter() time.Duration {
	if len(m.hosts) <= smallFleet {
		return suspectSmall
	}
	return suspectLarge
}

// alive reports whether the process of a host row shows signs of life.
func (m *Machine) alive(now time.Duration, h Host) bool {
	if h.Name == m.self.Name {
		return h.Incarnation == m.self.Incarnation
	}
	b, ok := m.beats[h.Name]
	return ok && b.Incarnation == h.Incarnation && now-b.at < m.suspectAfter()
}

// Live returns the hosts that are alive and not leaving, by name.
func (m *Machine) Live(now time.Duration) []Host {
	var out []Host
	for _, r := range m.hosts {
		if m.alive(now, r.Host) && !m.isLeaving(r.Host) {
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
	b, ok := m.beats[h.Name]
	return ok && b.Incarnation == h.Incarnation && b.Leaving
}

// Alive reports whether the named host shows signs of life.
func (m *Machine) Alive(now time.Duration, name string) bool {
	r, ok := m.hosts[name]
	return ok && m.alive(now, r.Host)
}

// Others returns all other hosts that have a row.
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

// releasing reports whether a host has lost the store and gives its roles up.
func (m *Machine) releasing(now time.Duration, h Host) bool {
	if h.Name == m.self.Name {
		return now-m.confirmed >= releaseAfter
	}
	b, ok := m.beats[h.Name]
	return ok && len(b.Released) > 0
}

// othersFresh reports whether another host is in touch with the store.
func (m *Machine) othersFresh(now time.Duration) bool {
	for _, b := range m.beats {
		if b.Fresh && now-b.at < m.suspectAfter()/2 {
			return true
		}
	}
	return false
}

// hasReleased reports whether the holder says that it has stopped using the role.
func (m *Machine) hasReleased(h Host, r *roleRow) bool {
	b, ok := m.beats[h.Name]
	return ok && b.Incarnation == h.Incarnation && b.Released[r.name] == r.Epoch && r.Epoch > 0
}

// hearsEnough guards against a host that is cut off from the others but not from
// the store and would take everything over.
func (m *Machine) hearsEnough(now time.Duration) bool {
	heard, counted := 0, 0
	for _, r := range m.hosts {
		if m.alive(now, r.Host) {
			heard++
			counted++
			continue
		}
		silentSince := m.resumed
		if b, ok := m.beats[r.Name]; ok {
			silentSince = max(b.at, m.resumed)
		}
		if now-silentSince < countedFor {
			counted++
		}
	}
	return heard*heardShare > counted
}
