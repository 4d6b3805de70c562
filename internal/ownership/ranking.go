package ownership

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rankingKey identifies the ranking of the hosts of one zone, or of all hosts if zone
// is empty, for a role.
type rankingKey struct{ role, zone string }

// ranking returns the registered hosts of a zone, or of all zones if zone is empty,
// best first for the role. Liveness is not taken into account, so that a ranking
// changes only with the registered hosts.
func (m *Machine) ranking(role, zone string) []*hostRow {
	key := rankingKey{role, zone}
	if r, ok := m.rankings[key]; ok {
		return r
	}
	type rankedHost struct {
		row      *hostRow
		distance float64
	}
	var ranked []rankedHost
	for _, r := range m.hosts {
		if zone == "" || r.Zone == zone {
			ranked = append(ranked, rankedHost{r, rendezvousDistance(role, r.Name, m.weight(role, r.Host))})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), strings.Compare(a.row.Name, b.row.Name))
	})
	out := make([]*hostRow, len(ranked))
	for i, r := range ranked {
		out[i] = r.row
	}
	if m.rankings == nil {
		m.rankings = map[rankingKey][]*hostRow{}
	}
	m.rankings[key] = out
	return out
}

// hostsChanged resets what is computed from the registered hosts.
func (m *Machine) hostsChanged() {
	m.others, m.rankings, m.hostsByBeatID = nil, nil, nil
}

// canHoldRoles reports whether a host is alive and not leaving.
func (m *Machine) canHoldRoles(now time.Duration, h Host) bool {
	return m.isAlive(now, h) && !m.isLeaving(h)
}

// firstHome returns the host that ranks first for a role that needs no lease. Hosts that
// have just registered count.
func (m *Machine) firstHome(now time.Duration, role, zone string) (Host, bool) {
	first := m.firstSuitable(now, role, zone, 1, func(r *hostRow) bool {
		return m.canHoldRoles(now, r.Host) || m.isJustRegistered(now, r)
	})
	if len(first) == 0 {
		return Host{}, false
	}
	return first[0], true
}

// Rank returns the hosts that can hold the role, best first. These are the live
// hosts of the zone that are not releasing their roles, or all live hosts if
// the zone has none.
func (m *Machine) Rank(now time.Duration, role, zone string) []Host {
	return m.firstRanked(now, role, zone, math.MaxInt)
}

// firstRanked returns the first n hosts of Rank.
func (m *Machine) firstRanked(now time.Duration, role, zone string, n int) []Host {
	return m.firstSuitable(now, role, zone, n, func(r *hostRow) bool { return m.canHoldRoles(now, r.Host) })
}

// firstSuitable is firstRanked with another condition than canHoldRoles.
func (m *Machine) firstSuitable(now time.Duration, role, zone string, n int, canHold func(*hostRow) bool) []Host {
	if zone != "" {
		local := firstHosts(m.ranking(role, zone), n, func(r *hostRow) bool {
			return canHold(r) && !m.isReleasing(now, r.Host)
		})
		if len(local) > 0 {
			return local
		}
	}
	return firstHosts(m.ranking(role, ""), n, canHold)
}

// canHoldRolesSoon reports whether a host can hold roles or has just registered, so that
// its first heartbeats have not arrived yet.
func (m *Machine) canHoldRolesSoon(now time.Duration, r *hostRow) bool {
	if r.heartbeat == nil && now-r.firstSeenAt < m.suspectTimeout() {
		return true
	}
	return m.canHoldRoles(now, r.Host)
}

// claimRank returns the number of hosts that are expected to claim a vacant role before
// this host, or -1 if this host cannot hold the role. Hosts that have just registered
// count: otherwise many hosts that start together would claim each role.
func (m *Machine) claimRank(now time.Duration, role, zone string) int {
	expected := firstHosts(m.ranking(role, zone), math.MaxInt, func(r *hostRow) bool {
		return m.canHoldRolesSoon(now, r) && !m.isReleasing(now, r.Host)
	})
	if len(expected) == 0 || zone == "" {
		expected = firstHosts(m.ranking(role, ""), math.MaxInt, func(r *hostRow) bool { return m.canHoldRolesSoon(now, r) })
	}
	return slices.Index(expected, m.self)
}

// firstHosts returns the first n hosts of a ranking that are suitable.
func firstHosts(ranking []*hostRow, n int, suitable func(*hostRow) bool) []Host {
	var out []Host
	for _, r := range ranking {
		if len(out) == n {
			break
		}
		if suitable(r) {
			out = append(out, r.Host)
		}
	}
	return out
}

// rendezvousDistance ranks hosts for a role by weighted rendezvous hashing; the
// lowest value is the best. A host ranks first for a share of the roles that is
// proportional to its weight.
func rendezvousDistance(role, host string, weight float64) float64 {
	const steps = 1 << 53
	u := (float64(xxhash.Sum64String(role+"\x00"+host)>>11) + 0.5) / steps
	return -math.Log(u) / max(weight, minCapacity)
}

// weight returns the weight of a host for a role.
func (m *Machine) weight(role string, h Host) float64 {
	if h.SpareCapacity > 0 && m.carriesStatements != nil && m.carriesStatements(role) {
		return h.SpareCapacity
	}
	return h.Capacity
}

// minCapacity is the capacity of a host that states none.
const minCapacity = 0.01
