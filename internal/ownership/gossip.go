package ownership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LargeFleetHosts is the number of other hosts from which on heartbeats and rows go
	// through relays. Every host of a smaller fleet follows the store itself.
	LargeFleetHosts = 32
	// relaysPerZone is the number of relays of a zone. One of them may be lost.
	relaysPerZone = 2
	// neighborsPerHost is the number of hosts of its zone with which a host exchanges
	// heartbeats besides the relays, and remoteNeighbors that of hosts in other zones.
	// Fixed sets bound the number of connections.
	neighborsPerHost = 4
	remoteNeighbors  = 2
	// neighborRounds and remoteRounds are the numbers of rounds from one exchange with a
	// neighbor to the next, and with a neighbor in another zone. The latter are for zones
	// without relays: bytes between zones are expensive.
	neighborRounds = 2
	remoteRounds   = 4
	// remoteRelayExchanges is the number of exchanges of a relay with relays of other
	// zones in a round.
	remoteRelayExchanges = 2
	// unresponsivePause is how long a host gets no heartbeat after it has not answered
	// one, unless there is no other choice.
	unresponsivePause = time.Second
	// relayTimeout is the age of the last completed exchange with a relay from which on a
	// host follows the store itself.
	relayTimeout = 1200 * time.Millisecond
)

// PackedHeartbeats holds the heartbeats of registered hosts that neither leave nor have
// released roles. Beat i is of the host and incarnation that IDs[i] identifies.
// Counters[i] is twice its counter, plus 1 if the host is fresh.
type PackedHeartbeats struct{ IDs, Counters []uint64 }

// beatID identifies a host and its incarnation in PackedHeartbeats.
func beatID(host string, incarnation uint64) uint64 {
	return xxhash.Sum64String(host + "\x00" + strconv.FormatUint(incarnation, 36))
}

// isPackable reports whether PackedHeartbeats can represent the heartbeat.
func (b *Heartbeat) isPackable() bool { return !b.Leaving && len(b.Released) == 0 }

// PackHeartbeats returns the heartbeats to send to another host of a large fleet: a new
// one of this host, followed by those that cannot be packed, and the packed ones.
// Heartbeats so old that their hosts are suspected are left out.
func (m *Machine) PackHeartbeats(now time.Duration) (explicit []Heartbeat, packed PackedHeartbeats) {
	explicit = []Heartbeat{m.OwnHeartbeat(now)}
	packed.IDs = make([]uint64, 0, len(m.hosts))
	packed.Counters = make([]uint64, 0, len(m.hosts))
	registered := 0
	for _, r := range m.hosts {
		b := r.heartbeat
		if b == nil {
			continue
		}
		registered++
		switch {
		case now-b.receivedAt >= m.suspectTimeout():
		case r.Incarnation != b.Incarnation || !b.isPackable():
			explicit = append(explicit, b.Heartbeat)
		default:
			counter := b.Counter << 1
			if b.Fresh {
				counter |= 1
			}
			packed.IDs = append(packed.IDs, r.beatID)
			packed.Counters = append(packed.Counters, counter)
		}
	}
	if registered < len(m.heartbeats) {
		explicit = append(explicit, m.unregisteredHeartbeats(now)...)
	}
	return explicit, packed
}

// unregisteredHeartbeats returns the recent heartbeats of hosts whose rows this host has
// not read yet.
func (m *Machine) unregisteredHeartbeats(now time.Duration) []Heartbeat {
	var out []Heartbeat
	for name, b := range m.heartbeats {
		if _, ok := m.hosts[name]; !ok && now-b.receivedAt < m.suspectTimeout() {
			out = append(out, b.Heartbeat)
		}
	}
	return out
}

// RecordPackedHeartbeats records packed heartbeats received from another host. It
// ignores those of hosts that are not registered here.
func (m *Machine) RecordPackedHeartbeats(now time.Duration, p PackedHeartbeats) {
	if m.hostsByBeatID == nil {
		m.hostsByBeatID = make(map[uint64]*hostRow, len(m.hosts))
		for _, r := range m.hosts {
			m.hostsByBeatID[r.beatID] = r
		}
	}
	for i := range min(len(p.IDs), len(p.Counters)) {
		r, ok := m.hostsByBeatID[p.IDs[i]]
		if !ok {
			continue
		}
		counter := p.Counters[i] >> 1
		if previous := r.heartbeat; previous != nil && previous.Incarnation == r.Incarnation && counter <= previous.Counter {
			continue
		}
		m.recordHeartbeat(now, Heartbeat{Host: r.Name, Incarnation: r.Incarnation, Counter: counter, Fresh: p.Counters[i]&1 == 1})
	}
}

// IsLargeFleet reports whether heartbeats and rows go through relays.
func (m *Machine) IsLargeFleet() bool { return len(m.hosts) > LargeFleetHosts }

// relays returns the relays of a zone, the preferred one first: the live hosts with the
// largest capacity, and those that have just registered.
func (m *Machine) relays(now time.Duration, zone string) []Host {
	var out []Host
	for _, r := range m.ranking(relayRole+zone, zone) {
		if m.canHoldRolesSoon(now, r) {
			out = append(out, r.Host)
		}
	}
	slices.SortStableFunc(out, func(a, b Host) int { return cmp.Compare(b.Capacity, a.Capacity) })
	return out[:min(len(out), relaysPerZone)]
}

// relayRole precedes a zone in the name under which its hosts are ranked as relays.
const relayRole = "relay/"

// IsRelay reports whether this host is a relay of its zone.
func (m *Machine) IsRelay(now time.Duration) bool {
	return slices.Contains(m.relays(now, m.self.Zone), m.self)
}

// RecordUnresponsive records that a host has not answered a heartbeat.
func (m *Machine) RecordUnresponsive(now time.Duration, host string) {
	if r, ok := m.hosts[host]; ok {
		m.unresponsiveUntil[host] = now + unresponsivePause
		m.recordProbe(now, r.Host, false)
	}
}

// RecordAnswer records that a host has answered a heartbeat.
func (m *Machine) RecordAnswer(now time.Duration, host string) {
	delete(m.unresponsiveUntil, host)
	if r, ok := m.hosts[host]; ok {
		m.recordProbe(now, r.Host, true)
	}
}

// responsive returns the hosts that have not just failed to answer, or all of them if
// all have.
func (m *Machine) responsive(now time.Duration, hosts []Host) []Host {
	var out []Host
	for _, h := range hosts {
		if now >= m.unresponsiveUntil[h.Name] {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		return hosts
	}
	return out
}

// ExchangeTargets returns the hosts with which this host of a large fleet exchanges
// heartbeats and rows in the next round. Hosts exchange them with the relays of their
// zone by turns, relays with each other. Fixed neighbors take the place of relays that
// are lost.
func (m *Machine) ExchangeTargets(now time.Duration, rng *rand.Rand) []Host {
	m.exchangeRound++
	round := m.exchangeRound
	var out []Host
	add := func(candidates []Host, i int) {
		candidates = m.responsive(now, candidates)
		if len(candidates) == 0 {
			return
		}
		if h := candidates[i%len(candidates)]; h.Name != m.self.Name && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	own := m.relays(now, m.self.Zone)
	isRelay := slices.Contains(own, m.self)
	if isRelay {
		zones := m.otherZones()
		for i := range min(remoteRelayExchanges, len(zones)) {
			zone := zones[(round*remoteRelayExchanges+i)%len(zones)]
			add(m.relays(now, zone), rng.IntN(relaysPerZone))
		}
		own = slices.DeleteFunc(own, func(h Host) bool { return h.Name == m.self.Name })
	}
	if !isRelay || round%neighborRounds == 0 {
		add(own, round)
	}
	if round%neighborRounds == 0 {
		add(m.neighbors(m.self.Zone, neighborsPerHost), rng.IntN(neighborsPerHost))
	}
	relaysLost := now-max(m.lastRelayExchangeAt, m.rowsLoadedAt) >= relayTimeout/2
	if zones := m.otherZones(); relaysLost && round%remoteRounds == 0 && len(zones) > 0 {
		add(m.neighbors(zones[rng.IntN(len(zones))], remoteNeighbors), rng.IntN(remoteNeighbors))
	}
	return out
}

// neighbors returns the first n hosts of a zone in an order of this host's own.
func (m *Machine) neighbors(zone string, n int) []Host {
	var out []Host
	for _, r := range m.ranking("neighbor/"+m.self.Name, zone) {
		if r.Name != m.self.Name && len(out) < n {
			out = append(out, r.Host)
		}
	}
	return out
}

// otherZones returns the zones of the other hosts, without this host's, sorted.
func (m *Machine) otherZones() []string {
	seen := map[string]bool{m.self.Zone: true}
	var out []string
	for _, h := range m.Others() {
		if !seen[h.Zone] {
			seen[h.Zone] = true
			out = append(out, h.Zone)
		}
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

// RecordExchange records that an exchange of heartbeats and rows with another host was
// completed.
func (m *Machine) RecordExchange(now time.Duration, host string) {
	r, ok := m.hosts[host]
	if ok && slices.ContainsFunc(m.relays(now, r.Zone), func(h Host) bool { return h.Name == host }) {
		m.lastRelayExchangeAt = now
	}
}

// FollowsStore reports whether this host follows the store itself instead of getting
// the rows from relays.
func (m *Machine) FollowsStore(now time.Duration) bool {
	return !m.IsLargeFleet() || m.IsRelay(now) || now-max(m.lastRelayExchangeAt, m.rowsLoadedAt) >= relayTimeout
}
